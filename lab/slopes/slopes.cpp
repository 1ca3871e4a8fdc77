// What each thing that an agent does and holds costs, against the sizes on which it may depend.
#include <algorithm>
#include <filesystem>
#include <sstream>
#include <stdexcept>

#include "lab/slopes/parts.h"

namespace lab {

void SlopeSet::add(const std::string& name, const std::string& unit, const std::string& x_unit,
                   const std::string& note) {
    Slope slope;
    slope.name = name;
    slope.unit = unit;
    slope.per = x_unit;
    slope.note = note;
    slopes_.push_back(slope);
}

void SlopeSet::point(const std::string& name, double x, double y) {
    for (Slope& slope : slopes_) {
        if (slope.name == name) return slope.points.push_back({x, y});
    }
    throw std::invalid_argument("there is no slope " + name);
}

void SlopeSet::finish(Result& result, const std::string& command) {
    for (Slope& slope : slopes_) {
        slope.command = command;
        try {
            fit_line(slope);
        } catch (const std::invalid_argument& error) {
            result.violations.emplace_back(error.what());
            continue;
        }
        result.figures.emplace_back(slope.name + "_at_most", slope.points.back().y);
        result.slopes.push_back(slope);
    }
}

const std::vector<SlopePart>& slope_parts() {
    static const std::vector<SlopePart> parts = {{"connections", measure_connections},
                                                 {"memory", measure_memory},
                                                 {"fanout-ended", measure_fanout_ended},
                                                 {"fanout-gone", measure_fanout_gone},
                                                 {"fanout-claimed", measure_fanout_claimed},
                                                 {"owed", measure_owed},
                                                 {"lists", measure_lists},
                                                 {"decisions", measure_decisions},
                                                 {"membership-calm", measure_membership_calm},
                                                 {"membership-lossy", measure_membership_lossy},
                                                 {"recovery", measure_recovery}};
    return parts;
}

std::string fresh_folder(const Ask& ask, const std::string& name) {
    std::string folder = ask.folder + "/" + name;
    std::filesystem::create_directory(folder);
    return folder;
}

std::string command_of(const Ask& ask, const std::string& part) {
    return "scripts/lab slopes --seed " + std::to_string(ask.seed) + " --only " + part;
}

Result run_slopes(const Ask& ask) {
    std::vector<std::string> wanted;
    std::istringstream names(ask.only);
    for (std::string name; std::getline(names, name, ',');) wanted.push_back(name);
    Result result;
    std::size_t played = 0;
    for (const SlopePart& part : slope_parts()) {
        const bool is_wanted =
            wanted.empty() || std::find(wanted.begin(), wanted.end(), part.name) != wanted.end();
        if (!is_wanted) continue;
        part.run(ask, result);
        ++played;
    }
    if (played == 0) result.violations.push_back("there is no part " + ask.only);
    return result;
}

}  // namespace lab
