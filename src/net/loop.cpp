#include "loop.h"

#include <algorithm>
#include <limits>

namespace jasperspread::net {
namespace {
constexpr double stood_still_s = 0.01;
}

Deadlines::Key Deadlines::add(double at, std::function<void()> task) {
    const Key key{at, ++added_};
    entries_.emplace(key, std::move(task));
    return key;
}

double Deadlines::next() const {
    return entries_.empty() ? std::numeric_limits<double>::infinity() : entries_.begin()->first.first;
}

void Deadlines::sweep(double now) {
    std::vector<Key> due;
    for (const auto& [key, task] : entries_) {
        if (key.first > now) break;
        due.push_back(key);
    }
    for (const Key& key : due) {
        auto node = entries_.extract(key);  // an earlier task may have cancelled it
        if (!node.empty()) node.mapped()();
    }
}

void Loop::watch(int fd, short events, Ready& who, Order order) {
    const auto index = static_cast<std::size_t>(fd);
    if (index >= watches_.size()) watches_.resize(index + 1);
    Watch& watch = watches_[index];
    if (watch.who == nullptr) watch.serial = ++serial_;
    watch.who = &who;
    watch.order = order;
    poller_.watch(fd, events, watch.serial);
}

bool Loop::drop(int fd) {
    const auto index = static_cast<std::size_t>(fd);
    if (fd < 0 || index >= watches_.size() || watches_[index].who == nullptr) return false;
    watches_[index].who = nullptr;
    return true;
}

void Loop::forget(int fd) {
    if (drop(fd)) poller_.forget(fd);
}

void Loop::forget_closing(int fd) {
    drop(fd);
    poller_.forget_closing(fd);
}

// An earlier callback of the turn may have closed it, and a new descriptor may have got its number.
Ready* Loop::waits_for(const Poller::Ready& ready, Order order) const {
    const Watch& watch = watches_[static_cast<std::size_t>(ready.fd)];
    return watch.serial == ready.serial && watch.order == order ? watch.who : nullptr;
}

void Loop::turn(double longest_s) {
    const double began = now();
    const double wait = std::clamp(deadlines_.next() - began, 0.0, longest_s);
    std::span<const Poller::Ready> ready = poller_.wait(wait);
    // Guards against a process that stood still, in its wait or after it: what came in time is met before the
    // deadlines that have passed meanwhile. Only those that were due when the kernel had looked are met this
    // turn.
    const double looked = now();
    if (looked > began + wait + stood_still_s) ready = poller_.wait(0);
    for (const Order order : {Order::Early, Order::Usual, Order::Late}) {
        for (const Poller::Ready& one : ready) {
            if (Ready* who = waits_for(one, order)) who->ready(one.events);
        }
    }
    deadlines_.sweep(looked);
    retired_.clear();
}

void Timer::set(double at, std::function<void()> task) {
    cancel();
    key_ = loop_->deadlines().add(at, [this, run = std::move(task)] {
        key_ = {0, 0};
        run();
    });
}

void Timer::cancel() {
    if (is_set()) loop_->deadlines().cancel(key_);
    key_ = {0, 0};
}

}  // namespace jasperspread::net
