#include "move.h"

#include <algorithm>
#include <array>
#include <limits>
#include <span>

namespace jasperspread::handover {
namespace {

using enum Order;

struct Row {
    Step from = Step::Preparing;
    Input input = Input::Prepared;
    Step to = Step::Preparing;
    std::array<Order, 2> orders{};
    std::size_t count = 0;
};

constexpr Row row(Step from, Input input, Step to) {
    return {from, input, to, {}, 0};
}
constexpr Row row(Step from, Input input, Step to, Order first) {
    return {from, input, to, {first}, 1};
}
constexpr Row row(Step from, Input input, Step to, Order first, Order second) {
    return {from, input, to, {first, second}, 2};
}

using S = Step;
using I = Input;

// The whole machine. What is not in it changes nothing. `Prepared`, `Activated` and whatever leads to
// Resuming are looked at once more in on(): time and a source that is gone have a say there.
constexpr std::array table = {
    row(S::Preparing, I::Prepared, S::Yielding, Yield),
    row(S::Preparing, I::TargetDenied, S::Stayed),
    row(S::Preparing, I::TargetGone, S::Stayed),
    row(S::Preparing, I::SourceUnknown, S::Ended, Withdraw),
    row(S::Preparing, I::SourceGone, S::Ended, Withdraw),
    row(S::Preparing, I::Cancelled, S::Ended, Withdraw, FinishSource),
    row(S::Preparing, I::Again, S::Preparing, Prepare),
    row(S::Preparing, I::Late, S::Stayed, Withdraw),

    row(S::Yielding, I::Yielded, S::Activating, Activate),
    row(S::Yielding, I::SourceDenied, S::Stayed, Withdraw),
    row(S::Yielding, I::SourceUnknown, S::Ended, Withdraw),
    row(S::Yielding, I::SourceGone, S::Activating, Activate),
    row(S::Yielding, I::TargetDenied, S::Resuming, Resume),
    row(S::Yielding, I::TargetGone, S::Resuming, Resume),
    row(S::Yielding, I::Cancelled, S::Ended, Withdraw, FinishSource),
    row(S::Yielding, I::Again, S::Yielding, Yield),
    row(S::Yielding, I::Late, S::Resuming, Resume, Withdraw),

    row(S::Activating, I::Activated, S::Confirming, Confirm),
    row(S::Activating, I::TargetDenied, S::Resuming, Resume),
    row(S::Activating, I::TargetGone, S::Resuming, Resume),
    row(S::Activating, I::Cancelled, S::Ended, FinishTarget, FinishSource),
    row(S::Activating, I::Again, S::Activating, Activate),
    row(S::Activating, I::Late, S::Resuming, Resume, Withdraw),

    row(S::Confirming, I::Confirmed, S::Moved, FinishSource),
    row(S::Confirming, I::TargetDenied, S::Resuming, Resume),
    row(S::Confirming, I::TargetGone, S::Resuming, Resume),
    row(S::Confirming, I::Cancelled, S::Ended, FinishTarget, FinishSource),
    row(S::Confirming, I::Again, S::Confirming, Confirm),
    row(S::Confirming, I::Late, S::Moved, FinishSource),

    row(S::Resuming, I::Resumed, S::Stayed),
    row(S::Resuming, I::SourceDenied, S::Ended, FinishSource),
    row(S::Resuming, I::SourceUnknown, S::Ended),
    row(S::Resuming, I::SourceGone, S::Ended),
    row(S::Resuming, I::Cancelled, S::Ended, FinishSource),
    row(S::Resuming, I::Again, S::Resuming, Resume),
    row(S::Resuming, I::Late, S::Stayed),
};

constexpr int answers_for_preparing = 3, answers_for_the_end = 6;

}  // namespace

std::string_view name_of(Step step) {
    constexpr std::array<std::string_view, 8> names = {"preparing", "yielding", "activating", "confirming",
                                                       "resuming",  "moved",    "stayed",     "ended"};
    return names[static_cast<std::size_t>(step)];
}

Move::Move(const Settings& settings, double now) : set_(settings), began_(now) {}

// A clock that runs fast lets a reservation lapse early, one that runs slow late.
std::vector<Order> Move::begin(double now) {
    surely_held_ = now + set_.hold_s * (1 - set_.clock_slack);
    again_ = now + set_.answer_s;
    set_times(now);
    return {Prepare};
}

bool Move::may_activate(double now) const {
    return now + set_.answer_s <= surely_held_;
}

void Move::enter(Step step, double now) {
    const bool fresh = step != step_;
    step_ = step;
    again_ = now + set_.answer_s;
    if (fresh) set_times(now);
}

void Move::set_times(double now) {
    switch (step_) {
        case Step::Preparing:
            late_ = std::min(now + answers_for_preparing * set_.answer_s, surely_held_ - set_.answer_s);
            break;
        case Step::Yielding:
            // The answer came now at the latest, so the reservation began before: by its own clock it is over
            // by then, and a probation that began in its last moment too.
            safe_ = now + (set_.hold_s + set_.probation_s) * (1 + set_.clock_slack);
            // The source keeps the session until the target can't have it any more, and it was asked to go
            // on.
            source_hold_s_ = (safe_ - now) * (1 + set_.clock_slack) + answers_for_the_end * set_.answer_s;
            late_ = surely_held_ - set_.answer_s;
            break;
        case Step::Activating:
            yielded_at_ = now;
            late_ = safe_;
            break;
        case Step::Confirming:
        case Step::Resuming:
            late_ = now + std::max(source_hold_s_, answers_for_the_end * set_.answer_s);
            break;
        default:
            ended_at_ = now;
            again_ = late_ = std::numeric_limits<double>::infinity();
    }
}

std::vector<Order> Move::on(Input input, double now) {
    if (is_over(step_)) return {};
    source_gone_ = source_gone_ || input == Input::SourceGone;
    for (const Row& row : table) {
        if (row.from != step_ || row.input != input) continue;
        if (input == Input::Prepared && !may_activate(now)) return on(Input::Late, now);
        // Too late to be believed: the source may have been told to go on by the time this was on its way.
        if (input == Input::Activated && now >= safe_) return on(Input::Late, now);
        const bool nothing_to_resume = row.to == Step::Resuming && source_gone_;
        enter(nothing_to_resume ? Step::Ended : row.to, now);
        const auto orders = std::span(row.orders).first(row.count);
        std::vector<Order> result(orders.begin(), orders.end());
        if (nothing_to_resume) std::erase(result, Order::Resume);
        return result;
    }
    return {};
}

std::array<double, 6> Move::times() const {
    return {again_, late_, surely_held_, safe_, source_hold_s_, source_gone_ ? 1.0 : 0.0};
}

double Move::due() const {
    return std::min(again_, late_);
}

std::vector<Order> Move::on_time(double now) {
    if (now >= late_) return on(Input::Late, now);
    if (now >= again_) return on(Input::Again, now);
    return {};
}

}  // namespace jasperspread::handover
