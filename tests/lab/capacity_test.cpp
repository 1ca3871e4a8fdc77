// The generator of docs/CAPACITY.md's tables: sizes, lines with their intervals, rows, failures, and the
// page's places.
#include <doctest/doctest.h>

#include <cmath>
#include <stdexcept>

#include "lab/capacity/failures.h"
#include "lab/capacity/page.h"
#include "lab/capacity/rows.h"

using namespace lab::capacity;
using nlohmann::json;

namespace {

json line_of(const std::string& name, double intercept, double slope) {
    json points = json::array();
    for (const double x : {100.0, 200.0, 300.0, 400.0, 500.0}) points.push_back({x, intercept + slope * x});
    return {{"name", name},
            {"unit", "us"},
            {"per", "connection"},
            {"command", "sample"},
            {"points", points},
            {"slope", slope},
            {"slope_low", 0.9 * slope},
            {"slope_high", 1.1 * slope},
            {"intercept", intercept},
            {"last_slope", slope}};
}

json sample_slopes() {
    json lines = json::array();
    for (const char* name : {"accept_cpu_us", "setup_cpu_us", "told_end_cpu_us", "close_cpu_us"})
        lines.push_back(line_of(name, 25, 0.0025));
    return {{"slopes", lines}};
}

json sample_scale() {
    const json worst = {{"figures", {{"half_s", 2.25}}}}, better = {{"figures", {{"half_s", 2.0}}}};
    return {{"runs", {worst, better}}};
}

json sample_plan() {
    return {{"sizes",
             {{{"name", "agents"}, {"value", 10}, {"from", "letter"}},
              {{"name", "connections"}, {"value", 100000}, {"from", "letter"}},
              {{"name", "us_a_s"}, {"value", 1000000}},
              {{"name", "front_notices_s"}, {"value", 3}},
              {{"name", "return_last_s"}, {"value", 2.5}},
              {{"name", "return_over_s"}, {"value", 2}},
              {{"name", "viewers_return_most"}, {"value", 0.9}},
              {{"name", "session_s"}, {"value", 50}},
              {{"name", "core_us"}, {"value", 100}, {"from", "letter"}},
              {{"name", "none"}, {"value", 0}, {"from", "own"}},
              {{"name", "connections_each"}, {"product", {"connections"}}, {"over", {"agents"}}},
              {{"name", "set_ups_all_per_s"}, {"product", {"connections"}}, {"over", {"session_s"}}}}}};
}

json sample_rows() {
    const auto row = [](const char* what, const char* fit, const char* bound) {
        return json{{"what", what},
                    {"unit", "us"},
                    {"carried_by", "`Loop`"},
                    {"fit", fit},
                    {"at", "connections_each"},
                    {"bound", bound}};
    };
    return {{"roles",
             {{{"name", "agent"},
               {"rows",
                {row("a close", "close_cpu_us", "core_us"), row("an accept", "accept_cpu_us", "none"),
                 row("a note", "note_us", "core_us")}}}}}};
}

json sample_scenes() {
    return {{"scenes",
             {{{"what", "half"},
               {"agents_lost", 5},
               {"servers_lost", 0.5},
               {"refused", "some"},
               {"control", "little"},
               {"figures", {"half_s"}}}}}};
}

Inputs sample_inputs() {
    return {sample_plan(), sample_rows(), sample_scenes(), sample_slopes(), nullptr, sample_scale()};
}

}  // namespace

TEST_CASE("numbers are shown whole or with three digits, and thousands apart") {
    CHECK(shown(4096) == "4,096");
    CHECK(shown(0) == "0");
    CHECK(shown(1935.48) == "1,940");
    CHECK(shown(27000000) == "27,000,000");
    CHECK(shown(0.0123456) == "0.0123");
    CHECK(shown(2.5) == "2.5");
    CHECK(shown(0.99999) == "1");
    CHECK(shown(-60000) == "-60,000");
}

TEST_CASE("sizes are products and quotients of those above them") {
    const Sizes sizes(sample_plan());
    CHECK(sizes.at("connections_each") == 10000);
    CHECK(sizes.all().back().from == "`connections / session_s`");
    CHECK_THROWS_AS(sizes.at("regions"), std::out_of_range);
    const json early = {
        {"sizes", {{{"name", "one"}, {"product", {"later"}}}, {{"name", "later"}, {"value", 1}}}}};
    CHECK_THROWS_AS(Sizes{early}, std::out_of_range);
}

TEST_CASE("a line's interval is narrowest in the middle and widens beyond what was measured") {
    const Evidence evidence(sample_slopes(), sample_scale());
    const Fit* fit = evidence.find("close_cpu_us");
    REQUIRE(fit != nullptr);
    const Estimate middle = estimate_by_line(*fit, 300), far = estimate_by_line(*fit, 10000);
    CHECK(middle.value == doctest::Approx(25.75));
    CHECK(middle.extrapolated == 1);
    CHECK(far.value == doctest::Approx(50));
    CHECK(far.extrapolated == doctest::Approx(20));
    // Half of the slope's interval, 0.00025, times sqrt(sum of squares / n + distance squared).
    CHECK(middle.high - middle.value == doctest::Approx(0.00025 * std::sqrt(20000.0)));
    CHECK(far.value - far.low == doctest::Approx(0.00025 * std::sqrt(20000.0 + 9700.0 * 9700.0)));
    CHECK(measured_at(*fit, 200) == doctest::Approx(25.5));
    CHECK_FALSE(measured_at(*fit, 201).has_value());
    CHECK(evidence.find("note_us") == nullptr);
    CHECK(Evidence(nullptr, nullptr).find("close_cpu_us") == nullptr);
}

