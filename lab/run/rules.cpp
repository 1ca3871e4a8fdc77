// Every fault that the laboratory knows, at random times, under full links, while sessions are handed over.
#include <cstdio>

#include "lab/run/rules_plan.h"

namespace lab {
namespace {

constexpr double rules_s = 80, processes_s = 40;

// Tells the smallest plan found that still fails: what a reader looks at first.
void tell_smaller(const RulesPlan& plan, const std::string& fault) {
    RulesPlan smaller = plan;
    constexpr int most_trials = 60;
    smaller.faults = cut_down(
        plan.faults,
        [&](const FaultPlan& faults) {
            RulesPlan trial = plan;
            trial.faults = faults;
            return !play_rules(trial, fault).violations.empty();
        },
        most_trials);
    std::printf("still fails with %zu of %zu faults:\n", smaller.faults.size(), plan.faults.size());
    for (const FaultStep& step : smaller.faults) std::printf("  %s\n", to_text(step).c_str());
}

}  // namespace

Result run_rules(const Ask& ask) {
    RulesPlan plan = rules_plan(ask.seed, 4, rules_s, 0.5);
    plan.follow = ask.follow;
    Result result = play_rules(plan, ask.broken);
    if (plan.follow != 0) {
        for (const FaultStep& step : plan.faults) std::printf("%s\n", to_text(step).c_str());
    }
    if (!result.violations.empty() && ask.cut_down) tell_smaller(plan, ask.broken);
    return result;
}

Result run_short(const Ask& ask) {
    RulesPlan plan = short_plan(ask.seed);
    plan.follow = ask.follow;
    return play_rules(plan, ask.broken);
}

Result run_short_processes(const Ask& ask) {
    RulesPlan plan = short_plan(ask.seed);
    plan.follow = ask.follow;
    return play_processes(plan, ask.broken.empty() ? ask.program : ask.broken_program, ask.folder,
                          ask.broken);
}

Result run_processes(const Ask& ask) {
    RulesPlan plan = rules_plan(ask.seed, ask.agents_or(8), processes_s, 0.5);
    plan.follow = ask.follow;
    return play_processes(plan, ask.broken.empty() ? ask.program : ask.broken_program, ask.folder,
                          ask.broken);
}

}  // namespace lab
