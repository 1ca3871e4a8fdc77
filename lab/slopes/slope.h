// A straight line through measured points, with the confidence interval of its slope.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lab {

struct Point {
    double x = 0, y = 0;
};

// One measured number against one size. `unit` is that of y, `per` what x counts.
struct Slope {
    std::string name, unit, per, note;
    std::vector<Point> points;
    std::string command;  // that measured it
    double slope = 0, low = 0, high = 0;
    double intercept = 0;
    double residual = 0;  // standard error of the fit, in `unit`
};

// Fits the line by least squares; `low` and `high` are the 95% confidence interval by Student's t with n - 2
// degrees of freedom. Throws std::invalid_argument for fewer than three points, or where all x are the same.
void fit_line(Slope& slope);

// The slope between the two points with the largest x: where points bend, what an extrapolation begins with.
double last_slope(const Slope& slope);

nlohmann::ordered_json to_json(const Slope& slope);

}  // namespace lab
