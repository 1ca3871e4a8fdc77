#include "lab/soak/soak_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/run/socket_world.h"

namespace lab {
namespace {

constexpr std::size_t memory_limit_kb = 192 * 1024;
constexpr double calm_s = 2;  // before the first fault

void judge_processes(SocketWorld& world, Result& result) {
    std::uint64_t over_limit = 0;
    for (int agent = 0; agent < world.plan().agents; ++agent) {
        const std::string name = "agent " + std::to_string(agent);
        const AgentProcess& process = world.process(agent);
        if (process.logged(" fault ") > 0) result.violations.push_back(name + " logged a fault");
        if (process.memory_kb() <= memory_limit_kb) continue;
        ++over_limit;
        result.violations.push_back(name + " is over its limit of memory");
    }
    result.figures.emplace_back("over_limit", static_cast<double>(over_limit));
}

double count(const std::vector<std::string>& violations, const std::string& word) {
    return static_cast<double>(
        std::count_if(violations.begin(), violations.end(),
                      [&](const std::string& one) { return one.find(word) != std::string::npos; }));
}

}  // namespace

Result play_soak(const SoakPlan& plan, const SoakProgram& program) {
    constexpr double relay_delay_s = 0.0005;
    Result result;
    SocketWorld world(plan.trial.world, {program.path, program.folder, true, relay_delay_s, program.broken});
    world.ledger().follow(plan.trial.follow);
    world.run_for(calm_s);
    play(world, plan.trial.faults, plan.trial.seconds, !program.broken.empty());
    world.finish(plan.trial.settles_s);
    add_ledger(result, world.ledger(), "ledger");
    const auto& sums = world.ledger().sums();
    const double requests = static_cast<double>(sums.asked);
    result.figures = {
        {"requests", requests},
        {"answered", static_cast<double>(sums.answered)},
        {"refused", static_cast<double>(sums.refused)},
        {"failed", static_cast<double>(sums.failed)},
        {"given_up", static_cast<double>(sums.given_up)},
        {"faults", static_cast<double>(plan.trial.faults.size())},
        {"families_crossed", static_cast<double>(plan.played.size())},
        {"crashes", count(result.violations, "ended with status")},
        {"lost", count(result.violations, "lost:") + count(result.violations, "answer")},
        {"duplicate", static_cast<double>(sums.duplicate_setups)},
        {"late_after_drain", static_cast<double>(sums.late_after_drain)},
        {"left_behind", count(result.violations, "never heard") + count(result.violations, "kept")},
        {"cold_pushed_over", static_cast<double>(sums.cold_pushed_over)},
        {"crossed_close", static_cast<double>(sums.crossed)},
        {"not_judged_share", requests > 0 ? static_cast<double>(sums.excused) / requests : 0}};
    judge_processes(world, result);
    if (sums.answered == 0) result.violations.emplace_back("nobody was served");
    return result;
}

}  // namespace lab
