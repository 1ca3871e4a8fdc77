// The decision module beside its accounts: they hold what a walk over all sessions finds, whatever happens,
// and an event costs no more where more sessions are held.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "policy/brain.h"

namespace {

using namespace cinderfront;

constexpr double inexact_ladder[] = {93.7, 187.31, 401.13, 777.77};  // sums of these depend on their order
constexpr std::uint32_t title_count = 20;

Settings settings(std::uint32_t fronts, std::uint32_t servers, double link_kb, bool racks) {
    Settings set;
    set.fronts = fronts;
    set.cells = servers;
    set.racks = racks ? servers / 3 + 1 : 0;
    set.ladder_kb.assign(std::begin(inexact_ladder), std::end(inexact_ladder));
    set.worth_by_rung = {0.31, 0.57, 0.83, 1};
    set.weight_kb = link_kb;
    set.rack_link_kb = racks ? 2.5 * link_kb : 0;
    set.all_links_kb = link_kb * servers;
    set.places_by_kind = {100};
    set.shared_adds = 0.3;
    set.stall_cost = 3;
    set.switch_cost_s = 0.5;
    set.told_late = 1;
    set.told_every = 4;
    set.round = 0.01;
    set.try_limit = 3;
    for (const double scale : {1.0, 0.37, 1.3}) {
        ClassSettings c;
        c.aim = 1;
        c.deadline = 4;
        c.points = 2;
        c.scale = scale;
        c.top = 3;
        c.live = scale > 1;
        c.seats = scale < 1 ? 5000 : 0;
        set.classes.push_back(c);
    }
    return set;
}

ServerList list_of(std::uint32_t servers, const std::function<ServerState()>& state) {
    ServerList list;
    list.kind = ListKind::Restored;
    for (std::uint32_t i = 0; i < servers; ++i) {
        ServerEntry entry;
        entry.server = i + 1;
        entry.cell = i;
        entry.size = 1;
        entry.state = state();
        list.entries.push_back(entry);
    }
    return list;
}

// The module with viewers and servers that do as it says, by chance.
class Fleet {
public:
    Fleet(const Settings& set, std::uint32_t servers, std::uint64_t seed)
        : brain(set, seed), servers_(servers), random_(seed) {
        tell(list_of(servers_, [] { return ServerState::Up; }));
    }

    std::size_t below(std::size_t count) { return random_() % count; }
    double between(double low, double high) {
        return low + (high - low) * std::uniform_real_distribution<double>()(random_);
    }

    void tell(const Event& event) {
        std::vector<Action> actions;
        brain.handle(now, event, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) ++attempts_[send->id];
        }
    }

    Request request() {
        Request r;
        r.id = random_();
        r.cls = static_cast<std::uint32_t>(below(3));
        r.title = below(title_count);
        r.not_after = now + 4;
        r.hint = between(1, 100);
        r.holders = servers_;
        r.ceiling = static_cast<int>(below(4));
        ids.push_back(r.id);
        return r;
    }

    // One more session, set up; its server tells how full its link is.
    void set_up(double fill) {
        const Request r = request();
        tell(NewRequest{r});
        const Session* s = brain.find(r.id);
        if (s == nullptr || !s->out) return;
        const std::uint32_t server = s->server;
        tell(Started{r.id, server, attempt_of(r.id), 0.05});
        tell(Note{r.id, NoteKind::Link, attempt_of(r.id), server, fill});
    }

    // Anything that can happen to a session, or to the list.
    void step() {
        now += between(0, 0.1);
        const std::uint64_t id = ids.empty() ? 0 : ids[below(ids.size())];
        const Session* s = brain.find(id);
        const std::uint32_t server = s != nullptr ? s->server : 0, attempt = attempt_of(id);
        switch (below(14)) {
            case 0:
            case 1:
            case 2:
                return tell(NewRequest{request()});
            case 3:
                return tell(TakenOver{request(), static_cast<std::uint32_t>(1 + below(servers_ + 1))});
            case 4:
            case 5:
                return tell(Started{id, server, attempt, 0.05});
            case 6:
            case 7:
                return tell(Note{id, NoteKind::Link, attempt, server, between(0, 1.3)});
            case 8:
                return tell(Note{id, NoteKind::Delivered, attempt, server, between(0.3, 1.1)});
            case 9:
                return tell(Note{id, NoteKind::Rung, attempt, server, static_cast<double>(below(4))});
            case 10:
                return tell(Note{id, NoteKind::Rack, attempt, server, between(0, 1.2)});
            case 11: {
                const bool last = below(2) == 0;
                const Ending endings[] = {Ending::Delivered, Ending::AppError, Ending::Shed, Ending::Expired,
                                          Ending::Dropped};
                return tell(Outcome{id, attempt, server, endings[below(5)], 0.1, last, {}});
            }
            case 12:
                tell(Seek{id});
                return tell(
                    Rehomed{id, static_cast<std::uint32_t>(1 + below(servers_)), static_cast<int>(below(4))});
            default:
                if (below(5) > 0) return tell(Abandoned{id});
                return tell(list_of(servers_, [&] {
                    const ServerState states[] = {ServerState::Up, ServerState::Up, ServerState::Leaving,
                                                  ServerState::Gone};
                    return states[below(4)];
                }));
        }
    }

