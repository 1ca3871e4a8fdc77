// The tables of docs/CAPACITY.md as markdown, and their places in the page.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace lab::capacity {

// What docs/capacity holds. Measurements are null where there is no run yet.
struct Inputs {
    nlohmann::json plan, rows, scenes;
    nlohmann::json slopes, slopes_before, scale;
};

using Tables = std::map<std::string, std::string>;  // by the names of their places

std::string shown(double value);  // whole, or three significant digits; thousands apart

// "sizes", one for each role, "failures", and "beyond": rows beyond their bound, the furthest first, and
// those that are not measured.
Tables make_tables(const Inputs& inputs);
// Puts each table between "<!-- table NAME -->" and "<!-- end -->". Throws std::runtime_error where a place
// is missing, or the page has one that no table fills.
std::string with_tables(const std::string& page, const Tables& tables);

}  // namespace lab::capacity