TEST_CASE("a row is its line at a size, so many times, against its bound") {
    const Sizes sizes(sample_plan());
    const Evidence evidence(sample_slopes(), sample_scale());
    Row row;
    row.fit = "close_cpu_us", row.at = "connections_each", row.times = "agents", row.bound = "core_us";
    CHECK(evaluate(row, sizes, evidence).estimate->value == doctest::Approx(500));
    CHECK(*evaluate(row, sizes, evidence).factor == doctest::Approx(5));
    row.bound = "none";
    CHECK(std::isinf(*evaluate(row, sizes, evidence).factor));
    row.fit = "note_us";
    CHECK_FALSE(evaluate(row, sizes, evidence).estimate.has_value());
    row.fit = "", row.at = "", row.figure = "half_s";
    CHECK(evaluate(row, sizes, evidence).estimate->value == 22.5);
    row.figure = "whole_s";
    CHECK_FALSE(evaluate(row, sizes, evidence).estimate.has_value());
    row.figure = "";
    CHECK(evaluate(row, sizes, evidence).estimate->value == 10);
    row.times = "nothing of the kind";
    CHECK_THROWS_AS(evaluate(row, sizes, evidence), std::out_of_range);
}

TEST_CASE("a failure's viewers come again to those who are left") {
    const Sizes sizes(sample_plan());
    const Evidence evidence(sample_slopes(), sample_scale());
    Scene scene;
    scene.agents_lost = 5;
    const Burden half = burden_of(scene, sizes, evidence);
    CHECK(half.ended == 50000);
    CHECK(half.set_ups_each == doctest::Approx(9000));
    CHECK(half.peak_per_s == doctest::Approx(4500));
    CHECK(half.ordinary_per_s == doctest::Approx(400));
    // Each of the four costs 25 + 0.0025 x 20,000 = 75 us.
    CHECK(half.borne_per_s->value == doctest::Approx(1e6 / 300));
    CHECK(half.borne_per_s->low < half.borne_per_s->value);
    CHECK(half.back_after_s->high > half.back_after_s->value);
    CHECK(half.back_after_s->value == doctest::Approx(3 + 2.5 + 9000 / (1e6 / 300 - 400) - 2));
    scene.servers_lost = 0.5;
    CHECK(burden_of(scene, sizes, evidence).ended == 75000);
    scene.agents_lost = 9;
    CHECK(std::isinf(burden_of(scene, sizes, evidence).back_after_s->value));
    CHECK_FALSE(burden_of(scene, sizes, Evidence(nullptr, nullptr)).borne_per_s.has_value());
}

TEST_CASE("tables show what is beyond its bound first, and what was not measured") {
    const Tables tables = make_tables(sample_inputs());
    CHECK(tables.at("beyond") ==
          "| factor | role | what | carried by |\n| --- | --- | --- | --- |\n"
          "| **beyond**: none allowed | agent | an accept | `Loop` |\n"
          "| not measured | agent | a note | `Loop` |\n");
    CHECK(tables.at("agent").find(
              "| a close | `close_cpu_us`: 25 and 0.0025 us a connection (0.00225 to 0.00275) | "
              "100 to 500 | 10,000 | 50 us (47.6 to 52.4), extrapolated x20 | 100 us | within x0.5 | "
              "`Loop` |") != std::string::npos);
    CHECK(tables.at("failures").find("`half_s` 2.25") != std::string::npos);
    CHECK(tables.at("sizes").find("us_a_s") == std::string::npos);
    CHECK(make_tables(sample_inputs()) == tables);
    Inputs unrun = sample_inputs();
    unrun.slopes = unrun.scale = nullptr;
    CHECK(make_tables(unrun)
              .at("failures")
              .find("| not measured | not measured | some | little | derived only |") != std::string::npos);
}

TEST_CASE("tables replace what stands between their marks, and each has its place") {
    const std::string page = "text\n<!-- table one -->\nold\n<!-- end -->\nmore\n";
    const std::string made = with_tables(page, {{"one", "| new |\n"}});
    CHECK(made == "text\n<!-- table one -->\n| new |\n<!-- end -->\nmore\n");
    CHECK(with_tables(made, {{"one", "| new |\n"}}) == made);
    CHECK_THROWS_AS(with_tables(page, {{"two", ""}}), std::runtime_error);
    CHECK_THROWS_AS(with_tables(page, {{"one", ""}, {"two", ""}}), std::runtime_error);
    CHECK_THROWS_AS(with_tables("<!-- table one -->\n", {{"one", ""}}), std::runtime_error);
}
