#include "faults.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>

namespace lab {
namespace {

constexpr std::array<const char*, 22> names = {"squeeze",
                                               "freeze-server",
                                               "kill-server",
                                               "drain-server",
                                               "cut",
                                               "kill-agent",
                                               "stop-agent",
                                               "end-agent",
                                               "rush",
                                               "end-and-kill-agent",
                                               "signal-series",
                                               "silence-feed",
                                               "feed-down",
                                               "replace-server",
                                               "reset-links",
                                               "cut-one-way",
                                               "pieces",
                                               "bad-clients",
                                               "spoil-answers",
                                               "hold-releases",
                                               "deaden-connections",
                                               "garble-lines"};
constexpr bool of_agent(Trouble what) {
    return what == Trouble::KillAgent || what == Trouble::StopAgent || what == Trouble::EndAgent;
}
// How long the troubles of a kind last, s.
std::pair<double, double> lasting(Trouble what) {
    switch (what) {
        case Trouble::Squeeze:
            return {1, 6};
        case Trouble::DrainServer:
            return {2, 6};
        case Trouble::FreezeServer:
            return {0.2, 7};  // also past the longest deadline
        case Trouble::StopAgent:
            return {0.1, 0.3};
        case Trouble::Rush:
            return {2, 4};
        case Trouble::Pieces:
        case Trouble::BadClients:
        case Trouble::SpoilAnswers:
            return {2, 6};
        default:
            return {0.2, 2};
    }
}

void begin(World& world, const FaultStep& step) {
    switch (step.what) {
        case Trouble::Squeeze:
            return world.squeeze(step.server, step.size);
        case Trouble::FreezeServer:
            return world.freeze_server(step.server, true);
        case Trouble::KillServer:
            return world.kill_server(step.server, step.lasts);
        case Trouble::DrainServer:
            return world.drain_server(step.server);
        case Trouble::CutLink:
            return world.cut(step.agent, step.server, true);
        case Trouble::KillAgent:
            return world.kill_agent(step.agent);
        case Trouble::StopAgent:
            return world.stop_agent(step.agent, true);
        case Trouble::EndAgent:
            return world.ask_agent_to_end(step.agent);
        case Trouble::Rush:
            for (int agent = 0; agent < world.plan().agents; ++agent)
                world.viewers(agent).set_rate(step.size * world.plan().arrivals_per_s / world.plan().agents);
            return;
        case Trouble::EndAndKillAgent:
            return world.end_and_kill_agent(step.agent);
        case Trouble::SignalSeries:
            return world.signal_agent_in_series(step.agent);
        case Trouble::SilenceFeed:
            return world.silence_feed(step.agent);
        case Trouble::FeedDown:
            return world.feed_down(step.agent, true);
        case Trouble::ReplaceServer:
            return world.replace_server(step.server);
        case Trouble::ResetLinks:
            return world.reset_links(step.agent, step.server);
        case Trouble::CutOneWay:
            return world.cut_one_way(step.agent, step.server, true);
        case Trouble::Pieces:
            return world.in_pieces(step.agent, true);
        case Trouble::BadClients:
            return world.bad_clients(step.agent, true);
        case Trouble::SpoilAnswers:
            return world.spoil_answers(step.server, true);
        case Trouble::HoldReleases:
            return world.hold_releases(step.server, true);
        case Trouble::DeadenConnections:
            return world.deaden_connections(step.agent, step.server);
        case Trouble::GarbleLines:
            return world.garble_lines(step.server, true);
    }
}

void mend(World& world, const FaultStep& step) {
    switch (step.what) {
        case Trouble::Squeeze:
            return world.squeeze(step.server, 1);
        case Trouble::FreezeServer:
            return world.freeze_server(step.server, false);
        case Trouble::DrainServer:
            return world.list_server(step.server);
        case Trouble::CutLink:
            return world.cut(step.agent, step.server, false);
        case Trouble::StopAgent:
            return world.stop_agent(step.agent, false);
        case Trouble::Rush:
            return begin(world, {0, 0, Trouble::Rush, 0, 0, 1});
        case Trouble::FeedDown:
            return world.feed_down(step.agent, false);
        case Trouble::CutOneWay:
            return world.cut_one_way(step.agent, step.server, false);
        case Trouble::Pieces:
            return world.in_pieces(step.agent, false);
        case Trouble::BadClients:
            return world.bad_clients(step.agent, false);
        case Trouble::SpoilAnswers:
            return world.spoil_answers(step.server, false);
        case Trouble::HoldReleases:
            return world.hold_releases(step.server, false);
        case Trouble::GarbleLines:
            return world.garble_lines(step.server, false);
        default:
            return;  // those start again by themselves
    }
}

}  // namespace

std::string to_text(const FaultStep& step) {
    return std::to_string(step.at) + "s " + names[static_cast<std::size_t>(step.what)] + " server " +
           std::to_string(step.server) + " agent " + std::to_string(step.agent) + " for " +
           std::to_string(step.lasts) + "s size " + std::to_string(step.size);
}

FaultPlan read_faults(const std::string& text) {
    FaultPlan plan;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        FaultStep step;
        std::string at, name, lasts, word;
        words >> at >> name >> word >> step.server >> word >> step.agent >> word >> lasts >> word >>
            step.size;
        const auto known = std::find(names.begin(), names.end(), name);
        if (!words || known == names.end()) throw std::runtime_error("not a fault: " + line);
        step.what = static_cast<Trouble>(known - names.begin());
        step.at = std::stod(at);
        step.lasts = std::stod(lasts);
        plan.push_back(step);
    }
    return plan;
}

