// The soak's trials, one seed after the other.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "lab/run/files.h"
#include "lab/soak/soak_run.h"

namespace lab {
namespace {

struct Seeds {
    std::uint64_t first = 1, last = 1;
};

Seeds seeds_of(const Ask& ask) {
    if (ask.seeds.empty()) return {ask.seed, ask.seed};
    const std::size_t dash = ask.seeds.find('-');
    const std::uint64_t first = std::stoull(ask.seeds);
    return {first, dash == std::string::npos ? first : std::stoull(ask.seeds.substr(dash + 1))};
}

std::vector<Family> families_named(const std::string& names) {
    std::vector<Family> played;
    std::istringstream words(names);
    for (std::string name; std::getline(words, name, '+');) played.push_back(family_named(name));
    return played;
}

SoakPlan plan_of(const Ask& ask, std::uint64_t seed) {
    SoakPlan plan = soak_plan(seed, ask.family.empty() ? families_of(seed) : families_named(ask.family));
    plan.trial.follow = ask.follow;
    if (ask.plan.empty()) return plan;
    std::ostringstream text;
    text << std::ifstream(ask.plan).rdbuf();
    plan.trial.faults = read_faults(text.str());
    return plan;
}

std::string names_of(const SoakPlan& plan) {
    std::string text;
    for (const Family family : plan.played) {
        if (!text.empty()) text += "+";
        text += name_of(family);
    }
    if (plan.crowd) text += "+crowd";
    return text;
}

Result play(const Ask& ask, const SoakPlan& plan, const std::string& folder) {
    make_folder(folder);
    return play_soak(plan, {ask.broken.empty() ? ask.program : ask.broken_program, folder, ask.broken});
}

// The plan, the agents' logs and what was broken stay together, with the command that plays it again.
void keep_evidence(const Ask& ask, const SoakPlan& plan, std::uint64_t seed, const std::string& folder,
                   const Result& result) {
    if (ask.evidence.empty()) return;
    const std::string to = ask.evidence + "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(ask.evidence);
    std::filesystem::copy(
        folder, to,
        std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    write_file(to + "/plan.txt", to_text(plan));
    std::string text = "scripts/lab soak --seed " + std::to_string(seed) +
                       (ask.family.empty() ? "" : " --family " + ask.family) + "\n";
    for (const std::string& what : result.violations) text += what + "\n";
    write_file(to + "/violations.txt", text);
}

void tell_smaller(const Ask& ask, const SoakPlan& plan) {
    int trials = 0;
    const auto fails = [&](const FaultPlan& faults) {
        SoakPlan trial = plan;
        trial.trial.faults = faults;
        return !play(ask, trial, ask.folder + "/cut-" + std::to_string(++trials)).violations.empty();
    };
    constexpr int most_trials = 12, plays = 10;
    const FaultPlan smaller = cut_down(plan.trial.faults, fails, most_trials);
    int failed = 0;
    for (int i = 0; i < plays; ++i) failed += fails(smaller) ? 1 : 0;
    std::printf("%zu of %zu faults are left and fail in %d of %d plays:\n", smaller.size(),
                plan.trial.faults.size(), failed, plays);
    for (const FaultStep& step : smaller) std::printf("  %s\n", to_text(step).c_str());
}

}  // namespace

Result run_soak(const Ask& ask) {
    Result all;
    std::map<std::string, double> sums;
    const Seeds seeds = seeds_of(ask);
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        const SoakPlan plan = plan_of(ask, seed);
        const std::string folder = ask.folder + "/seed-" + std::to_string(seed);
        const Result result = play(ask, plan, folder);
        std::printf("seed %llu %s: %.0f requests, %.0f faults, %zu findings\n",
                    static_cast<unsigned long long>(seed), names_of(plan).c_str(), figure(result, "requests"),
                    figure(result, "faults"), result.violations.size());
        std::fflush(stdout);
        for (const auto& [key, value] : result.figures) sums[key] += value;
        for (const std::string& what : result.violations)
            all.violations.push_back("seed " + std::to_string(seed) + ": " + what);
        if (result.violations.empty()) continue;
        keep_evidence(ask, plan, seed, folder, result);
        if (ask.cut_down) tell_smaller(ask, plan);
    }
    const double trials = static_cast<double>(seeds.last - seeds.first + 1);
    sums["not_judged_share"] /= trials;
    sums["families_crossed"] /= trials;
    all.figures.emplace_back("trials", trials);
    for (const auto& [key, value] : sums) all.figures.emplace_back(key, value);
    return all;
}

}  // namespace lab
