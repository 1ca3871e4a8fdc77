// What an agent remembers across its own death, record by record (docs/design/store.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasperspread::store {

using SessionId = std::uint64_t;

enum class Phase : std::uint8_t {
    Intent = 1,    // of a paid class: its first byte may have gone out
    Standing = 2,  // its answer has come
};

// A session, or a set-up of a paid class that may have run. One record for each session at any time.
struct SessionRecord {
    SessionId id = 0;
    Phase phase = Phase::Intent;
    bool paid = false;
    std::string server;  // its id in the list: an address may be another server's by the time of reading
    std::string class_name, title;
    std::uint64_t incarnation = 0;  // of this agent, in which it was written
    double at = 0;                  // Unix time of writing, s
    bool operator==(const SessionRecord&) const = default;
};

// The list of servers that was known last. Kept under the session number 0, which no session has.
struct ListRecord {
    std::uint64_t revision = 0;
    std::vector<std::string> up;  // ids of the servers that could take new work
    double at = 0;                // Unix time of writing, s
    bool operator==(const ListRecord&) const = default;
};
constexpr SessionId list_place = 0;

// Whose store it is, and how far it had come.
struct OwnRecord {
    std::string name;          // of the agent
    std::uint64_t starts = 0;  // of the agent on this store, so far
    std::string boot;          // the kernel's id of the boot in which it was last opened
};

// A body carries its version and a checksum over key and content, so that what a disk has changed is not
// taken for a record.
std::string encode(const SessionRecord& record);
std::optional<SessionRecord> decode(SessionId id, std::string_view body);  // nullopt: damaged, or unknown
std::string encode(const ListRecord& record);
std::optional<ListRecord> decode_list(std::string_view body);

}  // namespace jasperspread::store
