// In which order service returns after a power loss: stages, each with what it lets in, what ends it and the
// longest that it lasts (the table of docs/design/recovery.md). Decides without I/O; time is passed in, s.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include "recovery/scope.h"
#include "recovery/settings.h"

namespace jasperspread::recovery {

enum class Stage : std::uint8_t { Asking, Listing, Probing, Paid, Rest, Ordinary };
std::string_view name_of(Stage stage);

// Off: all at once. Delay: nobody for a fixed time. Strict: those of the paid classes, and only then others.
// Alone and Fleet: all, but others are held back as long as those of the paid classes are turned away, here
// or anywhere.
enum class Order { Off, Delay, Strict, Alone, Fleet };
// nullopt: there is no order of that name.
std::optional<Order> order_named(std::string_view name);

// New set-ups a second that may begin; infinity: as they come.
struct Let {
    double paid = std::numeric_limits<double>::infinity(), rest = paid;
    bool operator==(const Let&) const = default;
};

// What a stage ends by, as seen now.
struct Seen {
    std::optional<Scope> scope;   // once it is settled
    bool list_known = false;      // the feed has spoken since the start, and is not behind
    bool server_answers = false;  // some server has answered a set-up since the start
    bool pressed = false;         // here those of the paid classes are turned away
    double others_pressed = 0;    // part of the agents heard of lately where they are
    double rest_asked = 0;        // of the other classes, a second
};

class Stages {
public:
    // `young`: this machine, or what it remembers, does not exclude that it has just lost power.
    Stages(const Settings& settings, Order order, bool young, double now);

    void step(const Seen& seen, double now);
    Stage stage() const { return stage_; }
    Let let() const;
    double since() const { return since_; }

private:
    bool over(const Seen& seen, double now) const;
    bool gentle() const { return order_ == Order::Alone || order_ == Order::Fleet; }
    void climb(const Seen& seen, double now);

    const Settings set_;
    const Order order_;
    Stage stage_;
    double since_;  // of this stage
    double rest_;   // what is let in of the rest, a second
    double climbed_;
    bool calm_ = false;  // nobody is pressed, as of the last step
};

// Whether those who come first are turned away, from counts that only grow: the share of a time just past.
class Pressure {
public:
    explicit Pressure(double now) : at_(now) {}
    // All that have asked and been turned away so far.
    void told(std::uint64_t asked, std::uint64_t turned, double now);
    bool pressed() const { return pressed_; }
    double asked_per_s() const { return per_s_; }

private:
    double at_, per_s_ = 0, asked_part_ = 0, turned_part_ = 0;
    std::uint64_t asked_ = 0, turned_ = 0;
    bool pressed_ = false;
};

}  // namespace jasperspread::recovery
