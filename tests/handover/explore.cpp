#include "explore.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "handover/move.h"
#include "handover/server_side.h"

namespace explore {
namespace {

using namespace jasperspread::handover;

// Times in ticks: a reservation holds for 3, a probation for 1, and an answer is asked for again after 1.
Settings settings() {
    Settings set;
    set.hold_s = 3;
    set.probation_s = 1;
    set.answer_s = 1;
    set.clock_slack = 0;
    return set;
}

struct Message {
    Verb verb = Verb::Denied;
    std::uint64_t epoch = 0;
    int server = 0;
    bool to_server = true;
    Why why = Why::None;
    int hold = 0;
    bool finish = false;  // FINISH, in either direction
    auto key() const { return std::tuple(server, to_server, verb, epoch, why, hold, finish); }
    bool operator<(const Message& other) const { return key() < other.key(); }
    bool operator==(const Message& other) const { return key() == other.key(); }
};

struct ServerNow {
    ServerSide side;
    bool frozen = false, crashed = false;
};

struct State {
    int now = 0;
    std::array<ServerNow, 2> servers;
    std::optional<Move> move;
    bool agent_alive = true, viewer_there = true;
    int at = 0;  // where the agent's books have the session; -1: nowhere
    std::uint64_t epoch = 0;
    int moves_begun = 0, repeats = 0, faults = 0;
    std::vector<Message> air;  // sorted
    std::string way;           // only kept while a violation is told
};

// A state as bytes, with times told from now on: what is over is over, however long ago. So the search needs
// no bound on time.
std::string signature(const State& s) {
    std::string text;
    const auto put = [&](std::uint64_t value) { text += static_cast<char>(value); };
    const auto put_time = [&](double at) {
        const double rest = at - s.now;
        put(static_cast<std::uint64_t>(!std::isfinite(at) ? 200 : rest < 0 ? 0 : 1 + std::lround(rest * 4)));
    };
    for (const ServerNow& server : s.servers) {
        const auto state = server.side.state();
        const bool timed = server.side.takes_place() && state != ServerSide::State::Standing;
        put(static_cast<std::uint64_t>(state) + 8U * server.frozen + 16U * server.crashed);
        put(server.side.fence() + 8 * server.side.epoch());
        if (timed) put_time(server.side.lapses_at());
    }
    put(s.move ? static_cast<std::uint64_t>(s.move->step()) : 99U);
    if (s.move) {
        const auto times = s.move->times();
        for (std::size_t i = 0; i < 4; ++i) put_time(times[i]);
        put(static_cast<std::uint64_t>(times[4] * 4));
        put(static_cast<std::uint64_t>(times[5]));
    }
    put((s.agent_alive ? 1U : 0U) + (s.viewer_there ? 2U : 0U) + 4U * static_cast<unsigned>(s.at + 1));
    put(s.epoch);
    put(static_cast<std::uint64_t>(s.moves_begun) * 16 + static_cast<std::uint64_t>(s.repeats) * 4 +
        static_cast<std::uint64_t>(s.faults));
    for (const Message& m : s.air) {
        put(static_cast<std::uint64_t>(m.verb) + 16U * static_cast<unsigned>(m.server) + 32U * m.to_server +
            64U * m.finish);
        put(m.epoch + 8U * static_cast<unsigned>(m.why));
        put(static_cast<std::uint64_t>(m.hold));
    }
    return text;
}

class Search {
public:
    Search(const Bounds& bounds, std::uint64_t most) : bounds_(bounds), most_(most) {}

    Report run() {
        State first;
        first.servers[0].side.started();
        visit(std::move(first), 0, "");
        while (!queue_.empty() && report_.violation.empty()) {
            auto [state, number] = std::move(queue_.front());
            queue_.pop_front();
            expand(state, number);
            if (report_.states >= most_) {
                report_.cut = true;
                break;
            }
        }
        return report_;
    }

private:
    bool looks_at_clock() const { return bounds_.planted != Planted::ClockNotLookedAt; }

    bool streams(const ServerNow& server, int now) const {
        if (server.crashed || server.frozen) return false;
        if (bounds_.planted == Planted::NoProbation || !looks_at_clock())
            return server.side.state() == ServerSide::State::Probation || server.side.streams(now);
        return server.side.streams(now);
    }

