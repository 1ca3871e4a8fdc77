#include "lab/capacity/fit.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lab::capacity {

void from_json(const nlohmann::json& from, Fit& fit) {
    from.at("name").get_to(fit.name);
    from.at("unit").get_to(fit.unit);
    from.at("per").get_to(fit.per);
    from.at("points").get_to(fit.points);
    from.at("slope").get_to(fit.slope);
    from.at("slope_low").get_to(fit.slope_low);
    from.at("slope_high").get_to(fit.slope_high);
    from.at("intercept").get_to(fit.intercept);
    from.at("last_slope").get_to(fit.last_slope);
}

Estimate estimate_by_line(const Fit& fit, double x) {
    const auto count = static_cast<double>(fit.points.size());
    double mean = 0, squares = 0;
    for (const auto& [at, y] : fit.points) mean += at / count;
    for (const auto& [at, y] : fit.points) squares += (at - mean) * (at - mean);
    // The slope's interval is t x s / sqrt(squares); the mean's at x is t x s x sqrt(1/n + (x - mean)^2 /
    // squares).
    const double slope_half = (fit.slope_high - fit.slope_low) / 2;
    const double half = slope_half * std::sqrt(squares / count + (x - mean) * (x - mean));
    Estimate estimate;
    estimate.value = fit.intercept + fit.slope * x;
    estimate.low = estimate.value - half;
    estimate.high = estimate.value + half;
    estimate.extrapolated = std::max(1.0, x / std::ranges::max(fit.points).first);
    return estimate;
}

std::optional<double> measured_at(const Fit& fit, double x) {
    double sum = 0, count = 0;
    for (const auto& [at, y] : fit.points) {
        if (at != x) continue;
        sum += y;
        ++count;
    }
    if (count == 0) return std::nullopt;
    return sum / count;
}

Evidence::Evidence(const nlohmann::json& slopes, const nlohmann::json& scale) {
    if (!slopes.is_null()) slopes.at("slopes").get_to(fits_);
    if (scale.is_null()) return;
    for (const auto& run : scale.at("runs")) {
        for (const auto& [name, value] : run.at("figures").items()) {
            const auto it = figures_.try_emplace(name, value).first;
            it->second = std::max(it->second, value.get<double>());
        }
    }
}

const Fit* Evidence::find(const std::string& name) const {
    const auto it = std::ranges::find(fits_, name, &Fit::name);
    return it == fits_.end() ? nullptr : &*it;
}

std::optional<double> Evidence::figure(const std::string& name) const {
    const auto it = figures_.find(name);
    return it == figures_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace lab::capacity
