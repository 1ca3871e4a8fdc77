#include "kills.h"

#include <filesystem>

#include "lab/run/socket_world.h"

namespace lab {
namespace {

WorldPlan world_of(const KillsPlan& plan) {
    WorldPlan world = even_plan(plan.seed, plan.agents, 6, 30000);
    world.places = 300;
    world.rack_part = 1.5;
    world.told_late = 0.2;
    world.slack_s = 0.5;
    world.life_s = 30;
    world.arrivals_per_s = 15;
    world.claimed_part = 0.5;
    world.agents_remember = plan.remembers;
    world.store.claim_s = 2;
    world.agents_talk = true;
    world.fleet.probe_every_s = 0.4;
    world.fleet.answer_s = 0.15;
    world.fleet.sync_s = 2;
    return world;
}

}  // namespace

Result play_kills(const KillsPlan& plan, const std::string& program, const std::string& folder) {
    Result result;
    SocketWorld world(world_of(plan),
                      {program, folder, true, 0.0002, "", plan.all || plan.at_syncs, plan.at_syncs});
    Uniform uniform{std::mt19937_64(plan.seed)};
    const double longest = plan.kills * plan.every_s;
    if (plan.at_syncs) world.run_until([&] { return world.deaths_at_syncs() >= plan.kills; }, longest);
    for (int kill = 0; !plan.at_syncs && kill < plan.kills; ++kill) {
        world.run_for(plan.every_s * (0.5 + uniform()));
        for (int agent = 0; plan.all && agent < plan.agents; ++agent) world.kill_agent(agent);
        if (plan.all) continue;
        // At random, and in turn where few are killed: each then has something to lose.
        world.kill_agent(plan.kills > 4 * plan.agents ? uniform.below(plan.agents) : kill % plan.agents);
    }
    world.run_for(6);
    world.finish(6);
    add_ledger(result, world.ledger(), "ledger");
    std::size_t lives = 0, settled = 0;
    for (int agent = 0; agent < plan.agents; ++agent) {
        lives += world.process(agent).logged(" store_read ");
        settled += world.process(agent).logged(" returned ");
        if (world.process(agent).logged("store_damaged") +
                world.process(agent).logged("store_records_damaged") >
            0)
            result.violations.emplace_back("a store was damaged");
        if (world.process(agent).logged(" fault ") > 0)
            result.violations.emplace_back("an agent logged a fault");
    }
    const auto& sums = world.ledger().sums();
    result.figures = {{"kills", plan.at_syncs ? world.deaths_at_syncs() : plan.kills},
                      {"asked", static_cast<double>(sums.asked)},
                      {"answered", static_cast<double>(sums.answered)},
                      {"lost_with_the_dead", static_cast<double>(sums.excused)},
                      {"claimed", static_cast<double>(sums.claimed)},
                      {"lives", static_cast<double>(lives)},
                      {"settled", static_cast<double>(settled)},
                      {"duplicate_setups", static_cast<double>(sums.duplicate_setups)},
                      {"double_payments", static_cast<double>(sums.double_payments)},
                      {"ghost_s", sums.ghost_s},
                      {"worth", worth_part(world.ledger())}};
    return result;
}

Result run_kills(const Ask& ask) {
    Result result;
    for (const bool remembers : {true, false}) {
        const std::string folder = ask.folder + (remembers ? "/with" : "/without");
        std::filesystem::create_directory(folder);
        const Result one = play_kills({ask.seed, ask.agents_or(8), 200, 0.5, remembers}, ask.program, folder);
        for (const std::string& what : one.violations) result.violations.push_back(what);
        for (const auto& [name, value] : one.figures)
            result.figures.emplace_back(remembers ? name : name + "_without", value);
    }
    const std::string folder = ask.folder + "/syncs";
    std::filesystem::create_directory(folder);
    KillsPlan chosen{ask.seed, ask.agents_or(8), 60, 1.0, true, false, true};
    const Result one = play_kills(chosen, ask.broken_program, folder);
    for (const std::string& what : one.violations) result.violations.push_back("at syncs " + what);
    for (const auto& [name, value] : one.figures) result.figures.emplace_back(name + "_at_syncs", value);
    return result;
}

}  // namespace lab