FaultPlan draw_faults(const WorldPlan& plan, std::uint64_t seed, double seconds, double every_s,
                      const std::vector<Trouble>& kinds) {
    std::mt19937_64 random(seed);
    const auto uniform = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
    const auto below = [&](int most) { return static_cast<int>(uniform() * most); };
    FaultPlan steps;
    std::map<std::pair<bool, int>, double> busy_until;  // of agents and of servers
    double rush_until = 0;
    for (double at = 0;;) {
        at += -std::log(1 - 0.999 * uniform()) * every_s;
        if (at >= seconds) return steps;
        FaultStep step;
        step.at = at;
        step.what = kinds[static_cast<std::size_t>(below(static_cast<int>(kinds.size())))];
        step.server = below(plan.servers);
        step.agent = below(plan.agents);
        const auto [least, most] = lasting(step.what);
        step.lasts = least + (most - least) * uniform();
        step.size = step.what == Trouble::Rush ? 2 + 2 * uniform() : 0.2 + 0.5 * uniform();
        const bool rush = step.what == Trouble::Rush;
        double& until =
            rush ? rush_until
                 : busy_until[{of_agent(step.what), of_agent(step.what) ? step.agent : step.server}];
        if (at < until) continue;
        // An agent that was killed or has ended needs a moment to be there again.
        constexpr double back_s = 6;
        until = at + step.lasts + (of_agent(step.what) ? back_s : 0);
        steps.push_back(step);
    }
}

void play(World& world, const FaultPlan& plan, double seconds, bool until_broken) {
    struct Due {
        double at;
        const FaultStep* step;
        bool begins;
    };
    std::vector<Due> dues;
    for (const FaultStep& step : plan) {
        dues.push_back({step.at, &step, true});
        dues.push_back({std::min(seconds, step.at + step.lasts), &step, false});
    }
    std::stable_sort(dues.begin(), dues.end(), [](const Due& a, const Due& b) { return a.at < b.at; });
    const double start = world.now();
    const auto over = [&] { return until_broken && !world.ledger().violations().empty(); };
    const auto run_to = [&](double at) {
        constexpr double looks_every_s = 0.5;
        while (start + at > world.now() && !over()) {
            const double left = start + at - world.now();
            world.run_for(until_broken ? std::min(left, looks_every_s) : left);
        }
    };
    for (const Due& due : dues) {
        run_to(due.at);
        if (over()) return;
        due.begins ? begin(world, *due.step) : mend(world, *due.step);
    }
    run_to(seconds);
}

// Leaves out ever smaller parts as long as what is left still fails (Zeller's ddmin, complements only).
FaultPlan cut_down(FaultPlan plan, const std::function<bool(const FaultPlan&)>& fails, int most_trials) {
    std::size_t parts = 2;
    while (plan.size() > 1 && most_trials > 0) {
        const std::size_t size = (plan.size() + parts - 1) / parts;
        bool smaller = false;
        for (std::size_t from = 0; from < plan.size() && most_trials > 0; from += size, --most_trials) {
            FaultPlan rest(plan.begin(), plan.begin() + static_cast<long>(from));
            rest.insert(rest.end(), plan.begin() + static_cast<long>(std::min(plan.size(), from + size)),
                        plan.end());
            if (!fails(rest)) continue;
            plan = std::move(rest);
            smaller = true;
            break;
        }
        if (smaller) {
            parts = std::max<std::size_t>(2, parts - 1);
        } else if (size == 1) {
            return plan;
        } else {
            parts = std::min(plan.size(), parts * 2);
        }
    }
    return plan;
}

}  // namespace lab
