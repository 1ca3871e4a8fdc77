// Three agents, and every fate of the first messages after a death, a pause, a loss of power or nothing: each
// is delivered, lost or told twice. An agent that never answers a doubt of itself is found out.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/membership.h"

using namespace jasperspread::fleet;

namespace {

constexpr int agents = 3, fated = 7, fates = 3;  // messages with a fate of their own, and how many there are
constexpr double delay_s = 0.01, joins_s = 10, away_s = 3, pause_s = 4, settles_s = 25;

enum class What { Nothing, Kill, KillForGood, Pause, PowerLoss };

Name name_at(int agent) {
    return "n" + std::to_string(agent);
}
Address address_at(int agent) {
    return "127.0.0.1:" + std::to_string(2910 + agent);
}

struct Flying {
    double at = 0;
    int from = 0, to = 0;
    Incarnation incarnation;
    Message message;
};

// Copied at will: a world is played on from the same beginning for each order of fates.
struct World {
    std::vector<std::optional<Membership>> members{agents};
    std::vector<double> paused_until = std::vector<double>(agents, 0);
    std::vector<Flying> flying;
    std::map<std::pair<int, Name>, Incarnation> known;  // by whom, of whom
    double now = 100;
    std::uint64_t tokens = 1;
    std::size_t died = 0;
    bool went_back = false, never_refutes = false;

    World(const World&) = default;
    World& operator=(const World&) = delete;
    explicit World(bool broken) : never_refutes(broken) {
        for (int agent = 0; agent < agents; ++agent) start(agent);
    }

    void start(int agent) {
        Settings set;
        set.suspect_s = 2;
        set.sync_s = 2;
        set.seeds = {address_at(0), address_at(1)};
        const MemberRecord self{name_at(agent), address_at(agent), {1, ++tokens}, Health::Alive};
        members[static_cast<std::size_t>(agent)].emplace(set, self, 7 + tokens, now);
    }
    void kill(int agent) { members[static_cast<std::size_t>(agent)].reset(); }

    void send(int from, const std::vector<Outgoing>& outgoing, std::vector<int>* to_come) {
        const MemberRecord& self = members[static_cast<std::size_t>(from)]->self();
        for (const Outgoing& message : outgoing) {
            const int fate = to_come == nullptr || to_come->empty() ? 0 : to_come->back();
            if (to_come != nullptr && !to_come->empty()) to_come->pop_back();
            if (fate == 1) continue;
            Flying one{now + delay_s, from, message.to.back() - '0', self.incarnation, message.message};
            if (never_refutes && from == 2) {
                one.incarnation.number = 1;
                std::erase_if(one.message.updates,
                              [&](const MemberRecord& update) { return update.name == self.name; });
            }
            flying.push_back(one);
            one.at += 1.5 * delay_s;
            if (fate == 2) flying.push_back(one);
        }
    }

    void look(int agent) {
        Membership& own = *members[static_cast<std::size_t>(agent)];
        for (const Event& event : own.take_events()) died += event.what == Event::What::Died ? 1 : 0;
        for (const auto& [name, member] : own.members()) {
            Incarnation& before = known[{agent, name}];
            went_back = went_back || member.record.incarnation < before;
            before = member.record.incarnation;
        }
    }

    void run(double seconds, std::vector<int>* to_come) {
        const double until = now + seconds;
        while (true) {
            double next = until;
            for (const Flying& one : flying) next = std::min(next, one.at);
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (members[i]) next = std::min(next, std::max(members[i]->due(), paused_until[i]));
            }
            now = std::max(now, next);
            if (next >= until) return;
            for (int agent = 0; agent < agents; ++agent) {
                const auto i = static_cast<std::size_t>(agent);
                if (!members[i] || now < paused_until[i] || now < members[i]->due()) continue;
                send(agent, members[i]->on_time(now), to_come);
                look(agent);
            }
            std::vector<Flying> come;
            std::erase_if(flying, [&](const Flying& one) {
                const bool is = one.at <= now && now >= paused_until[static_cast<std::size_t>(one.to)];
                if (is) come.push_back(one);
                return is;
            });
            for (Flying& one : flying) one.at = std::max(one.at, one.at <= now ? now + delay_s : one.at);
            for (const Flying& one : come) {
                auto& to = members[static_cast<std::size_t>(one.to)];
                if (!to) continue;
                send(one.to,
                     to->heard(name_at(one.from), address_at(one.from), one.incarnation, one.message, now),
                     to_come);
                look(one.to);
            }
        }
    }

    bool all_agree() const {
        for (const auto& own : members) {
            if (!own) continue;
            for (const auto& other : members) {
                if (!other || &other == &own) continue;
                const auto it = own->members().find(other->self().name);
                if (it == own->members().end() || it->second.record.health != Health::Alive ||
                    it->second.record.incarnation.token != other->self().incarnation.token)
                    return false;
            }
        }
        return true;
    }
};

// What is wrong with one order of fates, or nothing.
std::string wrong(const World& begun, What what, int order) {
    World world = begun;
    std::vector<int> to_come;
    for (int i = 0; i < fated; ++i, order /= fates) to_come.push_back(order % fates);
    const bool all = what == What::PowerLoss;
    for (int agent = all ? 0 : 2; agent < agents; ++agent) {
        if (what == What::Kill || what == What::KillForGood || all) world.kill(agent);
        if (what == What::Pause) world.paused_until[2] = world.now + pause_s;
    }
    world.run(away_s, all ? nullptr : &to_come);
    for (int agent = all ? 0 : 2; agent < agents; ++agent) {
        if (what == What::Kill || all) world.start(agent);
    }
    if (all) world.known.clear();
    world.run(settles_s, &to_come);
    if (world.went_back) return "an earlier life came back";
    const bool nobody_died = what == What::Nothing || what == What::Pause;
    if (nobody_died && world.died > 0) return "one that lives was called dead";
    if (what == What::KillForGood && world.died != 2) return "a death was not found, or found twice";
    return world.all_agree() ? "" : "they don't agree";
}

World joined(bool broken) {
    World world(broken);
    world.run(joins_s, nullptr);
    REQUIRE(world.all_agree());
    return world;
}

std::string first_wrong(bool broken, std::size_t& orders) {
    const World begun = joined(broken);
    int all = 1;
    for (int i = 0; i < fated; ++i) all *= fates;
    for (const What what : {What::Nothing, What::Kill, What::KillForGood, What::Pause, What::PowerLoss}) {
        for (int order = 0; order < all; ++order, ++orders) {
            const std::string found = wrong(begun, what, order);
            if (!found.empty())
                return found + ": " + std::to_string(static_cast<int>(what)) + " " + std::to_string(order);
        }
    }
    return "";
}

}  // namespace

TEST_CASE("membership: three agents agree again after every fate of seven messages") {
    std::size_t orders = 0;
    CHECK_EQ(first_wrong(false, orders), "");
    CHECK_EQ(orders, 5 * 2187);
}

TEST_CASE("membership: an agent that never answers a doubt of itself is found out") {
    std::size_t orders = 0;
    CHECK_NE(first_wrong(true, orders), "");
}
