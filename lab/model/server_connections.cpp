// The connections of an emulated lesson server: which agent each belongs to, what is said on which, and what
// spoils them.
#include <algorithm>

#include "server.h"

namespace lab {

using jasperspread::codec::ServerVerb;

namespace {

// What an agent was not connected for is said on connections that come within so long, s.
constexpr double owed_for_s = 10;

}  // namespace

void LessonServer::arrived(std::uint64_t number, Connection& connection) {
    const auto address = connection.peer();
    const std::uint64_t tag = tag_of(number);
    const std::uint64_t agent = tag != 0 ? tag : address.in.sin_addr.s_addr;
    agent_of_[number] = agent;
    if (plan_.servers_hand_over)
        connection.send(
            "{\"verb\":\"FEATURE\",\"tag\":\"0000000000000000\",\"opts\":{\"handover\":\"1\"}}\n");
    for (auto& [at, text, told] : owed_all_) {
        if (loop_.now() <= at + owed_for_s && told.insert(agent).second) connection.send(text);
    }
    if (const auto owed = owed_.find(agent); owed != owed_.end()) {
        for (const auto& [at, text] : owed->second) {
            if (loop_.now() <= at + owed_for_s) connection.send(text);
        }
        owed_.erase(owed);
    }
}

int LessonServer::agent_number(std::uint64_t connection) const {
    return static_cast<int>(agent_of_.at(connection)) - 1;
}

void LessonServer::deaden_connections(int agent) {
    for (const auto& [number, its_agent] : agent_of_) {
        if (its_agent == static_cast<std::uint64_t>(agent) + 1) deaden(number);
    }
}

void LessonServer::deaden(std::uint64_t number) {
    if (dead_.insert(number).second)
        ledger_.connections_dead(agent_number(number), number_, true, loop_.now());
}

bool LessonServer::has_dead_connection(int agent) const {
    return std::any_of(dead_.begin(), dead_.end(),
                       [&](std::uint64_t number) { return agent_number(number) == agent; });
}

// A line in eight on each connection, and one in three of these stops short: nothing follows on that one.
void LessonServer::garble() {
    constexpr std::uint64_t one_in = 8, ways = 3;
    constexpr std::size_t over_limit = 17 * 1024;
    std::vector<std::uint64_t> open;
    for (const auto& [number, agent] : agent_of_) {
        if (!is_dead(number)) open.push_back(number);
    }
    for (const std::uint64_t number : open) {
        Connection* const to = random_() % one_in == 0 ? connection(number) : nullptr;
        if (to == nullptr || !to->is_open()) continue;
        ledger_.link_reset(agent_number(number), number_, loop_.now());
        const std::uint64_t way = random_() % ways;
        if (way == 0) to->send("unreadable\n");
        if (way == 1) to->send(std::string(over_limit, 'x') + "\n");
        if (way != 2) continue;
        to->send(R"({"verb":"NOTICE","tag":)");
        deaden(number);
    }
}

void LessonServer::say_on(std::uint64_t number, const Message& message) {
    if (is_dead(number)) return;
    if (Connection* to = connection(number)) to->send(encode(message));
}

// On the connection of its set-up, or any open one of its agent; a release on the next one too.
bool LessonServer::say(const Held& held, const Message& message) {
    if (held.orphan && message.verb == ServerVerb::Finish)
        return say_to_all(message.session, encode(message));
    if (message.verb == ServerVerb::Finish) {
        auto& owed = owed_[held.agent];
        owed.emplace_back(loop_.now(), encode(message));
        while (owed.front().first < loop_.now() - owed_for_s) owed.pop_front();
    }
    if (holds_releases_ && message.verb == ServerVerb::Finish) return false;
    const auto send_on = [&](std::uint64_t number) {
        Connection* const to = is_dead(number) ? nullptr : connection(number);
        if (to == nullptr || !to->is_open()) return false;
        to->send(encode(message));
        return true;
    };
    if (send_on(held.connection)) return true;
    return std::any_of(agent_of_.begin(), agent_of_.end(),
                       [&](const auto& entry) { return entry.second == held.agent && send_on(entry.first); });
}

// Whoever has taken the session over since hears of its end, now and on its next connection.
bool LessonServer::say_to_all(SessionId id, const std::string& text) {
    std::set<std::uint64_t> sent;
    for (const auto& [number, agent] : agent_of_) {
        Connection* other = is_dead(number) || holds_releases_ ? nullptr : connection(number);
        if (other != nullptr && other->is_open() && sent.insert(agent).second) other->send(text);
    }
    owed_all_.push_back({loop_.now(), text, {}});
    while (owed_all_.front().at < loop_.now() - owed_for_s) owed_all_.pop_front();
    return sent.contains(static_cast<std::uint64_t>(ledger_.holder(id)) + 1);
}

}  // namespace lab
