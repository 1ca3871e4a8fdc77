// The decision module alone, in process and without sockets: what one event costs it against the servers that
// are listed and the sessions that are held.
#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "agent/config.h"
#include "lab/slopes/heap.h"
#include "lab/slopes/parts.h"
#include "lab/slopes/process_cost.h"
#include "lab/slopes/rig.h"

namespace lab {
namespace {

using cinderfront::Action;
using cinderfront::Controller;
using cinderfront::Ending;
using cinderfront::NoteKind;

constexpr int sessions_held[] = {0, 1000, 2000, 5000, 10000, 20000, 40000, 60000};
constexpr int servers_listed[] = {10, 100, 300, 600, 1000, 2000, 5000, 10000};
constexpr int usual_servers = 60, usual_sessions = 1000;
constexpr int most_repeats = 100, least_repeats = 5;
constexpr double longest_s = 0.5;       // of the repeats of one event
constexpr std::uint32_t replay = 1;     // the class of all sessions
constexpr double scarce_rate_kb = 300;  // at which a session plays where links are scarce
constexpr double scarce_fill = 0.7;     // under the limit at which nothing more is taken

enum class Links { Roomy, Scarce };

// A module with servers that are all heard of, and sessions spread over them.
class ModuleBench {
public:
    ModuleBench(int servers, int sessions, Links links, std::uint64_t seed)
        : servers_(servers), sessions_(sessions), links_(links) {
        const std::size_t heap = heap_bytes();
        const auto nowhere = *jasperspread::net::parse_address("127.0.0.1:9");
        const auto config =
            jasperspread::agent::read_config(roomy_config(plan(), nowhere, nowhere, {}).dump());
        module_.emplace(config.profile.settings, seed);
        list_servers();
        const std::size_t with_servers = heap_bytes();
        for (int session = 0; session < sessions; ++session) take_over(session);
        bytes_of_servers_ = static_cast<double>(with_servers) - static_cast<double>(heap);
        bytes_of_sessions_ = static_cast<double>(heap_bytes()) - static_cast<double>(with_servers);
        for (int server = 0; server < std::min(servers, sessions); ++server) tell(note(server, told_fill()));
    }

    double bytes_of_servers() const { return bytes_of_servers_; }
    double bytes_of_sessions() const { return bytes_of_sessions_; }

    struct Costs {  // us, each the mean of its repeats
        double decision = 0, started = 0, timer = 0, session_end = 0;
    };
    // A session that is asked for, set up, and ends; its deadline's timer fires after.
    Costs whole_session() {
        Costs sum;
        int repeats = 0;
        for (const double until = thread_time_s() + longest_s;
             repeats < least_repeats || (repeats < most_repeats && thread_time_s() < until); ++repeats) {
            const std::uint64_t id = 1ULL << 40 | ++serial_;
            sum.decision += timed(cinderfront::NewRequest{request(id)});
            const std::uint32_t server = server_sent_to();
            const std::uint64_t token = timer_token();
            sum.started += timed(cinderfront::Started{id, server, 0, 0.01});
            sum.session_end += timed(cinderfront::Outcome{id, 0, server, Ending::Delivered, 0.01, true, {}});
            sum.timer += timed(cinderfront::TimerFired{token});
        }
        return {sum.decision / repeats, sum.started / repeats, sum.timer / repeats,
                sum.session_end / repeats};
    }

    double cost_of(const std::function<cinderfront::Event(int)>& event) {
        double sum = 0;
        int repeats = 0;
        for (const double until = thread_time_s() + longest_s;
             repeats < least_repeats || (repeats < most_repeats && thread_time_s() < until); ++repeats)
            sum += timed(event(repeats));
        return sum / repeats;
    }

    cinderfront::Event note(int session, double value, NoteKind kind = NoteKind::Link) const {
        return cinderfront::Note{id_of(session), kind, 0, server_of(session), value};
    }
    double told_fill() const { return links_ == Links::Scarce ? scarce_fill : 0.001; }

    // One server drains, or is up again.
    cinderfront::Event list_event(int turn) const {
        cinderfront::ServerList list;
        list.entries.push_back(entry(servers_ - 1));
        if (turn % 2 == 0) list.entries.back().state = cinderfront::ServerState::Leaving;
        return list;
    }

private:
    WorldPlan plan() const {
        WorldPlan plan = roomy_plan(servers_);
        if (links_ == Links::Scarce)
            plan.link_kb = plan.agents * std::max(1, sessions_) * scarce_rate_kb / scarce_fill / servers_;
        return plan;
    }
    static std::uint64_t id_of(int session) { return static_cast<std::uint64_t>(session) + 1; }
    std::uint32_t server_of(int session) const { return static_cast<std::uint32_t>(session % servers_) + 1; }

    cinderfront::ServerEntry entry(int server) const {
        cinderfront::ServerEntry entry;
        entry.server = static_cast<std::uint32_t>(server) + 1;
        entry.cell = static_cast<std::uint32_t>(server);
        entry.size = 1;
        return entry;
    }

