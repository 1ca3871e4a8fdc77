// What agents say to each other: CBOR (RFC 8949, by nlohmann/json), inside a seal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/member.h"

namespace jasperspread::fleet {

enum class Kind {
    Ping,          // answered by Ack with the same number
    Ack,           // of a Ping, or of a PingRequest whose target has answered
    Nack,          // of a PingRequest: the target does not answer the helper either, but the helper is there
    PingRequest,   // probe `target` for me (SWIM's ping-req)
    Join,          // who is there? Answered by List messages
    List,          // some of those who are there
    Challenge,     // of a message that did not know the receiver's token: the seal's header tells it
    SessionQuery,  // of an agent that has returned: which of these sessions do you hold?
    SessionReply,  // of a SessionQuery, by its number: these
    StatusQuery,   // this is my status: what is yours?
    StatusReply,   // of a StatusQuery: my status
};

// How an agent is, told in ages, as clocks may have stepped. Of StatusQuery and StatusReply.
struct Status {
    std::string zone;            // where it stands
    double machine_s = 0;        // its machine has been up for so long
    double agent_s = 0;          // and its process
    std::uint64_t revision = 0;  // of the list that it goes by
    std::uint64_t stage = 0;     // of its own return (recovery::Stage)
    bool pressed = false;        // it turns away those who come first
    // Servers, by the numbers that all agents give them, at which a session has played for so many s and
    // does.
    std::vector<std::pair<std::uint32_t, double>> runs;
    bool operator==(const Status&) const = default;
};

struct Message {
    Kind kind = Kind::Ping;
    std::uint64_t number = 0;             // of the probe
    MemberRecord target;                  // PingRequest: whom, by name and address
    std::vector<MemberRecord> updates;    // gossip, or the members of a List
    std::vector<std::uint64_t> sessions;  // of SessionQuery and SessionReply
    std::vector<std::uint64_t> digests;   // of Join: of the buckets of the sender's member table; or none
    std::optional<Status> status;         // of StatusQuery and StatusReply
    bool operator==(const Message&) const = default;
};

constexpr std::size_t datagram_most = 1200;  // bytes, sealed
constexpr std::size_t updates_most = 12;     // in one message: they fit a datagram with names of 32 bytes
constexpr std::size_t sessions_most = 100;   // in one message; digests, too
constexpr std::size_t name_most = 32, address_most = 21, zone_most = 32;
constexpr std::size_t runs_most = 60;  // in one message

std::string encode(const Message& message);
// nullopt for anything that is not a message of this version, whole and within the bounds above.
std::optional<Message> decode(std::string_view bytes);

}  // namespace jasperspread::fleet
