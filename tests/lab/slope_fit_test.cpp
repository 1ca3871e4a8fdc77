// The line through measured points and the confidence of its slope, against values worked out by hand.
#include <doctest/doctest.h>

#include <stdexcept>

#include "lab/slopes/slope.h"

using namespace lab;

TEST_CASE("points on a line give that line, and an interval of no width") {
    Slope slope;
    slope.points = {{0, 3}, {10, 5}, {20, 7}, {50, 13}};
    fit_line(slope);
    CHECK(slope.slope == doctest::Approx(0.2));
    CHECK(slope.intercept == doctest::Approx(3));
    CHECK(slope.high - slope.low == doctest::Approx(0).epsilon(1e-9));
}

TEST_CASE("the interval is Student's, with two degrees less than there are points") {
    // x 1..5, y 2 4 5 4 5: slope 0.6, intercept 2.2, squares of residuals 2.4 over 3 degrees, sum of squares
    // of x 10: standard error sqrt(0.8 / 10); the quantile of 0.975 with 3 degrees is 3.182446.
    Slope slope;
    slope.points = {{1, 2}, {2, 4}, {3, 5}, {4, 4}, {5, 5}};
    fit_line(slope);
    CHECK(slope.slope == doctest::Approx(0.6));
    CHECK(slope.intercept == doctest::Approx(2.2));
    CHECK(slope.residual == doctest::Approx(0.894427).epsilon(1e-5));
    CHECK(slope.low == doctest::Approx(0.6 - 3.182446 * 0.282843).epsilon(1e-5));
    CHECK(slope.high == doctest::Approx(0.6 + 3.182446 * 0.282843).epsilon(1e-5));
}

TEST_CASE("where points bend, the last slope is that of the two largest") {
    Slope slope;
    slope.points = {{100, 100}, {10, 1}, {200, 400}};
    CHECK(last_slope(slope) == doctest::Approx(3));
}

TEST_CASE("what gives no line is refused") {
    Slope two;
    two.points = {{0, 1}, {1, 2}};
    CHECK_THROWS_AS(fit_line(two), std::invalid_argument);
    Slope same;
    same.points = {{1, 1}, {1, 2}, {1, 3}};
    CHECK_THROWS_AS(fit_line(same), std::invalid_argument);
}
