// One hand-over as the agent drives it: a state machine in one table. No I/O; time is passed in. It may be
// copied, so that a test can try every interleaving.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "handover/settings.h"

namespace jasperspread::handover {

enum class Step {
    Preparing,   // PREPARE is out; the source streams
    Yielding,    // YIELD is out; the source may stream
    Activating,  // the source has stopped, ACTIVATE is out; the target may stream on probation
    Confirming,  // CONFIRM is out; the source will never stream again, unless the target says no
    Resuming,    // RESUME is out; the target does not stream and never will
    Moved,       // over: the session stands at the target
    Stayed,      // over: it stands at the source
    Ended        // over: it stands nowhere
};
constexpr bool is_over(Step step) {
    return step == Step::Moved || step == Step::Stayed || step == Step::Ended;
}
std::string_view name_of(Step step);

enum class Input {
    Prepared,
    Yielded,
    Activated,
    Confirmed,
    Resumed,
    TargetDenied,   // for this epoch, of which the target will do nothing more
    SourceDenied,   // for this epoch; the session goes on there
    SourceUnknown,  // the source holds no such session
    TargetGone,     // proof that its process is gone, and with it what it held
    SourceGone,
    Cancelled,  // the viewer has left, or the agent ends the session
    Again,      // no answer for a while: ask again
    Late,       // the step's time is over
};

enum class Order { Prepare, Yield, Activate, Confirm, Resume, Withdraw, FinishSource, FinishTarget };

class Move {
public:
    Move(const Settings& settings, double now);

    std::vector<Order> begin(double now);
    std::vector<Order> on(Input input, double now);
    // What is due at `now`: asking again, or the end of a step.
    std::vector<Order> on_time(double now);
    double due() const;

    Step step() const { return step_; }
    // The terms that it began with: its times are reckoned by them, whatever is set meanwhile.
    const Settings& settings() const { return set_; }
    double source_hold_s() const { return source_hold_s_; }  // for YIELD; known from Yielding on
    // All that its further course depends on, beside the step: for tests that compare states.
    std::array<double, 6> times() const;
    double began() const { return began_; }
    double yielded_at() const { return yielded_at_; }  // 0: not yet
    double ended_at() const { return ended_at_; }
    bool reached_yield() const { return source_hold_s_ > 0; }

private:
    void enter(Step step, double now);
    void set_times(double now);
    bool may_activate(double now) const;

    Settings set_;
    Step step_ = Step::Preparing;
    double began_ = 0, again_ = 0, late_ = 0;
    double surely_held_ = 0;  // up to here the target holds the reservation, whatever its clock
    double safe_ = 0;         // from here on a target that was not confirmed streams no more
    double source_hold_s_ = 0, yielded_at_ = 0, ended_at_ = 0;
    bool source_gone_ = false;
};

}  // namespace jasperspread::handover
