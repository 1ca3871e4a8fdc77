// A member of the fleet as others know it: its name and address, which start of the process is meant, its
// health.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jasperspread::fleet {

using Name = std::string;     // of an agent, one in the fleet; from the platform's configuration
using Address = std::string;  // "127.0.0.1:2910", as net::to_text gives it

struct Incarnation {
    std::uint64_t number = 0;  // grows with each start, and with each refutation of a suspicion
    std::uint64_t token = 0;   // drawn at the start; 0: unknown
    auto operator<=>(const Incarnation&) const = default;  // the later one is the larger
};

enum class Health { Alive, Suspect, Dead, Left };

// What is known or said of a member.
struct MemberRecord {
    Name name;
    Address address;
    Incarnation incarnation;
    Health health = Health::Alive;
    bool operator==(const MemberRecord&) const = default;
};

// Whether `fresh` says more than what is known: a later incarnation, or in the same one a graver state.
constexpr bool supersedes(const Incarnation& fresh, Health fresh_health, const Incarnation& known,
                          Health known_health) {
    return fresh > known || (fresh == known && fresh_health > known_health);
}

}  // namespace jasperspread::fleet
