#include "power_loss.h"

#include <algorithm>
#include <map>

#include "lab/run/socket_world.h"
#include "lab/sim/sim_world.h"

namespace lab {

double ServiceCurve::reaches(double part, double from, double until) const {
    constexpr double stays_s = 1;
    double since = -1;
    for (const Point& point : points_) {
        if (point.at < from || point.at > until) continue;
        if (point.could <= 0 || point.served < part * point.could) {
            since = -1;
            continue;
        }
        if (since < 0) since = point.at;
        if (point.at >= since + stays_s) return since - from;
    }
    return until - from;
}

double ServiceCurve::kept() const {
    double served = 0;
    for (const Point& point : points_) served += point.served;
    const double whole = usual_ * static_cast<double>(points_.size());
    return whole > 0 ? served / whole : 0;
}

void with_recovery(WorldPlan& plan, const std::string& order) {
    const bool with = order != "none";
    plan.agents_remember = plan.agents_talk = with;
    plan.agents_recover = true;  // a feed for each building; its order may be off
    plan.recovery.order = with ? order : "off";
}

WorldPlan power_processes_plan(std::uint64_t seed, int agents) {
    WorldPlan plan = even_plan(seed, agents, 8, 12000);
    plan.racks = plan.zones = 2;
    plan.places = 120;
    plan.rack_part = 1.5;
    plan.told_late = 0.3;
    plan.slack_s = 0.5;
    plan.life_s = 25;
    plan.arrivals_per_s = arrivals_for(plan, 0.9);
    plan.claimed_part = 0.7;
    plan.heeds_part = 0.7;
    plan.cold.falls = true;
    plan.store.claim_s = 4;
    plan.fleet.probe_every_s = 0.4;
    plan.fleet.answer_s = 0.15;
    plan.fleet.sync_s = 2;
    plan.recovery.spread_s = 6;
    plan.recovery.ask_s = 2;
    plan.recovery.paid_s = 4;
    plan.recovery.rest_s = 8;
    return plan;
}

namespace {

struct Counts {
    std::uint64_t arrivals = 0, asks = 0, claims = 0, claims_lost = 0;
};

template <typename AnyWorld>
Counts count(AnyWorld& world) {
    Counts sum;
    for (int agent = 0; agent < world.plan().agents; ++agent) {
        const Viewers& crowd = world.viewers(agent);
        sum.arrivals += crowd.arrivals();
        sum.asks += crowd.asks();
        sum.claims += crowd.claims_made();
        sum.claims_lost += crowd.claims_lost();
    }
    return sum;
}

template <typename AnyWorld>
double up_part(AnyWorld& world) {
    int up = 0;
    for (int server = 0; server < world.plan().servers; ++server)
        up += world.server(server) != nullptr ? 1 : 0;
    return static_cast<double>(up) / world.plan().servers;
}

}  // namespace

template <typename AnyWorld>
PowerRun play_power(AnyWorld& world, const PowerPlan& plan) {
    PowerRun run;
    Uniform uniform{std::mt19937_64(plan.seed * 17 + 3)};
    const auto& sums = world.ledger().sums();
    constexpr double step_s = 0.5;  // whole ticks of every world
    world.run_for(plan.fills_s);
    const double earned = sums.worth_earned;
    world.run_for(plan.usual_s);
    run.curve.before((sums.worth_earned - earned) / plan.usual_s);
    const double began = world.now();
    const auto watch = [&](double seconds) {
        for (double passed = 0; passed < seconds; passed += step_s) {
            const double before = sums.worth_earned, at = world.now();
            world.run_for(step_s);
            run.curve.point(world.now() - began, (sums.worth_earned - before) / (world.now() - at),
                            up_part(world));
        }
    };
    double paid_asked = 0, paid_answered = 0;          // within the first seconds of each return
    std::map<bool, std::vector<double>> half, ninety;  // after the loss of one building, or of all
    int losses = 0, kills = 0;
    for (int loss = 0; loss < plan.all + plan.building; ++loss) {
        PowerLoss fails;
        fails.seed = plan.seed * 1000 + static_cast<std::uint64_t>(loss);
        fails.never_part = plan.never_part;
        // In turn, all and one building, as long as there are both to come.
        const bool one = loss % 2 == 1 ? loss / 2 < plan.building : loss / 2 >= plan.all;
        if (one) fails.building = uniform.below(world.plan().zones);
        world.power_fails(fails);
        ++losses;
        const double back = world.now() - began + fails.outage_s;
        if (plan.again_in_recovery) {
            watch(fails.outage_s + 3 * uniform());
            fails.seed += 500;
            world.power_fails(fails);
            ++losses;
        }
        const auto paid = std::pair(sums.paid_asked, sums.paid_answered);
        const double first_s = std::min(plan.every_s, 10.0);
        watch(first_s);
        paid_asked += static_cast<double>(sums.paid_asked - paid.first);
        paid_answered += static_cast<double>(sums.paid_answered - paid.second);
        watch(plan.every_s - first_s);
        half[one].push_back(run.curve.reaches(0.5, back, world.now() - began));
        ninety[one].push_back(run.curve.reaches(0.9, back, world.now() - began));
        for (int kill = 0; kill < plan.kills_between; ++kill, ++kills) {
            world.kill_agent(uniform.below(world.plan().agents));
            watch(1);
        }
        watch(4);
    }
    world.finish(12);
    add_ledger(run.result, world.ledger(), "ledger");
    const Counts all = count(world);
    const auto both = [](const std::map<bool, std::vector<double>>& times) {
        std::vector<double> list;
        for (const auto& [one, some] : times) list.insert(list.end(), some.begin(), some.end());
        return list;
    };
    const auto part_of = [](auto some, auto whole) {
        return whole > 0 ? static_cast<double>(some) / static_cast<double>(whole) : 1.0;
    };
    run.result.figures = {
        {"processes", world.plan().agents},
        {"power_losses", losses},
        {"kills", kills},
        {"asked", static_cast<double>(sums.asked)},
        {"answered", static_cast<double>(sums.answered)},
        {"sessions_claimed", static_cast<double>(all.claims)},
        {"sessions_recovered_share", part_of(all.claims - all.claims_lost, all.claims)},
        {"ghost_s", sums.ghost_s},
        {"duplicate_setups", static_cast<double>(sums.duplicate_setups)},
        {"double_payments", static_cast<double>(sums.double_payments)},
        {"lost_outcomes", static_cast<double>(sums.lost - sums.excused)},
        {"late_after_drain", static_cast<double>(sums.late_after_drain)},
        {"cold_pushed_over", static_cast<double>(sums.cold_pushed_over)},
        {"half_service_s", part(both(half), 0.5)},
        {"ninety_service_s", part(both(ninety), 0.5)},
        {"half_service_s_all", part(half[false], 0.5)},
        {"ninety_service_s_all", part(ninety[false], 0.5)},
        {"half_service_s_building", part(half[true], 0.5)},
        {"ninety_service_s_building", part(ninety[true], 0.5)},
        {"paid_served_share", part_of(paid_answered, paid_asked)},  // in the first 10 s of a return
        {"sent_cold", static_cast<double>(sums.sent_cold)},
        {"repeat_amplification", part_of(all.asks, all.arrivals)},
        {"worth", run.curve.kept()},
    };
    return run;
}

template PowerRun play_power(SimWorld&, const PowerPlan&);
template PowerRun play_power(SocketWorld&, const PowerPlan&);

}  // namespace lab