    void list_servers() {
        cinderfront::ServerList list;
        list.kind = cinderfront::ListKind::Restored;
        for (int server = 0; server < servers_; ++server) list.entries.push_back(entry(server));
        tell(list);
    }

    cinderfront::Request request(std::uint64_t id) const {
        cinderfront::Request request;
        request.id = id;
        request.cls = replay;
        request.title = id % 1000;
        request.not_after = now_ + 100;
        request.hint = 3600.0;
        request.holders = static_cast<std::uint32_t>(servers_);
        request.ceiling = 5;
        return request;
    }

    void take_over(int session) {
        constexpr double rung = 2;
        tell(cinderfront::TakenOver{request(id_of(session)), server_of(session)});
        tell(cinderfront::Note{id_of(session), NoteKind::Rung, 0, server_of(session), rung});
    }

    void tell(const cinderfront::Event& event) {
        constexpr double step_s = 0.002;
        actions_.clear();
        now_ += step_s;
        module_->handle(now_, event, actions_);
    }

    double timed(const cinderfront::Event& event) {
        const double before = thread_time_s();
        tell(event);
        return (thread_time_s() - before) * 1e6;
    }

    std::uint32_t server_sent_to() const {
        for (const Action& action : actions_) {
            if (const auto* send = std::get_if<cinderfront::Send>(&action)) return send->server;
        }
        throw std::runtime_error("the module sent a set-up nowhere");
    }

    std::uint64_t timer_token() const {
        for (const Action& action : actions_) {
            if (const auto* timer = std::get_if<cinderfront::Timer>(&action)) return timer->token;
        }
        throw std::runtime_error("the module set no timer");
    }

    const int servers_, sessions_;
    const Links links_;
    std::optional<Controller> module_;
    double now_ = 1e9, bytes_of_servers_ = 0, bytes_of_sessions_ = 0;
    std::uint64_t serial_ = 0;
    std::vector<Action> actions_;
};

struct Number {
    const char* name;
    const char* what;
};
constexpr Number numbers[] = {
    {"decision", "one set-up asked of the module, links with room"},
    {"decision_scarce",
     "one set-up asked of the module, more wanted than links give, so that it looks for a price"},
    {"started", "a set-up's answer"},
    {"session_end", "a session's end"},
    {"timer", "the timer of a set-up that is over"},
    {"note_link", "a server's note of its link, links with room"},
    {"note_link_scarce", "a server's note of its link, more wanted than links give"},
    {"note_share", "a server's note of the share that it delivers"},
    {"seek", "where would this session be better? links with room"},
    {"list_event_module", "one server drains, or is up again: the module's part"},
};

std::string number_name(const std::string& name, const std::string& against) {
    return name + "_" + against + "_us";
}

void add_numbers(SlopeSet& set, const std::string& against, const std::string& per) {
    for (const Number& number : numbers)
        set.add(number_name(number.name, against), "us", per,
                std::string(number.what) + "; thread time of the module alone, 450 fronts");
}

void measure_at(SlopeSet& set, const std::string& against, double x, int servers, int sessions,
                std::uint64_t seed) {
    const auto point = [&](const char* name, double us) { set.point(number_name(name, against), x, us); };
    const int any = sessions / 2;
    {
        ModuleBench bench(servers, sessions, Links::Roomy, seed);
        const auto costs = bench.whole_session();
        point("decision", costs.decision);
        point("started", costs.started);
        point("session_end", costs.session_end);
        point("timer", costs.timer);
        point("note_link", bench.cost_of([&](int) { return bench.note(any, bench.told_fill()); }));
        point("note_share", bench.cost_of([&](int) { return bench.note(any, 1.0, NoteKind::Delivered); }));
        point("seek",
              bench.cost_of([&](int) { return cinderfront::Seek{static_cast<std::uint64_t>(any) + 1}; }));
        point("list_event_module", bench.cost_of([&](int turn) { return bench.list_event(turn); }));
        if (against == "servers") set.point("server_module_bytes", x, bench.bytes_of_servers());
        if (against == "sessions") set.point("session_module_bytes", x, bench.bytes_of_sessions());
    }
    ModuleBench scarce(servers, sessions, Links::Scarce, seed);
    point("decision_scarce", scarce.whole_session().decision);
    point("note_link_scarce",
          scarce.cost_of([&](int turn) { return scarce.note(any, scarce_fill + 0.01 * (turn % 2)); }));
}

}  // namespace

void measure_decisions(const Ask& ask, Result& result) {
    SlopeSet set;
    add_numbers(set, "sessions", "session");
    add_numbers(set, "servers", "server");
    set.add("session_module_bytes", "B", "session", "heap of the module");
    set.add("server_module_bytes", "B", "server", "heap of the module");
    for (const int sessions : sessions_held)
        measure_at(set, "sessions", sessions, usual_servers, sessions, ask.seed);
    for (const int servers : servers_listed)
        measure_at(set, "servers", servers, servers, usual_sessions, ask.seed);
    set.finish(result, command_of(ask, "decisions"));
}

}  // namespace lab
