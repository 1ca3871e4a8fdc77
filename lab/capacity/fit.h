// A straight line through what one run of `scripts/lab slopes` measured, and what it says of a size, with the
// interval of the mean and how far the size lies beyond what was measured.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lab::capacity {

struct Fit {
    std::string name, unit, per, command, note;
    std::vector<std::pair<double, double>> points;
    double slope = 0, slope_low = 0, slope_high = 0;  // 95%
    double intercept = 0;
};

struct Estimate {
    double value = 0, low = 0, high = 0;
    double extrapolated = 1;  // x / the largest x measured, where that is above 1
};

// By the line; its interval widens with the distance from the measured points.
Estimate estimate_by_line(const Fit& fit, double x);
// The mean of what was measured at this very x; nullopt where nothing was.
std::optional<double> measured_at(const Fit& fit, double x);

class Evidence {
public:
    // Takes the JSON of `scripts/lab slopes`; null where there is no run yet.
    explicit Evidence(const nlohmann::json& slopes);
    const Fit* find(const std::string& name) const;

private:
    std::vector<Fit> fits_;
};

}  // namespace lab::capacity
