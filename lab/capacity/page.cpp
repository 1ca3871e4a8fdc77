#include "lab/capacity/page.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <sstream>
#include <stdexcept>

#include "lab/capacity/failures.h"
#include "lab/capacity/rows.h"

namespace lab::capacity {
namespace {

using Cells = std::vector<std::string>;

constexpr int significant_digits = 3;
const std::string not_measured = "not measured";

std::string line(const Cells& cells) {
    std::string text = "|";
    for (const std::string& cell : cells) text += " " + cell + " |";
    return text + "\n";
}

std::string head(const Cells& cells) {
    return line(cells) + line(Cells(cells.size(), "---"));
}

std::string shown_range(double low, double high) {
    return shown(low) + " to " + shown(high);
}

std::string slope_cell(const Row& row, const Outcome& outcome) {
    if (!outcome.estimate) return not_measured + ": `" + (row.fit.empty() ? row.figure : row.fit) + "`";
    if (row.fit.empty()) return row.figure.empty() ? "derived" : "`" + row.figure + "` of `scale`";
    const Fit& fit = *outcome.fit;
    if (row.reads_point) return "`" + fit.name + "`, as measured there";
    const std::string slope = shown(fit.slope) + " " + fit.unit + " a " + fit.per;
    const std::string text = "`" + fit.name + "`: " + shown(fit.intercept) + " and " + slope + " (" +
                             shown_range(fit.slope_low, fit.slope_high) + ")";
    return fit.bends() ? text + "; bends: " + shown(fit.last_slope) + " at the end" : text;
}

std::string range_cell(const Outcome& outcome) {
    if (outcome.fit == nullptr) return "";
    const auto [least, most] = std::minmax_element(outcome.fit->points.begin(), outcome.fit->points.end());
    return shown_range(least->first, most->first);
}

std::string number_cell(const Row& row, const Sizes& sizes) {
    const std::string at = row.at.empty() ? "" : shown(sizes.at(row.at));
    const std::string times = row.times.empty() ? "" : shown(sizes.at(row.times));
    return at + (at.empty() || times.empty() ? "" : " x ") + times;
}

std::string value_cell(const Row& row, const Outcome& outcome) {
    if (!outcome.estimate) return not_measured;
    const Estimate& estimate = *outcome.estimate;
    std::string text = shown(estimate.value) + " " + row.unit;
    if (estimate.low != estimate.high) text += " (" + shown_range(estimate.low, estimate.high) + ")";
    if (estimate.extrapolated > 1) text += ", extrapolated x" + shown(estimate.extrapolated);
    return text;
}

std::string factor_cell(const Row& row, const Outcome& outcome) {
    if (row.bound.empty()) return "";
    if (!outcome.factor) return not_measured;
    if (std::isinf(*outcome.factor)) return "**beyond**: none allowed";
    return (*outcome.factor > 1 ? "**beyond** x" : "within x") + shown(*outcome.factor);
}

std::string sizes_table(const Sizes& sizes) {
    std::string text = head({"size", "value", "from"});
    for (const Size& size : sizes.all()) {
        if (!size.from.empty()) text += line({"`" + size.name + "`", shown(size.value), size.from});
    }
    return text;
}

std::string role_table(const Role& role, const Sizes& sizes, const Evidence& evidence) {
    std::string text = head({"what", "measured: at none, and slope (95%)", "range", "x number",
                             "at that size (95%)", "bound", "factor", "carried by"});
    for (const Row& row : role.rows) {
        const Outcome outcome = evaluate(row, sizes, evidence);
        const std::string bound = row.bound.empty() ? "" : shown(sizes.at(row.bound)) + " " + row.unit;
        text += line({row.what, slope_cell(row, outcome), range_cell(outcome), number_cell(row, sizes),
                      value_cell(row, outcome), bound, factor_cell(row, outcome), row.carried_by});
    }
    return text;
}

std::string beyond_table(const std::vector<Role>& roles, const Sizes& sizes, const Evidence& evidence) {
    std::vector<std::pair<double, std::string>> found;
    std::string unmeasured;
    for (const Role& role : roles) {
        if (role.before) continue;
        for (const Row& row : role.rows) {
            const Outcome outcome = evaluate(row, sizes, evidence);
            const std::string text = line({factor_cell(row, outcome), role.name, row.what, row.carried_by});
            if (!row.bound.empty() && !outcome.factor) unmeasured += text;
            if (outcome.factor.value_or(0) > 1) found.emplace_back(*outcome.factor, text);
        }
    }
    std::ranges::stable_sort(found, std::greater{}, &std::pair<double, std::string>::first);
    std::string text = head({"factor", "role", "what", "carried by"});
    for (const auto& [factor, one] : found) text += one;
    return text + unmeasured;
}

std::string played_cell(const Scene& scene, const Evidence& evidence) {
    std::string text;
    for (const std::string& name : scene.figures) {
        const auto figure = evidence.figure(name);
        if (figure) text += (text.empty() ? "" : ", ") + ("`" + name + "` ") + shown(*figure);
    }
    return text.empty() ? "derived only" : text;
}

std::string shown_or(const std::string& infinite, double value) {
    return std::isinf(value) ? infinite : shown(value);
}

std::string interval_cell(const std::optional<Estimate>& estimate, const std::string& infinite) {
    if (!estimate) return not_measured;
    return shown_or(infinite, estimate->value) + " (" + shown_or(infinite, estimate->low) + " to " +
           shown_or(infinite, estimate->high) + ")";
}

std::string failures_table(const std::vector<Scene>& scenes, const Sizes& sizes, const Evidence& evidence) {
    std::string text =
        head({"failure", "sessions that end", "arrive at agents", "set-ups at each, most",
              "a s at each, most (and ordinary ones)", "a core bears a s (95%)", "service back after s (95%)",
              "refused, and how spread", "control traffic at its peak", "played by the scale run"});
    for (const Scene& scene : scenes) {
        const Burden burden = burden_of(scene, sizes, evidence);
        text +=
            line({scene.what, shown(burden.ended), shown(burden.takers), shown(burden.set_ups_each),
                  shown(burden.peak_per_s) + " (" + shown(burden.ordinary_per_s) + ")",
                  interval_cell(burden.borne_per_s, "unbounded"), interval_cell(burden.back_after_s, "never"),
                  scene.refused, scene.control, played_cell(scene, evidence)});
    }
    return text;
}

}  // namespace

std::string shown(double value) {
    if (value == 0) return "0";
    if (value < 0) return shown(-value).insert(0, 1, '-');
    const bool whole = value == std::round(value);
    const int decimals = whole ? 0 : significant_digits - 1 - static_cast<int>(std::floor(std::log10(value)));
    const double step = std::pow(10.0, -decimals);
    constexpr std::size_t longest = 64;
    std::string text(longest, '\0');
    text.resize(static_cast<std::size_t>(std::snprintf(
        text.data(), text.size(), "%.*f", std::max(0, decimals), std::round(value / step) * step)));
    const std::size_t point = text.find('.');
    if (point != std::string::npos) {
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.') text.pop_back();
    }
    for (auto at = static_cast<std::ptrdiff_t>(std::min(point, text.size())) - 3; at > 0; at -= 3)
        text.insert(static_cast<std::size_t>(at), 1, ',');
    return text;
}

Tables make_tables(const Inputs& inputs) {
    const Sizes sizes(inputs.plan);
    const Evidence evidence(inputs.slopes, inputs.scale), before(inputs.slopes_before, nullptr);
    const auto roles = inputs.rows.at("roles").get<std::vector<Role>>();
    const auto scenes = inputs.scenes.at("scenes").get<std::vector<Scene>>();
    Tables tables;
    tables["sizes"] = sizes_table(sizes);
    for (const Role& role : roles)
        tables[role.name] = role_table(role, sizes, role.before ? before : evidence);
    tables["failures"] = failures_table(scenes, sizes, evidence);
    tables["beyond"] = beyond_table(roles, sizes, evidence);
    return tables;
}

std::string with_tables(const std::string& page, const Tables& tables) {
    const std::string begin = "<!-- table ", close = " -->", end = "<!-- end -->";
    std::set<std::string> filled;
    std::string result;
    std::istringstream lines(page);
    bool inside = false;
    for (std::string text; std::getline(lines, text);) {
        if (text == end) inside = false;
        if (!inside) result += text + "\n";
        if (inside || !text.starts_with(begin) || !text.ends_with(close)) continue;
        const std::string name = text.substr(begin.size(), text.size() - begin.size() - close.size());
        if (!tables.contains(name)) throw std::runtime_error("there is no table " + name + " for the page");
        result += tables.at(name);
        filled.insert(name);
        inside = true;
    }
    if (inside) throw std::runtime_error("the page's last table has no end");
    for (const auto& [name, table] : tables) {
        if (!filled.contains(name)) throw std::runtime_error("the page has no place for the table " + name);
    }
    return result;
}

}  // namespace lab::capacity
