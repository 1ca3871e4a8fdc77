#include "slope.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lab {
namespace {

constexpr double confidence = 0.95;

double t_quantile(std::size_t degrees_of_freedom) {
    const boost::math::students_t distribution(static_cast<double>(degrees_of_freedom));
    return boost::math::quantile(distribution, 1 - (1 - confidence) / 2);
}

std::vector<Point> sorted_by_x(std::vector<Point> points) {
    std::sort(points.begin(), points.end(), [](const Point& a, const Point& b) { return a.x < b.x; });
    return points;
}

}  // namespace

void fit_line(Slope& slope) {
    const std::size_t count = slope.points.size();
    if (count < 3) throw std::invalid_argument(slope.name + ": a line needs three points");
    const auto n = static_cast<double>(count);
    double mean_x = 0, mean_y = 0;
    for (const Point& point : slope.points) {
        mean_x += point.x / n;
        mean_y += point.y / n;
    }
    double xx = 0, xy = 0;
    for (const Point& point : slope.points) {
        xx += (point.x - mean_x) * (point.x - mean_x);
        xy += (point.x - mean_x) * (point.y - mean_y);
    }
    if (!(xx > 0)) throw std::invalid_argument(slope.name + ": all points have the same x");
    slope.slope = xy / xx;
    slope.intercept = mean_y - slope.slope * mean_x;
    double squares = 0;
    for (const Point& point : slope.points)
        squares += std::pow(point.y - slope.intercept - slope.slope * point.x, 2);
    slope.residual = std::sqrt(squares / (n - 2));
    const double half_width = t_quantile(count - 2) * slope.residual / std::sqrt(xx);
    slope.low = slope.slope - half_width;
    slope.high = slope.slope + half_width;
}

double last_slope(const Slope& slope) {
    const std::vector<Point> points = sorted_by_x(slope.points);
    if (points.size() < 2) return 0;
    const Point &last = points[points.size() - 1], &before = points[points.size() - 2];
    return last.x > before.x ? (last.y - before.y) / (last.x - before.x) : 0;
}

nlohmann::ordered_json to_json(const Slope& slope) {
    nlohmann::ordered_json points = nlohmann::ordered_json::array();
    for (const Point& point : sorted_by_x(slope.points))
        points.push_back(nlohmann::ordered_json::array({point.x, point.y}));
    nlohmann::ordered_json range = nlohmann::ordered_json::array();
    if (!points.empty()) range = {points.front()[0], points.back()[0]};
    return {{"name", slope.name},
            {"unit", slope.unit},
            {"per", slope.per},
            {"points", points},
            {"slope", slope.slope},
            {"slope_low", slope.low},
            {"slope_high", slope.high},
            {"intercept", slope.intercept},
            {"residual", slope.residual},
            {"last_slope", last_slope(slope)},
            {"range", range},
            {"command", slope.command},
            {"note", slope.note}};
}

}  // namespace lab
