#include "stages.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jasperspread::recovery {
namespace {

constexpr double all = std::numeric_limits<double>::infinity();
// A part of the agents heard of that are pressed means that the fleet is.
constexpr double fleet_pressed = 0.1;
// What is let in of the rest is doubled, or halved where those who come first are pressed, so often, s.
constexpr double climb_every_s = 0.5;
// Nobody of the rest is held up once so many times as many are let in as ask.
constexpr double more_than_asked = 2;
// Pressure: counts fade over so long, s; a part of those who asked that was turned away; and the least of
// both, so that one alone does not speak for all.
constexpr double pressure_s = 1.0, pressed_part = 0.2, pressed_least = 0.5;

enum class Who { None, Trickle, Climbing, All };

struct Row {
    Stage stage;
    std::string_view name;
    Who paid, rest;          // let in where the order is strict; else all are, and the rest climbing
    double Settings::*most;  // the longest that it lasts; null: for ever
};
// Probes are set-ups of classes that may be sent again: a paid one that meets a dead server has failed.
constexpr std::array<Row, 6> table = {{
    {Stage::Asking, "asking", Who::None, Who::None, &Settings::ask_s},
    {Stage::Listing, "listing", Who::None, Who::None, &Settings::list_s},
    {Stage::Probing, "probing", Who::None, Who::Trickle, &Settings::probe_s},
    {Stage::Paid, "paid", Who::All, Who::None, &Settings::paid_s},
    {Stage::Rest, "rest", Who::All, Who::Climbing, &Settings::rest_s},
    {Stage::Ordinary, "ordinary", Who::All, Who::All, nullptr},
}};
const Row& row_of(Stage stage) {
    return table[static_cast<std::size_t>(stage)];
}

}  // namespace

std::string_view name_of(Stage stage) {
    return row_of(stage).name;
}

std::optional<Order> order_named(std::string_view name) {
    constexpr std::array<std::string_view, 5> names = {"off", "delay", "strict", "alone", "fleet"};
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) return std::nullopt;
    return static_cast<Order>(it - names.begin());
}

Stages::Stages(const Settings& settings, Order order, bool young, double now)
    : set_(settings),
      order_(order),
      stage_(order == Order::Off || !young ? Stage::Ordinary : Stage::Asking),
      since_(now),
      rest_(gentle() ? all : 0),
      climbed_(now) {}

bool Stages::over(const Seen& seen, double now) const {
    const Row& row = row_of(stage_);
    if (row.most == nullptr) return false;
    if (now >= since_ + set_.*row.most) return true;
    switch (stage_) {
        case Stage::Asking:
            return seen.scope.has_value();
        case Stage::Listing:
            return seen.list_known;
        case Stage::Probing:
            return seen.server_answers;
        case Stage::Paid:
            return calm_ && now >= since_ + pressure_s;  // some have asked by then
        case Stage::Rest:
            return calm_ && rest_ > std::max(set_.rest_from, more_than_asked * seen.rest_asked) &&
                   (!gentle() || now >= since_ + set_.calm_s);
        case Stage::Ordinary:
            break;
    }
    return false;
}

void Stages::climb(const Seen& seen, double now) {
    const bool climbs = gentle() || stage_ == Stage::Rest;
    if (!climbs || now < climbed_ + climb_every_s) return;
    climbed_ = now;
    // Where few ask, a rate far beyond them says nothing, and would be slow to come down.
    const double most = set_.rest_from + more_than_asked * seen.rest_asked;
    rest_ = std::max(set_.rest_from, calm_ ? 2 * rest_ : std::min(rest_, most) / 2);
    if (rest_ > most) rest_ = gentle() ? all : most + set_.rest_from;
}

// A process that stood still makes up for it in one step; a stage is never gone back to: who loses power
// again begins anew.
void Stages::step(const Seen& seen, double now) {
    if (stage_ == Stage::Ordinary) return;
    if (order_ == Order::Delay) {
        if (now >= since_ + set_.delay_s) stage_ = Stage::Ordinary;
        return;
    }
    calm_ = !seen.pressed && (order_ != Order::Fleet || seen.others_pressed <= fleet_pressed);
    // The servers kept their power, and nothing is to be brought back.
    const bool alone = seen.scope == Scope::Process || seen.scope == Scope::Machine;
    if (alone) stage_ = Stage::Ordinary;
    climb(seen, now);
    while (over(seen, now)) {
        const Row& row = row_of(stage_);
        since_ = std::min(now, since_ + set_.*row.most);
        stage_ = static_cast<Stage>(static_cast<int>(row.stage) + 1);
        if (stage_ == Stage::Rest && !gentle()) {
            rest_ = set_.rest_from;
            climbed_ = now;
        }
    }
}

Let Stages::let() const {
    if (order_ == Order::Delay && stage_ != Stage::Ordinary) return {0, 0};
    const auto rate = [&](Who who) {
        switch (who) {
            case Who::None:
                return 0.0;
            case Who::Trickle:
                return set_.rest_from;
            case Who::Climbing:
                return rest_;
            case Who::All:
                break;
        }
        return all;
    };
    const Row& row = row_of(stage_);
    if (gentle() && stage_ != Stage::Ordinary) return {all, rest_};
    return {rate(row.paid), rate(row.rest)};
}

void Pressure::told(std::uint64_t asked, std::uint64_t turned, double now) {
    const double passed = now - at_;
    if (!(passed > 0)) return;
    const double keeps = std::exp(-passed / pressure_s);
    asked_part_ = asked_part_ * keeps + static_cast<double>(asked - asked_);
    turned_part_ = turned_part_ * keeps + static_cast<double>(turned - turned_);
    per_s_ = asked_part_ / pressure_s;
    pressed_ = turned_part_ >= pressed_least && turned_part_ >= pressed_part * asked_part_;
    asked_ = asked;
    turned_ = turned;
    at_ = now;
}

}  // namespace jasperspread::recovery