    // A message that can change nothing any more, whenever it arrives, and whose answer nobody heeds. Without
    // it the state has the same future: leaving it out keeps the search whole and far smaller.
    static bool is_spent(const State& s, const Message& m) {
        const ServerNow& server = s.servers[static_cast<std::size_t>(m.server)];
        if (!m.to_server) {
            if (!s.agent_alive) return true;
            return !m.finish && (m.epoch < s.epoch || !s.move);
        }
        if (server.crashed) return true;
        if (m.finish) return m.epoch < server.side.fence();
        const bool answer_unheeded = !s.agent_alive || m.epoch < s.epoch || !s.move;
        return answer_unheeded && m.epoch <= server.side.fence() && m.epoch != server.side.epoch();
    }

    void visit(State state, std::uint64_t from, const std::string& what) {
        // Not where the planted fault is just that a spent message changes something.
        if (bounds_.planted != Planted::DenialForgotten)
            std::erase_if(state.air, [&](const Message& m) { return is_spent(state, m); });
        std::sort(state.air.begin(), state.air.end());
        if (!seen_.emplace(signature(state)).second) return;
        const std::uint64_t number = ++report_.states;
        if (keep_ways()) ways_.emplace(number, std::pair(from, what));
        if (streams(state.servers[0], state.now) && streams(state.servers[1], state.now))
            return violate("two servers stream", number);
        queue_.emplace_back(std::move(state), number);
    }
    bool keep_ways() const { return report_.states < 3'000'000; }

    void violate(const std::string& what, std::uint64_t number) {
        if (!report_.violation.empty()) return;
        std::string way;
        for (std::uint64_t at = number; at != 0 && ways_.contains(at); at = ways_.at(at).first)
            way = "\n  " + ways_.at(at).second + way;
        report_.violation = what + ":" + way;
    }

    // ---- The agent ----

    void say(State& s, const Message& message) {
        // A channel that already holds the same message says nothing new.
        if (std::find(s.air.begin(), s.air.end(), message) == s.air.end()) s.air.push_back(message);
    }

    void carry_out(State& s, const std::vector<Order>& orders) {
        const int source = s.at, target = 1 - s.at;
        for (const Order order : orders) {
            Message m;
            m.epoch = s.epoch;
            switch (order) {
                case Order::Prepare:
                    m.verb = Verb::Prepare, m.server = target;
                    break;
                case Order::Yield:
                    m.verb = Verb::Yield, m.server = source;
                    m.hold = static_cast<int>(std::lround(s.move->source_hold_s()));
                    break;
                case Order::Activate:
                    m.verb = Verb::Activate, m.server = target;
                    break;
                case Order::Confirm:
                    m.verb = Verb::Confirm, m.server = target;
                    break;
                case Order::Resume:
                    m.verb = Verb::Resume, m.server = source;
                    break;
                case Order::Withdraw:
                    m.verb = Verb::Withdraw, m.server = target;
                    break;
                case Order::FinishSource:
                    m.finish = true, m.server = source;
                    break;
                case Order::FinishTarget:
                    m.finish = true, m.server = target;
                    break;
            }
            say(s, m);
        }
        if (!s.move || !is_over(s.move->step())) return;
        if (s.move->step() == Step::Moved) s.at = target;
        if (s.move->step() == Step::Ended) s.at = -1;
        s.move.reset();
    }

    void tell(State& s, Input input) {
        if (s.move) carry_out(s, s.move->on(input, s.now));
    }

    void begin(State& s) {
        s.epoch += 1;
        ++s.moves_begun;
        s.move.emplace(settings(), s.now);
        carry_out(s, s.move->begin(s.now));
        if (bounds_.planted == Planted::ActivateEarly) tell(s, Input::Prepared), tell(s, Input::Yielded);
    }

