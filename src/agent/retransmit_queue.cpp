#include "retransmit_queue.h"

#include <algorithm>

namespace jasperspread::agent {

void RetransmitQueue::add(SessionId id, std::string bytes, double now) {
    erase(id);
    messages_[id] = Message{std::move(bytes), now, now, times_.first_pause_s, 0};
    by_age_.emplace(now, id);
    by_due_.emplace(now, id);
}

bool RetransmitQueue::acknowledge(SessionId id) {
    const bool there = messages_.contains(id);
    erase(id);
    return there;
}

const std::string& RetransmitQueue::send(SessionId id, ConnectionNumber on, double now) {
    Message& message = messages_.at(id);
    set_connection(id, message, on);
    set_due(id, message, now + message.pause_s);
    message.pause_s *= 2;
    return message.bytes;
}

void RetransmitQueue::connection_lost(ConnectionNumber on, double now) {
    if (on == 0) return;
    for (auto it = by_connection_.lower_bound({on, 0}); it != by_connection_.end() && it->first == on;) {
        const SessionId id = it->second;
        it = by_connection_.erase(it);
        Message& message = messages_.at(id);
        message.on = 0;
        set_due(id, message, now);
    }
}

void RetransmitQueue::drop_expired(double now) {
    while (!by_age_.empty() && now >= by_age_.begin()->first + times_.give_up_s) {
        erase(by_age_.begin()->second);
    }
}

void RetransmitQueue::take_all(RetransmitQueue&& other, double now) {
    for (const auto& [added_at, id] : other.by_age_) {
        if (messages_.contains(id)) continue;
        messages_[id] =
            Message{std::move(other.messages_.at(id).bytes), added_at, now, times_.first_pause_s, 0};
        by_age_.emplace(added_at, id);
        by_due_.emplace(now, id);
    }
}

std::vector<RetransmitQueue::SessionId> RetransmitQueue::due(double now) const {
    std::vector<SessionId> ids;
    for (const auto& [at, id] : by_due_) {
        if (at > now) break;
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

void RetransmitQueue::set_due(SessionId id, Message& message, double at) {
    by_due_.erase({message.due_at, id});
    message.due_at = at;
    by_due_.emplace(at, id);
}

void RetransmitQueue::set_connection(SessionId id, Message& message, ConnectionNumber on) {
    if (message.on != 0) by_connection_.erase({message.on, id});
    message.on = on;
    if (on != 0) by_connection_.emplace(on, id);
}

void RetransmitQueue::erase(SessionId id) {
    const auto it = messages_.find(id);
    if (it == messages_.end()) return;
    by_age_.erase({it->second.added_at, id});
    by_due_.erase({it->second.due_at, id});
    if (it->second.on != 0) by_connection_.erase({it->second.on, id});
    messages_.erase(it);
}

}  // namespace jasperspread::agent
