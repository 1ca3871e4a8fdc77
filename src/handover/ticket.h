// Tickets: what shows a lesson server that a hand-over was ordered by an agent that holds the key: a MAC over
// a line of text. Replays are the epochs' business.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "keys/mac_keys.h"

namespace jasperspread::handover {

struct Ticket {
    std::uint64_t session = 0, epoch = 0;
    std::string source, target;    // ids of the control feed
    std::uint64_t expires_ms = 0;  // Unix
    bool operator==(const Ticket&) const = default;
};

enum class TicketFault { None, Unreadable, Forged, Expired };

using keys::KeyError;

class TicketKeys {
public:
    // As MacKeys reads it. Throws KeyError.
    explicit TicketKeys(std::string_view text) : keys_(text) {}

    std::string sign(const Ticket& ticket) const;
    struct Read {
        TicketFault fault = TicketFault::None;
        Ticket ticket;  // only where there is no fault
    };
    Read read(std::string_view text, double unix_now) const;

private:
    keys::MacKeys keys_;
};

}  // namespace jasperspread::handover
