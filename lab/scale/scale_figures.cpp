#include "lab/scale/scale_figures.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>

#include "lab/scale/likeness.h"

namespace lab {
namespace {

constexpr double window_s = 10, kb = 1024;
constexpr double samples_apart_s = 1;  // at most; a scene that is shorter than a window is one
constexpr int full_size = 450;         // agents

struct Bound {
    const char* name;
    double least, most;
    bool of_any_size;  // else a run of fewer agents is not held to it
};
constexpr double any = 1e300;
constexpr Bound wanted[] = {{"real_processes", 4, any, false},
                            {"hollow_agents", 400, any, false},
                            {"memory_share", 0, 0.5, true},
                            {"change_in_force_s_max", 0, 4, false},
                            {"agents_without_change", 0, 0, true},
                            {"control_core_share_max", 0, 0.013, false},
                            {"control_memory_mb_max", 0, 64, true},
                            {"control_kb_per_s_max", 0, 16, false},
                            {"false_deaths", 0, 0, true},
                            {"hollow_to_real_messages", 0.95, 1.05, false},
                            {"hollow_to_real_bytes", 0.95, 1.05, false}};

struct Most {
    Usage::Rates all, others;  // of all agents, and without those whom all know
};

Most most_of(const ScaleWorld& world, double window, double from, double until) {
    Most most;
    const std::vector<int> seeds = world.plan().seeds();
    const auto raise = [](Usage::Rates& most_yet, const Usage::Rates& rates) {
        most_yet.cores = std::max(most_yet.cores, rates.cores);
        if (rates.bytes_per_s > most_yet.bytes_per_s) {
            most_yet.bytes_per_s = rates.bytes_per_s;
            most_yet.list_bytes_per_s = rates.list_bytes_per_s;
        }
        most_yet.messages_per_s = std::max(most_yet.messages_per_s, rates.messages_per_s);
    };
    for (int agent = 0; agent < world.plan().agents(); ++agent) {
        const Usage::Rates rates = world.usage(agent).most(window, from, until);
        raise(most.all, rates);
        if (std::find(seeds.begin(), seeds.end(), agent) == seeds.end()) raise(most.others, rates);
    }
    return most;
}

Usage::Rates mean_of(const ScaleWorld& world, bool real, double from, double until) {
    Usage::Rates sum;
    double count = 0;
    for (int agent = 0; agent < world.plan().agents(); ++agent) {
        if (world.plan().is_real(agent) != real) continue;
        const Usage::Rates rates = world.usage(agent).mean(from, until);
        sum.cores += rates.cores;
        sum.bytes_per_s += rates.bytes_per_s;
        sum.messages_per_s += rates.messages_per_s;
        ++count;
    }
    count = std::max(count, 1.0);
    return {sum.cores / count, sum.bytes_per_s / count, sum.messages_per_s / count};
}

double machine_memory_kb() {
    std::ifstream in("/proc/meminfo");
    std::string word;
    double size = 1;
    in >> word >> size;
    return size;
}

struct Memory {
    double of_real_kb = 0, of_hollow_kb = 0, all_kb = 0;  // the largest real, a hollow one's part, the sum
};

Memory memory_of(ScaleWorld& world) {
    Memory memory;
    const ScalePlan& plan = world.plan();
    for (int agent = 0; agent < plan.real; ++agent) {
        const auto size = static_cast<double>(world.real_process(agent).memory_kb());
        memory.of_real_kb = std::max(memory.of_real_kb, size);
        memory.all_kb += size;
    }
    double hosts_kb = 0;
    for (const auto& host : world.hosts()) hosts_kb += static_cast<double>(host->memory_kb());
    memory.of_hollow_kb = hosts_kb / std::max(1, plan.hollow);
    memory.all_kb += hosts_kb + static_cast<double>(peak_memory_kb(::getpid()));
    return memory;
}

void add_scene(Result& result, const ScaleWorld& world, const SceneOutcome& scene) {
    const auto delays = world.changes().delays(scene.began, scene.ended);
    const double length_s = scene.ended - scene.began - samples_apart_s;
    const Most most = most_of(world, std::min(window_s, length_s), scene.began, scene.ended);
    const std::string mark = scene.name + "_";
    const auto add = [&](const char* name, double value) { result.figures.emplace_back(mark + name, value); };
    add("killed", static_cast<double>(scene.killed));
    add("lasts_s", scene.whole - scene.began);
    add("agreed", scene.agreed ? 1 : 0);
    add("agree_s", scene.agree_s());
    add("change_s_p99", part(delays.prompt, 0.99));
    add("change_s_max", part(delays.prompt, 1));
    add("change_late", static_cast<double>(delays.late.size()));
    add("change_late_s_max", part(delays.late, 1));
    add("kb_per_s_max", most.all.bytes_per_s / kb);
    add("kb_per_s_max_others", most.others.bytes_per_s / kb);
    add("kb_per_s_max_others_of_lists", most.others.list_bytes_per_s / kb);
    add("core_share_max", most.all.cores);
    add("deaths_told", static_cast<double>(scene.deaths.found));
    add("false_deaths", static_cast<double>(scene.deaths.wrong));
    add("deaths_by_cut", static_cast<double>(scene.deaths.cut));
}

std::vector<SceneOutcome> all_scenes(const ScaleOutcome& outcome) {
    std::vector<SceneOutcome> all = {outcome.start, outcome.calm};
    all.insert(all.end(), outcome.scenes.begin(), outcome.scenes.end());
    return all;
}

}  // namespace

Result scale_figures(ScaleWorld& world, const ScaleOutcome& outcome) {
    Result result;
    const ScalePlan& plan = world.plan();
    const auto delays = world.changes().delays(outcome.began, outcome.ended);
    const Most most = most_of(world, window_s, outcome.baseline, outcome.ended);
    const Most most_at_start = most_of(world, window_s, 0, outcome.baseline);
    const Memory memory = memory_of(world);
    const Likeness likeness = compare(world, outcome);
    const Usage::Rates real = mean_of(world, true, outcome.calm.began, outcome.calm.whole);
    const Usage::Rates hollow = mean_of(world, false, outcome.calm.began, outcome.calm.whole);
    double agree_s = 0;
    for (const SceneOutcome& scene : all_scenes(outcome)) agree_s = std::max(agree_s, scene.agree_s());
    const auto& deaths = world.deaths().counts();
    result.figures = {{"real_processes", plan.real},
                      {"hollow_agents", plan.hollow},
                      {"processes", plan.real + plan.hosts + 1},
                      {"memory_share", memory.all_kb / machine_memory_kb()},
                      {"changes", static_cast<double>(world.changes().told() - 1)},
                      {"change_in_force_s_p99", part(delays.prompt, 0.99)},
                      {"change_in_force_s_max", part(delays.prompt, 1)},
                      {"change_late_s_max", part(delays.late, 1)},
                      {"agents_without_change", static_cast<double>(world.changes().without_latest().size())},
                      {"agents_reachable", world.changes().reachable_agents()},
                      {"control_core_share_max", most.all.cores},
                      {"control_core_share_max_others", most.others.cores},
                      {"control_core_share_calm_real", real.cores},
                      {"control_core_share_calm_hollow", hollow.cores},
                      {"control_memory_mb_max", std::max(memory.of_real_kb, memory.of_hollow_kb) / kb},
                      {"control_memory_mb_hollow", memory.of_hollow_kb / kb},
                      {"control_kb_per_s_max", most.all.bytes_per_s / kb},
                      {"control_kb_per_s_max_others", most.others.bytes_per_s / kb},
                      {"control_kb_per_s_max_of_lists", most.all.list_bytes_per_s / kb},
                      {"control_kb_per_s_max_others_of_lists", most.others.list_bytes_per_s / kb},
                      {"control_kb_per_s_calm_real", real.bytes_per_s / kb},
                      {"control_kb_per_s_calm_hollow", hollow.bytes_per_s / kb},
                      {"control_messages_per_s_calm_real", real.messages_per_s},
                      {"control_messages_per_s_calm_hollow", hollow.messages_per_s},
                      {"start_kb_per_s_max", most_at_start.all.bytes_per_s / kb},
                      {"start_core_share_max", most_at_start.all.cores},
                      {"false_deaths", static_cast<double>(deaths.wrong)},
                      {"deaths_told", static_cast<double>(deaths.found)},
                      {"deaths_by_cut", static_cast<double>(deaths.cut)},
                      {"deaths_unclear", static_cast<double>(deaths.unclear)},
                      {"agree_s_max", agree_s},
                      {"hollow_to_real_messages", likeness.messages.value},
                      {"hollow_to_real_bytes", likeness.bytes.value},
                      {"hollow_to_real_messages_error", likeness.messages.error},
                      {"hollow_to_real_bytes_error", likeness.bytes.error},
                      {"hollow_to_real_messages_without_lists", likeness.messages_without_lists.value},
                      {"hollow_to_real_bytes_without_lists", likeness.bytes_without_lists.value},
                      {"hollow_to_real_messages_without_lists_error", likeness.messages_without_lists.error},
                      {"hollow_to_real_bytes_without_lists_error", likeness.bytes_without_lists.error},
                      {"hollow_to_real_messages_received", likeness.received.value},
                      {"compared_real", likeness.real},
                      {"compared_hollow", likeness.hollow},
                      {"laboratory_late_s_max", world.latest_look_s()},
                      {"seconds", outcome.ended - outcome.began}};
    for (const SceneOutcome& scene : all_scenes(outcome)) add_scene(result, world, scene);
    for (const std::string& what : world.deaths().wrong_ones()) result.violations.push_back(what);
    for (const Bound& bound : wanted) {
        const double value = figure(result, bound.name);
        const bool applies = bound.of_any_size || plan.agents() >= full_size;
        if (!applies || (value >= bound.least && value <= bound.most)) continue;
        result.violations.push_back("missed: " + std::string(bound.name) + " is " + std::to_string(value));
    }
    for (const SceneOutcome& scene : all_scenes(outcome)) {
        for (const std::string& what : scene.left_open) result.violations.push_back(scene.name + ": " + what);
    }
    return result;
}

}  // namespace lab
