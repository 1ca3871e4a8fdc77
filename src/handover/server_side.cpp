#include "server_side.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jasperspread::handover {
namespace {

constexpr std::array<std::pair<Verb, std::string_view>, 13> verbs = {{
    {Verb::Prepare, "PREPARE"},
    {Verb::Prepared, "PREPARED"},
    {Verb::Yield, "YIELD"},
    {Verb::Yielded, "YIELDED"},
    {Verb::Activate, "ACTIVATE"},
    {Verb::Activated, "ACTIVATED"},
    {Verb::Confirm, "CONFIRM"},
    {Verb::Confirmed, "CONFIRMED"},
    {Verb::Resume, "RESUME"},
    {Verb::Resumed, "RESUMED"},
    {Verb::Withdraw, "WITHDRAW"},
    {Verb::Withdrawn, "WITHDRAWN"},
    {Verb::Denied, "DENIED"},
}};
constexpr std::array<std::pair<Why, std::string_view>, 6> whys = {{
    {Why::None, "none"},
    {Why::Full, "full"},
    {Why::Ticket, "ticket"},
    {Why::Stale, "stale"},
    {Why::Lapsed, "lapsed"},
    {Why::Unknown, "unknown"},
}};

template <typename Table, typename Value>
std::string_view name_in(const Table& table, Value value) {
    for (const auto& [known, name] : table) {
        if (known == value) return name;
    }
    return {};
}

template <typename Value, typename Table>
std::optional<Value> value_in(const Table& table, std::string_view text) {
    for (const auto& [value, name] : table) {
        if (name == text) return value;
    }
    return std::nullopt;
}

Answer denied(std::uint64_t epoch, Why why) {
    return {Verb::Denied, epoch, why};
}

}  // namespace

std::string_view name_of(Verb verb) {
    return name_in(verbs, verb);
}
std::string_view name_of(Why why) {
    return name_in(whys, why);
}
std::optional<Verb> verb_of(std::string_view name) {
    return value_in<Verb>(verbs, name);
}
std::optional<Why> why_of(std::string_view name) {
    return value_in<Why>(whys, name);
}

bool ServerSide::streams(double now) const {
    return state_ == State::Standing || (state_ == State::Probation && now < until_);
}

bool ServerSide::lapse(double now) {
    if (!is_timed() || now < until_) return false;
    const bool stood = state_ != State::Reserved;
    state_ = State::None;
    return stood;
}

bool ServerSide::finish(std::uint64_t epoch) {
    if (epoch < fence_ || state_ == State::None) return false;
    state_ = State::None;
    return true;
}

Answer ServerSide::take(Verb verb, std::uint64_t epoch, const Terms& terms, double now) {
    lapse(now);  // before anything else: a message that was late finds what its time has left
    switch (verb) {
        case Verb::Prepare:
            return prepare(epoch, terms, now);
        case Verb::Yield:
            return yield(epoch, terms, now);
        case Verb::Activate:
            return activate(epoch, now);
        case Verb::Confirm:
            return confirm(epoch);
        case Verb::Resume:
            return resume(epoch);
        case Verb::Withdraw:
            return withdraw(epoch);
        default:
            return denied(epoch, Why::Unknown);
    }
}

// Every epoch that was answered is used up, also by a denial: a repeat that was overtaken changes nothing
// later. What is in force has an epoch of its own, which a denied one must not touch.
Answer ServerSide::prepare(std::uint64_t epoch, const Terms& terms, double now) {
    if (!terms.allowed) return denied(epoch, Why::Ticket);
    const bool in_force =
        state_ == State::Reserved || state_ == State::Probation || state_ == State::Standing;
    if (in_force && epoch == held_) return {Verb::Prepared, epoch, Why::None};
    if (epoch <= fence_) return denied(epoch, Why::Stale);
    fence_ = epoch;
    if (state_ != State::None || !terms.room) return denied(epoch, Why::Full);
    held_ = epoch;
    state_ = State::Reserved;
    until_ = now + terms.hold_s;
    probation_s_ = terms.probation_s;
    return {Verb::Prepared, epoch, Why::None};
}

Answer ServerSide::yield(std::uint64_t epoch, const Terms& terms, double now) {
    if (!terms.allowed) return denied(epoch, Why::Ticket);
    if (state_ == State::Yielded && epoch == held_) return {Verb::Yielded, epoch, Why::None};
    const bool fresh = epoch > fence_;
    fence_ = std::max(fence_, epoch);
    if (state_ == State::None) return denied(epoch, Why::Unknown);
    if (!fresh || state_ != State::Standing) return denied(epoch, Why::Stale);
    held_ = epoch;
    state_ = State::Yielded;
    until_ = now + terms.hold_s;
    return {Verb::Yielded, epoch, Why::None};
}

Answer ServerSide::activate(std::uint64_t epoch, double now) {
    const bool in_force = state_ == State::Probation || state_ == State::Standing;
    if (in_force && epoch == held_) return {Verb::Activated, epoch, Why::None};
    fence_ = std::max(fence_, epoch);
    if (epoch != held_ || state_ != State::Reserved) return denied(epoch, Why::Lapsed);
    state_ = State::Probation;
    until_ = now + probation_s_;
    return {Verb::Activated, epoch, Why::None};
}

Answer ServerSide::confirm(std::uint64_t epoch) {
    const bool in_force = epoch == held_ && (state_ == State::Probation || state_ == State::Standing);
    if (!in_force) return denied(epoch, Why::Lapsed);
    state_ = State::Standing;
    return {Verb::Confirmed, epoch, Why::None};
}

Answer ServerSide::resume(std::uint64_t epoch) {
    const bool fresh = epoch >= fence_;
    fence_ = std::max(fence_, epoch);
    if (state_ == State::Yielded && epoch == held_) {
        state_ = State::Standing;
        return {Verb::Resumed, epoch, Why::None};
    }
    // A YIELD that this overtook is stale from here on.
    if (state_ == State::Standing && fresh) return {Verb::Resumed, epoch, Why::None};
    return denied(epoch, state_ == State::None ? Why::Unknown : Why::Stale);
}

Answer ServerSide::withdraw(std::uint64_t epoch) {
    fence_ = std::max(fence_, epoch);
    if (epoch == held_ && (state_ == State::Reserved || state_ == State::Probation)) state_ = State::None;
    return {Verb::Withdrawn, epoch, Why::None};
}

}  // namespace jasperspread::handover
