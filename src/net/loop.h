// One loop: descriptors that wait to be ready, and deadlines in one sorted structure that every turn sweeps.
// All times are Unix time in seconds, by the clock of the kernel that the loop was given.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "kernel.h"
#include "poller.h"

namespace jasperspread::net {

// Whoever waits for a descriptor. `events` are those of poll(2).
class Ready {
public:
    virtual void ready(short events) = 0;

protected:
    ~Ready() = default;
};

// In which order descriptors that are ready in the same turn are met, whatever their numbers: what may call
// work off (a server drains, a viewer has left) comes before what would begin it.
enum class Order : std::uint8_t { Early, Usual, Late };

class Deadlines {
public:
    using Key = std::pair<double, std::uint64_t>;  // when, and the order of adding

    Key add(double at, std::function<void()> task);
    void cancel(const Key& key) { entries_.erase(key); }
    double next() const;  // infinity when there is none
    // Runs what is due at `now`. What a task adds waits for the next sweep, so a sweep always ends.
    void sweep(double now);

private:
    std::map<Key, std::function<void()>> entries_;
    std::uint64_t added_ = 0;
};

class Loop {
public:
    explicit Loop(Kernel& kernel) : Loop(kernel, Poller::Thresholds()) {}
    Loop(Kernel& kernel, const Poller::Thresholds& thresholds)
        : kernel_(kernel), poller_(kernel, thresholds) {}

    Kernel& kernel() { return kernel_; }
    double now() { return kernel_.now(); }
    // Waits for `events` on a descriptor; replaces what was waited for before.
    void watch(int fd, short events, Ready& who, Order order = Order::Usual);
    void forget(int fd);
    void forget_closing(
        int fd);  // the same, cheaper, for a descriptor that is closed before the turn is over
    const Poller& poller() const { return poller_; }
    Deadlines& deadlines() { return deadlines_; }
    // Keeps an object alive until the turn is over, for owners that drop it inside one of its callbacks.
    void retire(std::shared_ptr<void> object) { retired_.push_back(std::move(object)); }
    // One turn: what is ready, then what is due. Waits for the first of both, `longest_s` at most.
    void turn(double longest_s = 60);

private:
    struct Watch {
        Ready* who = nullptr;       // null: nobody waits for it
        Poller::Serial serial = 0;  // tells a reused descriptor from the one that was found ready
        Order order = Order::Usual;
    };
    bool drop(int fd);
    Ready* waits_for(const Poller::Ready& ready, Order order) const;

    Kernel& kernel_;
    Poller poller_;
    std::vector<Watch> watches_;  // by descriptor
    Poller::Serial serial_ = 0;
    Deadlines deadlines_;
    std::vector<std::shared_ptr<void>> retired_;
};

// A deadline that its owner holds: setting it anew or destroying it cancels the former one.
class Timer {
public:
    explicit Timer(Loop& loop) : loop_(&loop) {}
    ~Timer() { cancel(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void set(double at, std::function<void()> task);
    void cancel();
    bool is_set() const { return key_.second != 0; }

private:
    Loop* loop_;
    Deadlines::Key key_{0, 0};
};

}  // namespace jasperspread::net
