#include "message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "fleet/cbor.h"

namespace jasperspread::fleet {
namespace {

using nlohmann::json;

constexpr std::uint64_t version = 1;

// [name, address, incarnation, token, health]
json written(const MemberRecord& update) {
    return json::array({update.name, update.address, update.incarnation.number, update.incarnation.token,
                        static_cast<unsigned>(update.health)});
}

bool read_text(const json& from, std::size_t most, std::string& to) {
    const std::string* text = from.get_ptr<const std::string*>();
    if (text == nullptr || text->size() > most) return false;
    to = *text;
    return true;
}

bool read_number(const json& from, std::uint64_t& to) {
    if (!from.is_number_unsigned()) return false;
    to = from.get<std::uint64_t>();
    return true;
}

bool read_record(const json& from, MemberRecord& update) {
    constexpr std::size_t parts = 5;
    std::uint64_t health = 0;
    if (!from.is_array() || from.size() != parts) return false;
    if (!read_text(from[0], name_most, update.name) || !read_text(from[1], address_most, update.address) ||
        !read_number(from[2], update.incarnation.number) || !read_number(from[3], update.incarnation.token) ||
        !read_number(from[4], health) || health > static_cast<std::uint64_t>(Health::Left))
        return false;
    update.health = static_cast<Health>(health);
    return true;
}

// [zone, ages of machine and agent in ms, revision, stage, pressed, [server, ms, server, ms, ...]]
json written(const Status& status) {
    const auto ms = [](double seconds) {
        return static_cast<std::uint64_t>(std::llround(std::max(0.0, seconds) * 1000));
    };
    json runs = json::array();
    for (const auto& [server, seconds] : status.runs) {
        runs.push_back(server);
        runs.push_back(ms(seconds));
    }
    return json::array({status.zone, ms(status.machine_s), ms(status.agent_s), status.revision, status.stage,
                        status.pressed, runs});
}

bool read_status(const json& from, Status& status) {
    constexpr std::size_t parts = 7;
    std::uint64_t machine_ms = 0, agent_ms = 0;
    if (!from.is_array() || from.size() != parts || !read_text(from[0], zone_most, status.zone) ||
        !read_number(from[1], machine_ms) || !read_number(from[2], agent_ms) ||
        !read_number(from[3], status.revision) || !read_number(from[4], status.stage) ||
        !from[5].is_boolean() || !from[6].is_array() || from[6].size() > 2 * runs_most ||
        from[6].size() % 2 != 0)
        return false;
    for (std::size_t i = 0; i < from[6].size(); i += 2) {
        std::uint64_t server = 0, run_ms = 0;
        if (!read_number(from[6][i], server) || !read_number(from[6][i + 1], run_ms) || server > 0xFFFFFFFFU)
            return false;
        status.runs.emplace_back(static_cast<std::uint32_t>(server), static_cast<double>(run_ms) / 1000);
    }
    status.machine_s = static_cast<double>(machine_ms) / 1000;
    status.agent_s = static_cast<double>(agent_ms) / 1000;
    status.pressed = from[5].get<bool>();
    return true;
}

constexpr bool tells_status(Kind kind) {
    return kind == Kind::StatusQuery || kind == Kind::StatusReply;
}

}  // namespace

std::string encode(const Message& message) {
    json updates = json::array();
    for (const MemberRecord& update : message.updates) updates.push_back(written(update));
    json whole =
        json::array({version, static_cast<unsigned>(message.kind), message.number, written(message.target),
                     updates, message.kind == Kind::Join ? message.digests : message.sessions});
    // Only these have a seventh part, so that agents of earlier versions read all others.
    if (tells_status(message.kind)) whole.push_back(written(message.status.value_or(Status{})));
    std::string bytes;
    json::to_cbor(whole, bytes);
    return bytes;
}

std::optional<Message> decode(std::string_view bytes) {
    const json whole = read_cbor(bytes);
    constexpr std::size_t parts = 6;
    std::uint64_t told_version = 0, kind = 0;
    Message message;
    if (!whole.is_array() || whole.size() < parts || whole.size() > parts + 1 ||
        !read_number(whole[0], told_version) || told_version != version || !read_number(whole[1], kind) ||
        kind > static_cast<std::uint64_t>(Kind::StatusReply) || !read_number(whole[2], message.number) ||
        !read_record(whole[3], message.target) || !whole[4].is_array() || whole[4].size() > updates_most ||
        !whole[5].is_array() || whole[5].size() > sessions_most)
        return std::nullopt;
    message.kind = static_cast<Kind>(kind);
    if (tells_status(message.kind) != (whole.size() > parts)) return std::nullopt;
    if (tells_status(message.kind) && !read_status(whole[parts], message.status.emplace()))
        return std::nullopt;
    for (const json& update : whole[4]) {
        if (!read_record(update, message.updates.emplace_back())) return std::nullopt;
    }
    // Agents of earlier versions send no digests, and pass over them.
    auto& numbers = message.kind == Kind::Join ? message.digests : message.sessions;
    for (const json& number : whole[5]) {
        if (!read_number(number, numbers.emplace_back())) return std::nullopt;
    }
    return message;
}

}  // namespace jasperspread::fleet