    std::uint32_t attempt_of(std::uint64_t id) const {
        const auto it = attempts_.find(id);
        return it == attempts_.end() ? 0 : it->second - 1;
    }

    Brain brain;
    double now = 1000;
    std::vector<std::uint64_t> ids;  // of all sessions ever

private:
    std::uint32_t servers_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, std::uint32_t> attempts_;
};

// The sessions that the module holds.
std::vector<Session*> sessions_of(Fleet& fleet) {
    std::vector<Session*> found;
    for (const std::uint64_t id : fleet.ids) {
        if (Session* s = fleet.brain.find(id)) found.push_back(s);
    }
    REQUIRE(found.size() == fleet.brain.sessions.size());
    return found;
}

void check_totals(Fleet& fleet, const std::vector<Session*>& sessions) {
    const Brain& brain = fleet.brain;
    double rate = 0;
    std::size_t held = 0;
    std::map<std::uint64_t, int> playing, limited;
    for (const Session* s : sessions) {
        if (!s->out) continue;
        rate += s->rate;
        ++held;
        playing[*s->req.title] += s->playing;
        limited[*s->req.title] += s->req.cls == 1;
    }
    REQUIRE(brain.all_held.size() == held);
    REQUIRE(brain.all_held.rate() == doctest::Approx(rate).epsilon(1e-12));
    for (std::uint64_t title = 0; title < title_count; ++title) {
        REQUIRE(brain.all_held.plays(title) == (playing[title] > 0));
        REQUIRE(brain.all_held.limited(1, title) == limited[title]);
    }
}

void check_server(Fleet& fleet, const Server& server, const std::vector<Session*>& sessions) {
    const Brain& brain = fleet.brain;
    double rate = 0;
    std::vector<std::uint64_t> ids, rising;
    accounting::ChargeLedger rest = server.held.charges;
    const double price = fleet.between(0, 2) * brain.most_price;
    const int rung = static_cast<int>(fleet.below(4));
    const std::uint64_t title = fleet.below(title_count);
    bool sharing = false;
    for (const Session* s : sessions) {
        if (!s->out || s->at != &server) continue;
        ids.push_back(s->req.id);
        rate += s->rate;
        rest.remove({s->req.id, s->since, brain.slot_of(s->until), s->rate});
        sharing = sharing || (s->req.cls == 2 && s->req.title == title && s->rung == rung);
        const int top = brain.top_rung(*s);
        const bool plays_low = s->playing && s->rung >= 0 && top >= 0;
        if (plays_low && brain.rung_at(s->req.cls, top, price * s->taste) > s->rung)
            rising.push_back(s->req.id);
    }
    std::ranges::sort(ids);
    std::ranges::sort(rising);
    REQUIRE(server.held.charges.ids() == ids);
    REQUIRE(server.held.charges.rate() == doctest::Approx(rate).epsilon(1e-12));
    REQUIRE(rest.empty());
    REQUIRE(rest.rate() == 0);
    REQUIRE(server.held.sharing(2, title, rung) == sharing);
    REQUIRE(server.held.rising_at(price) == rising);
}

void check_price(Fleet& fleet, const std::vector<Session*>& sessions) {
    const Brain& brain = fleet.brain;
    const auto ladder = brain.set.ladder_kb.size();
    const auto wanted = [&](double price) {
        double sum = 0;
        for (const Session* s : sessions) {
            const int top = brain.top_rung(*s);
            sum += brain.kb_of(s->req.cls, brain.rung_at(s->req.cls, top, price * s->taste));
        }
        for (const auto& turned : brain.turned_away) {
            const auto cls = static_cast<std::uint32_t>(turned.group / ladder);
            sum += brain.kb_of(cls, brain.rung_at(cls, static_cast<int>(turned.group % ladder), price));
        }
        return sum;
    };
    const double price = fleet.between(brain.least_price, brain.most_price);
    REQUIRE(brain.demand.wanted(price) == doctest::Approx(wanted(price)).epsilon(1e-12));
    const double part = fleet.between(0, 1.1) * wanted(brain.least_price);
    double low = brain.least_price, high = wanted(low) > part ? brain.most_price : low;
    for (int i = 0; i < price_steps && low < high; ++i) {
        const double middle = (low + high) / 2;
        (wanted(middle) > part ? low : high) = middle;
    }
    REQUIRE(brain.demand.price_for(part, brain.least_price, brain.most_price, price_steps) ==
            doctest::Approx(low).epsilon(1e-9));
}

