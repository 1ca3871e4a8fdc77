#include "relay.h"

#include <algorithm>

namespace lab {

Relay::~Relay() {
    for (auto& [number, end] : ends_) loop_.deadlines().cancel(end.out.due);
}

void Relay::arrived(std::uint64_t number, Connection&) {
    constexpr double connects_within_s = 5;
    const std::uint64_t onward = connect(target_, connects_within_s);
    ends_[number] = End{onward, true, {}};
    ends_[onward] = End{number, false, {}};
}

std::size_t Relay::heard(std::uint64_t number, std::string_view bytes) {
    bytes_ += bytes.size();
    const auto it = ends_.find(number);
    const auto to = it == ends_.end() ? ends_.end() : ends_.find(it->second.other);
    if (to == ends_.end()) return bytes.size();
    Way& way = to->second.out;
    constexpr std::size_t longest_piece = 80;
    constexpr double longest_pause_s = 0.004;
    std::string_view rest = bytes;
    while (in_pieces_ && rest.size() > 1) {
        const std::size_t size =
            std::min(rest.size() - 1, 1 + static_cast<std::size_t>(random_() % longest_piece));
        add(way, rest.substr(0, size), longest_pause_s * uniform());
        rest.remove_prefix(size);
    }
    add(way, rest, 0);
    pass(to->first);
    return bytes.size();
}

void Relay::add(Way& way, std::string_view bytes, double pause_s) {
    // Pauses don't add up to a network that is slow for seconds.
    constexpr double most_behind_s = 0.03;
    if (way.last_due > loop_.now() + most_behind_s) pause_s = 0;
    way.last_due = std::max(way.last_due + pause_s, loop_.now() + least_s_ + jitter_s_ * uniform());
    way.bytes.emplace_back(way.last_due, std::string(bytes));
}

// Passes on what is due towards this end, and its end after all else.
void Relay::pass(std::uint64_t number) {
    const auto it = ends_.find(number);
    if (it == ends_.end() || is_cut(it->second)) return;
    Way& way = it->second.out;
    Connection* to = connection(number);
    // What comes before our own connect is up waits for it: a connection that is not open takes nothing.
    if (to != nullptr && !to->is_open() && !way.bytes.empty()) return;
    while (to != nullptr && !way.bytes.empty() && way.bytes.front().first <= loop_.now()) {
        const std::string bytes = std::move(way.bytes.front().second);
        way.bytes.pop_front();
        to->send(bytes);
        to = connection(number);
    }
    if (way.bytes.empty()) {
        if (way.ends && to != nullptr) to->finish();
        return;
    }
    loop_.deadlines().cancel(way.due);
    way.due = loop_.deadlines().add(way.bytes.front().first, [this, number] { pass(number); });
}

void Relay::left(std::uint64_t number, Connection::End) {
    const auto it = ends_.find(number);
    if (it == ends_.end()) return;
    const std::uint64_t other = it->second.other;
    loop_.deadlines().cancel(it->second.out.due);
    ends_.erase(it);
    const auto to = ends_.find(other);
    if (to == ends_.end()) return;
    to->second.out.ends = true;
    pass(other);
}

void Relay::cut(bool forth, bool back) {
    cut_forth_ = forth;
    cut_back_ = back;
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, end] : ends_) numbers.push_back(number);
    for (const std::uint64_t number : numbers) pass(number);
}

void Relay::break_all() {
    for (auto& [number, end] : ends_) loop_.deadlines().cancel(end.out.due);
    ends_.clear();
    drop_all();
}

void Relay::refuse(bool refuses) {
    if (refuses) {
        at_ = address();
        stop_listening();
        return break_all();
    }
    listen(at_);
}

}  // namespace lab
