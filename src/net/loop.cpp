#include "loop.h"

#include <algorithm>
#include <limits>
#include <system_error>

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
    auto [it, fresh] = watches_.try_emplace(fd);
    if (fresh) it->second.serial = ++serial_;
    it->second.events = events;
    it->second.who = &who;
    it->second.order = order;
}

void Loop::turn(double longest_s) {
    std::vector<pollfd> polled;
    std::vector<std::uint64_t> serials;
    polled.reserve(watches_.size());
    serials.reserve(watches_.size());
    for (const auto& [fd, watch] : watches_) {
        polled.push_back({fd, watch.events, 0});
        serials.push_back(watch.serial);
    }
    const double began = now();
    const double wait = std::clamp(deadlines_.next() - began, 0.0, longest_s);
    int count = kernel_.poll(polled.data(), polled.size(), wait);
    // Guards against a process that stood still, in its wait or after it: what came in time is met before the
    // deadlines that have passed meanwhile. Only those that were due when poll had looked are met this turn.
    const double looked = now();
    if (looked > began + wait + stood_still_s) count = kernel_.poll(polled.data(), polled.size(), 0);
    if (count < 0) throw std::system_error(-count, std::generic_category(), "poll");
    for (const Order order : {Order::Early, Order::Usual, Order::Late}) {
        for (std::size_t i = 0; count > 0 && i < polled.size(); ++i) {
            if (polled[i].revents == 0) continue;
            const auto it = watches_.find(polled[i].fd);
            // An earlier callback of this turn may have closed it, and a new one may have got its number.
            if (it == watches_.end() || it->second.serial != serials[i] || it->second.order != order)
                continue;
            it->second.who->ready(polled[i].revents);
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
