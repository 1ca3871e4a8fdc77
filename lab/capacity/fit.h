// What was measured: straight lines by `scripts/lab slopes`, with what they say of a size, and single figures
// by `scripts/lab scale`.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lab::capacity {

struct Fit {
    std::string name, unit, per;
    std::vector<std::pair<double, double>> points;
    double slope = 0, slope_low = 0, slope_high = 0;  // 95%
    double intercept = 0;
    double last_slope = 0;  // between the two largest x

    bool bends() const { return last_slope < slope_low || last_slope > slope_high; }
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
    // Takes the JSON of `scripts/lab slopes`, and those of `scripts/lab scale` as `runs`; null where there is
    // none yet.
    Evidence(const nlohmann::json& slopes, const nlohmann::json& scale);
    const Fit* find(const std::string& name) const;
    std::optional<double> figure(const std::string& name) const;  // the largest of all runs

private:
    std::vector<Fit> fits_;
    std::map<std::string, double> figures_;
};

}  // namespace lab::capacity
