#include "lab/capacity/rows.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace lab::capacity {
namespace {

double factor_of(double value, double bound) {
    if (bound > 0) return value / bound;
    return value > 0 ? std::numeric_limits<double>::infinity() : 0;
}

std::optional<Estimate> exactly(std::optional<double> value) {
    if (!value) return std::nullopt;
    return Estimate{*value, *value, *value, 1};
}

std::optional<Estimate> estimate_of(const Row& row, const Fit* fit, double x) {
    if (fit == nullptr) return std::nullopt;
    const auto measured = row.reads_point ? measured_at(*fit, x) : std::nullopt;
    return measured ? exactly(measured) : estimate_by_line(*fit, x);
}

}  // namespace

void from_json(const nlohmann::json& from, Row& row) {
    from.at("what").get_to(row.what);
    from.at("unit").get_to(row.unit);
    from.at("carried_by").get_to(row.carried_by);
    row.fit = from.value("fit", "");
    row.figure = from.value("figure", "");
    row.at = from.value("at", "");
    row.times = from.value("times", "");
    row.bound = from.value("bound", "");
    row.scale = from.value("scale", 1.0);
    row.reads_point = from.value("read", "line") == "point";
}

void from_json(const nlohmann::json& from, Role& role) {
    from.at("name").get_to(role.name);
    from.at("rows").get_to(role.rows);
    role.before = from.value("before", false);
}

Outcome evaluate(const Row& row, const Sizes& sizes, const Evidence& evidence) {
    Outcome outcome;
    const double x = row.at.empty() ? 0 : sizes.at(row.at);
    const double factor = row.scale * (row.times.empty() ? 1 : sizes.at(row.times));
    outcome.fit = evidence.find(row.fit);
    if (!row.fit.empty()) {
        outcome.estimate = estimate_of(row, outcome.fit, x);
    } else {
        outcome.estimate = exactly(row.figure.empty() ? 1 : evidence.figure(row.figure));
    }
    if (!outcome.estimate) return outcome;
    outcome.estimate->value *= factor;
    outcome.estimate->low *= factor;
    outcome.estimate->high *= factor;
    if (!row.bound.empty()) outcome.factor = factor_of(outcome.estimate->value, sizes.at(row.bound));
    return outcome;
}

}  // namespace lab::capacity
