// The lesson server's side of a hand-over, for one session at one server: the reference of the extension
// (docs/design/handover.md). No I/O; times are the server's own clock, s.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasperspread::handover {

enum class Verb {
    Prepare,
    Prepared,
    Yield,
    Yielded,
    Activate,
    Activated,
    Confirm,
    Confirmed,
    Resume,
    Resumed,
    Withdraw,
    Withdrawn,
    Denied
};

enum class Why { None, Full, Ticket, Stale, Lapsed, Unknown };

std::string_view name_of(Verb verb);
std::string_view name_of(Why why);
std::optional<Verb> verb_of(std::string_view name);
std::optional<Why> why_of(std::string_view name);

struct Answer {
    Verb verb = Verb::Denied;
    std::uint64_t epoch = 0;
    Why why = Why::None;
    bool operator==(const Answer&) const = default;
};

// What a server holds of one session. A server keeps it while it holds the session, and after that until
// every ticket for it has expired, for the fence's sake.
class ServerSide {
public:
    enum class State { None, Reserved, Probation, Standing, Yielded };

    State state() const { return state_; }
    std::uint64_t fence() const { return fence_; }
    // Whether media may go out at `now`. To be asked before each write: a process that was frozen must find
    // out that its time is over before it goes on.
    bool streams(double now) const;
    bool takes_place() const { return state_ != State::None; }

    void recall(std::uint64_t fence) { fence_ = fence; }  // kept from an earlier life of the session here
    void started() { state_ = State::Standing; }          // by a set-up
    void over() { state_ = State::None; }                 // the session's own end
    // FINISH, which tells the last epoch that the agent knows: one that a later hand-over has overtaken ends
    // nothing. True if the session is over by it.
    bool finish(std::uint64_t epoch);

    // `allowed`: the ticket is good; `room`: a place and link for it are there.
    struct Terms {
        bool allowed = true, room = true;
        double hold_s = 0, probation_s = 0;
    };
    Answer take(Verb verb, std::uint64_t epoch, const Terms& terms, double now);

    // Lets lapse what is over; true if a session that stood here ended by it, which the agent is told.
    bool lapse(double now);
    std::uint64_t epoch() const { return held_; }
    double lapses_at() const { return until_; }  // meaningful in Reserved, Probation and Yielded

private:
    Answer prepare(std::uint64_t epoch, const Terms& terms, double now);
    Answer yield(std::uint64_t epoch, const Terms& terms, double now);
    Answer activate(std::uint64_t epoch, double now);
    Answer confirm(std::uint64_t epoch);
    Answer resume(std::uint64_t epoch);
    Answer withdraw(std::uint64_t epoch);
    bool is_timed() const {
        return state_ == State::Reserved || state_ == State::Probation || state_ == State::Yielded;
    }

    State state_ = State::None;
    std::uint64_t fence_ = 0;  // the largest epoch that was answered
    std::uint64_t held_ = 0;   // of what is in force
    double until_ = 0, probation_s_ = 0;
};

}  // namespace jasperspread::handover