    void agent_hears(State& s, const Message& m) {
        if (!s.agent_alive) return;
        if (m.finish) {  // the server has ended the session
            if (m.epoch < s.epoch && !(s.move && m.server == s.at)) return;
            if (s.move && m.server == s.at) return tell(s, Input::SourceUnknown);
            if (s.move && m.server != s.at) return tell(s, Input::TargetDenied);
            if (m.server == s.at) s.at = -1;
            return;
        }
        if (!s.move || m.epoch != s.epoch) return;
        const bool source = m.server == s.at;
        switch (m.verb) {
            case Verb::Prepared:
                return tell(s, Input::Prepared);
            case Verb::Yielded:
                return tell(s, Input::Yielded);
            case Verb::Activated:
                return tell(s, Input::Activated);
            case Verb::Confirmed:
                return tell(s, Input::Confirmed);
            case Verb::Resumed:
                return tell(s, Input::Resumed);
            case Verb::Denied:
                if (!source) return tell(s, Input::TargetDenied);
                return tell(s, m.why == Why::Unknown ? Input::SourceUnknown : Input::SourceDenied);
            default:
                return;
        }
    }

    // ---- A server ----

    void server_hears(State& s, const Message& m) {
        ServerNow& server = s.servers[static_cast<std::size_t>(m.server)];
        wake(s, m.server);
        if (m.finish) {
            server.side.finish(m.epoch);
            return;
        }
        ServerSide::Terms terms;
        terms.hold_s = m.verb == Verb::Yield ? m.hold : settings().hold_s;
        terms.probation_s = settings().probation_s;
        Answer answer = server.side.take(m.verb, m.epoch, terms, s.now);
        const bool reserved = server.side.state() == ServerSide::State::Reserved;
        if (bounds_.planted == Planted::DenialForgotten && m.verb == Verb::Prepare && reserved &&
            answer.why == Why::Stale)
            answer = {Verb::Prepared, m.epoch, Why::None};
        if (bounds_.planted == Planted::DenialForgotten && m.verb == Verb::Activate && reserved &&
            m.epoch == server.side.fence()) {
            answer = server.side.take(m.verb, server.side.epoch(), terms, s.now);
            answer.epoch = m.epoch;
        }
        Message back;
        back.verb = answer.verb, back.epoch = answer.epoch, back.why = answer.why;
        back.server = m.server, back.to_server = false;
        say(s, back);
    }

    // What a server does of itself when it runs: it looks at its clock.
    void wake(State& s, int which) {
        ServerNow& server = s.servers[static_cast<std::size_t>(which)];
        const auto state = server.side.state();
        if (bounds_.planted == Planted::NoProbation && state == ServerSide::State::Probation) return;
        if (bounds_.planted == Planted::ReservationStays && state == ServerSide::State::Reserved) return;
        if (!server.side.lapse(s.now)) return;
        Message m;
        m.finish = true, m.server = which, m.to_server = false, m.epoch = server.side.fence();
        say(s, m);
    }

    // ---- All that may happen next ----

    void expand(const State& s, std::uint64_t number) {
        const auto next = [&](State state, const std::string& what) {
            visit(std::move(state), number, "t" + std::to_string(s.now) + " " + what);
        };
        for (std::size_t i = 0; i < s.air.size(); ++i) {
            if (i > 0 && s.air[i] == s.air[i - 1]) continue;
            const Message m = s.air[i];
            const ServerNow& server = s.servers[static_cast<std::size_t>(m.server)];
            if (m.to_server && (server.frozen || server.crashed)) continue;
            const std::string what = std::string(m.finish ? "FINISH" : name_of(m.verb)) +
                                     (m.to_server ? " reaches " : " comes from ") + std::to_string(m.server);
            for (const bool repeat : {false, true}) {
                if (repeat && s.repeats >= bounds_.repeats) continue;
                State copy = s;
                if (repeat) ++copy.repeats;
                if (!repeat) copy.air.erase(copy.air.begin() + static_cast<long>(i));
                m.to_server ? server_hears(copy, m) : agent_hears(copy, m);
                next(std::move(copy), what + (repeat ? " (and stays)" : ""));
            }
        }
        if (s.agent_alive && !s.move && s.at >= 0 && s.viewer_there && s.moves_begun < bounds_.moves) {
            State copy = s;
            begin(copy);
            next(std::move(copy), "the agent begins");
        }
        if (bounds_.planted == Planted::ResumeEarly && s.move && s.move->step() == Step::Activating) {
            State copy = s;
            tell(copy, Input::TargetGone);
            next(std::move(copy), "the agent resumes too early");
        }
        if (s.faults < bounds_.faults) faults(s, next);
        for (int which = 0; which < 2; ++which) {
            if (!s.servers[static_cast<std::size_t>(which)].frozen) continue;
            State copy = s;
            copy.servers[static_cast<std::size_t>(which)].frozen = false;
            // Media may go out before the loop comes to look for what has lapsed: streams() asks the clock.
            if (looks_at_clock()) wake(copy, which);
            next(std::move(copy), "server " + std::to_string(which) + " thaws");
        }
        {
            State copy = s;
            ++copy.now;
            for (int which = 0; which < 2; ++which) {
                const ServerNow& server = copy.servers[static_cast<std::size_t>(which)];
                if (!server.frozen && !server.crashed) wake(copy, which);
            }
            if (copy.agent_alive && copy.move && copy.now >= copy.move->due())
                carry_out(copy, copy.move->on_time(copy.now));
            next(std::move(copy), "a tick");
        }
        settle(s, number);
    }

