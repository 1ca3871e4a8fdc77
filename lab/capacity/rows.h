// The rows of the tables: which measured line, at which size, how many times, against which bound.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/capacity/fit.h"
#include "lab/capacity/sizes.h"

namespace lab::capacity {

// Sizes are named as in Sizes; an empty name stands for none.
struct Row {
    std::string what, unit, carried_by;
    std::string fit;     // a line of `scripts/lab slopes`
    std::string figure;  // or a figure of `scripts/lab scale`; neither: the row is derived, `times` alone
    std::string at;      // its x
    std::string times;   // how often that is spent
    std::string bound;   // in the row's unit
    double scale = 1;    // from the fit's unit to the row's
    bool reads_point = false;  // what was measured at just this x goes before the line
};

struct Role {
    std::string name;
    bool before = false;  // from the run of slopes before the mechanism of this page was built
    std::vector<Row> rows;
};

void from_json(const nlohmann::json& from, Role& role);

// A row with its numbers filled in.
struct Outcome {
    const Fit* fit = nullptr;          // null: of another kind, or not measured
    std::optional<Estimate> estimate;  // nullopt: not measured
    std::optional<double> factor;      // value / bound; infinite where nothing is allowed
};

// Throws std::out_of_range where a row names a size that there is not.
Outcome evaluate(const Row& row, const Sizes& sizes, const Evidence& evidence);

}  // namespace lab::capacity
