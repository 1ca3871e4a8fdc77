// The seal of a datagram between agents: a keyed MAC, the sender's name and incarnation, a counter, and the
// token of the receiver's process, so that what was recorded is worth nothing to another one
// (docs/design/fleet.md).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "fleet/member.h"
#include "keys/mac_keys.h"

namespace jasperspread::fleet {

using keys::KeyError;
using Keys = keys::MacKeys;

enum class SealFault {
    None,
    Forged,      // the MAC is not by our key
    Unreadable,  // it is, but what is under it is of no known form
    Unknown,     // it does not name our token: the sender must be told our token
    Repeated,    // it came before, or is too old to tell
};

class Seal {
public:
    struct Opened {
        SealFault fault = SealFault::None;
        Name from;   // from here on only where it was not forged
        Address at;  // where the sender says that it listens: a datagram's own source can be made up
        Incarnation incarnation;
        bool to_nobody = false;  // the sender knew no token of ours, not an old one
        std::string body;
    };
    struct Counts {
        std::uint64_t forged = 0, unreadable = 0, unknown = 0, repeated = 0;
    };

    Seal(Keys keys, Name own, Address at, Incarnation incarnation)
        : keys_(std::move(keys)), own_(std::move(own)), at_(std::move(at)), incarnation_(incarnation) {}

    void change(Keys keys) { keys_ = std::move(keys); }
    // A member that refutes a suspicion raises its incarnation; the token stays.
    void set_incarnation(const Incarnation& incarnation) { incarnation_ = incarnation; }
    // `to`: the receiver's token, 0 where it is not known.
    std::string close(std::uint64_t to, std::string_view body);
    Opened open(std::string_view datagram);
    void forget(std::uint64_t token) { seen_.erase(token); }
    const Counts& counts() const { return counts_; }

private:
    struct Window {
        std::uint64_t newest = 0, before = 0;  // bit i: newest - 1 - i has come
    };
    bool is_fresh(std::uint64_t token, std::uint64_t counter);

    Keys keys_;
    const Name own_;
    const Address at_;
    Incarnation incarnation_;
    std::uint64_t sent_ = 0;
    std::map<std::uint64_t, Window> seen_;  // by the sender's token
    Counts counts_;
};

}  // namespace jasperspread::fleet