    template <typename Next>
    void faults(const State& s, const Next& next) {
        for (int which = 0; which < 2; ++which) {
            const ServerNow& server = s.servers[static_cast<std::size_t>(which)];
            const std::string name = "server " + std::to_string(which);
            if (!server.frozen && !server.crashed) {
                State copy = s;
                ++copy.faults;
                copy.servers[static_cast<std::size_t>(which)].frozen = true;
                next(std::move(copy), name + " freezes");
            }
            if (!server.crashed) {
                State copy = s;
                ++copy.faults;
                copy.servers[static_cast<std::size_t>(which)] = ServerNow{};
                copy.servers[static_cast<std::size_t>(which)].crashed = true;
                next(copy, name + " crashes unheard");
                if (copy.agent_alive && copy.move)
                    tell(copy, which == copy.at ? Input::SourceGone : Input::TargetGone);
                else if (copy.agent_alive && which == copy.at)
                    copy.at = -1;
                next(std::move(copy), name + " crashes, and the agent has proof");
            }
        }
        if (s.agent_alive) {
            State copy = s;
            ++copy.faults;
            copy.agent_alive = false;
            copy.move.reset();
            next(std::move(copy), "the agent is killed");
        }
        if (s.viewer_there) {
            State copy = s;
            ++copy.faults;
            copy.viewer_there = false;
            if (copy.agent_alive && copy.move) {
                tell(copy, Input::Cancelled);
            } else if (copy.agent_alive && copy.at >= 0) {
                Message m;
                m.finish = true, m.server = copy.at, m.epoch = copy.epoch;
                say(copy, m);
                copy.at = -1;
            }
            next(std::move(copy), "the viewer leaves");
        }
    }

    // The run may end here: whatever has not arrived is lost, every time is over, and all that is frozen
    // thaws.
    void settle(State s, std::uint64_t number) {
        constexpr int long_after = 100;
        s.now += long_after;
        int standing = 0;
        for (int which = 0; which < 2; ++which) {
            s.servers[static_cast<std::size_t>(which)].frozen = false;
            wake(s, which);
            const ServerSide& side = s.servers[static_cast<std::size_t>(which)].side;
            if (side.takes_place() && side.state() != ServerSide::State::Standing)
                violate("a reservation, a probation or a yielded session is for ever", number);
            standing += side.state() == ServerSide::State::Standing ? 1 : 0;
        }
        if (standing > 1) violate("it stands at two servers in the end", number);
        for (int steps = 0; s.agent_alive && s.move && steps < 1000; ++steps) {
            s.now += 1;
            carry_out(s, s.move->on_time(s.now));
        }
        if (s.agent_alive && s.move) violate("the agent never comes to an end", number);
        ++report_.ends;
        (s.at < 0 || standing == 0 ? report_.ended : s.at == 0 ? report_.stayed : report_.moved) += 1;
    }

    const Bounds bounds_;
    const std::uint64_t most_;
    Report report_;
    std::unordered_set<std::string> seen_;
    std::unordered_map<std::uint64_t, std::pair<std::uint64_t, std::string>> ways_;
    std::deque<std::pair<State, std::uint64_t>> queue_;
};

}  // namespace

Report search(const Bounds& bounds, std::uint64_t most_states) {
    return Search(bounds, most_states).run();
}

}  // namespace explore