TEST_CASE("decisions: the accounts hold what a walk over all sessions finds") {
    std::size_t most_held = 0, lowered = 0, turned_away = 0;
    for (const std::uint32_t fronts : {1U, 3U, 40U}) {
        for (const double link_kb : {3000.0, 60000.0}) {
            for (const bool racks : {false, true}) {
                constexpr std::uint32_t servers = 7;
                Fleet fleet(settings(fronts, servers, link_kb, racks), servers, fronts);
                for (int step = 0; step < 1200; ++step) {
                    fleet.step();
                    if (step % 3 != 0) continue;
                    const auto sessions = sessions_of(fleet);
                    check_totals(fleet, sessions);
                    check_price(fleet, sessions);
                    for (const auto& [id, server] : fleet.brain.servers) {
                        check_server(fleet, server, sessions);
                        lowered += server.held.rising_at(0).size();
                    }
                    most_held = std::max(most_held, fleet.brain.all_held.size());
                    turned_away += fleet.brain.turned_away.size();
                }
            }
        }
    }
    // The steps came to what the accounts are for.
    CHECK(most_held > 30);
    CHECK(lowered > 0);
    CHECK(turned_away > 0);
}

// Sessions looked up, and entries of the accounts read, by one event of each kind.
std::map<std::string, std::uint64_t> work_of_events(int held, double fill) {
    constexpr std::uint32_t servers = 20, fronts = 50;
    constexpr double kb_each = 500;
    Fleet fleet(settings(fronts, servers, kb_each * fronts * held / servers, true), servers, 7);
    Brain& brain = fleet.brain;
    while (static_cast<int>(brain.all_held.size()) < held) {
        fleet.now += 0.001;
        fleet.set_up(0.1);
    }
    std::vector<std::uint64_t> held_ids;
    for (const std::uint64_t id : fleet.ids) {
        if (brain.find(id) != nullptr) held_ids.push_back(id);
    }
    const auto note = [&](std::size_t i, NoteKind kind, double value) {
        fleet.tell(Note{held_ids[i], kind, 0, brain.find(held_ids[i])->server, value});
    };
    // Readings after all of them began, so that no session is charged any more.
    fleet.now += 10;
    for (std::size_t i = 0; i < 40 * servers && i < held_ids.size(); ++i) note(i, NoteKind::Link, fill);

    const auto work = [&] {
        std::uint64_t sum = brain.sessions.lookups() + brain.demand.visits();
        for (const auto& [id, server] : brain.servers) sum += server.held.visits();
        return sum;
    };
    std::map<std::string, std::uint64_t> most;
    const auto event = [&](const std::string& kind, const std::function<void()>& tell) {
        const std::uint64_t before = work();
        tell();
        most[kind] = std::max(most[kind], work() - before);
    };
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.now += 0.3;
        const Request r = fleet.request();
        event("set-up", [&] { fleet.tell(NewRequest{r}); });
        const Session* s = brain.find(r.id);
        const std::uint32_t server = s != nullptr ? s->server : 1;
        event("started", [&] { fleet.tell(Started{r.id, server, 0, 0.05}); });
        event("note of a link", [&] { note(i, NoteKind::Link, fill); });
        event("note of a share", [&] { note(i, NoteKind::Delivered, 1); });
        event("note of a rung", [&] { note(i, NoteKind::Rung, 1); });
        event("note of an uplink", [&] { note(i, NoteKind::Rack, fill); });
        event("seek", [&] { fleet.tell(Seek{held_ids[i]}); });
        event("error", [&] { fleet.tell(Outcome{r.id, 0, server, Ending::AppError, 0.1, true, {}}); });
        event("end", [&] {
            fleet.tell(
                Outcome{held_ids[i], 0, brain.find(held_ids[i])->server, Ending::Delivered, 5, true, {}});
        });
    }
    CHECK(most["set-up"] > 0);
    CHECK(most["note of a link"] > 0);
    return most;
}

TEST_CASE("decisions: an event's work doesn't grow with the sessions held") {
    constexpr int few = 500,
                  many = 20000;  // forty times as many; binary searches in them are half as long again
    for (const double fill : {0.3, 0.75}) {
        auto beside_few = work_of_events(few, fill);
        auto beside_many = work_of_events(many, fill);
        for (const auto& entry : beside_many) {
            const std::string& kind = entry.first;
            const auto work = entry.second;
            INFO("a ", kind, " at links ", fill, " full: ", beside_few[kind], " beside ", few, " sessions, ",
                 work, " beside ", many);
            CHECK(work <= 2 * beside_few[kind] + 20);
        }
    }
}

}  // namespace
