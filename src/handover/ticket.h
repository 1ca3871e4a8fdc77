// Tickets: what shows a lesson server that a hand-over was ordered by an agent that holds the key. Keyed MAC
// (HMAC-SHA-512/256, libsodium's crypto_auth) over a line of text. Replays are the epochs' business.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace jasperspread::handover {

struct Ticket {
    std::uint64_t session = 0, epoch = 0;
    std::string source, target;    // ids of the control feed
    std::uint64_t expires_ms = 0;  // Unix
    bool operator==(const Ticket&) const = default;
};

enum class TicketFault { None, Unreadable, Forged, Expired };

struct KeyError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class TicketKeys {
public:
    // One or two lines of 64 hex digits: the first signs, each is taken. Throws KeyError, which never holds
    // a part of the key.
    explicit TicketKeys(std::string_view text);

    std::string sign(const Ticket& ticket) const;
    struct Read {
        TicketFault fault = TicketFault::None;
        Ticket ticket;  // only where there is no fault
    };
    Read read(std::string_view text, double unix_now) const;

private:
    using Key = std::array<unsigned char, 32>;
    std::vector<Key> keys_;
};

}  // namespace jasperspread::handover
