#include "network.h"

#include <xxhash.h>

#include <algorithm>

namespace lab {

Host& Network::add_host(std::size_t descriptors) {
    const auto number = static_cast<std::uint32_t>(hosts_.size() + 1);
    hosts_.push_back(std::make_unique<Host>(*this, 0x0A000000U + number, descriptors));
    return *hosts_.back();
}

void Network::at(double when, std::function<void()> what) {
    queue_.push({std::max(when, now_), ++entered_, std::move(what)});
}

void Network::run_until(double until) {
    while (!queue_.empty() && queue_.top().at <= until) {
        Happening next = queue_.top();
        queue_.pop();
        now_ = next.at;
        ++done_;
        note(&next.at, sizeof next.at);
        next.what();
    }
    now_ = std::max(now_, until);
}

Network::Pair Network::pair_of(const Host& a, const Host& b) {
    return std::minmax(a.address_, b.address_);
}

void Network::cut(const Host& a, const Host& b, bool is_cut) {
    const Pair pair = pair_of(a, b);
    if (is_cut) {
        cut_.insert(pair);
        return;
    }
    cut_.erase(pair);
    const auto held = held_.find(pair);
    if (held == held_.end()) return;
    const auto waiting = std::move(held->second);
    held_.erase(held);
    for (const auto& what : waiting) at(now_, what);
}

void Network::cut_one_way(const Host& from, const Host& to, bool is_cut) {
    const Pair pair{from.address_, to.address_};
    if (is_cut)
        deaf_.insert(pair);
    else
        deaf_.erase(pair);
}

void Network::set_delay(const Host& a, const Host& b, Delay delay) {
    delays_[pair_of(a, b)] = delay;
}

double Network::arrival(const Host& from, const Host& to, double after) {
    const auto own = delays_.find(pair_of(from, to));
    const Delay& delay = own == delays_.end() ? delay_ : own->second;
    return std::max(after, now_ + delay.least_s + delay.jitter_s * uniform());
}

void Network::carry(Host& from, Host& to, double when, std::function<void()> what) {
    at(when, [this, &from, &to, what = std::move(what)] {
        if (from.vanished_ || to.vanished_) return;
        if (cut_.contains(pair_of(from, to))) {
            held_[pair_of(from, to)].push_back(what);
            return;
        }
        what();
    });
}

Host* Network::host_at(const Address& address) {
    const std::uint32_t number = ntohl(address.in.sin_addr.s_addr) - 0x0A000000U;
    return number >= 1 && number <= hosts_.size() ? hosts_[number - 1].get() : nullptr;
}

void Network::note(const void* bytes, std::size_t count) {
    trace_ = XXH64(bytes, count, trace_);
}

}  // namespace lab
