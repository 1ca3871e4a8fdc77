// The indirect probes that this member makes for others: which ping was sent for whom, and when the asker is
// told that nothing has come back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fleet/member.h"

namespace jasperspread::fleet {

class PingRelays {
public:
    struct Relay {
        Address asker;
        std::uint64_t asker_number = 0;  // of its probe
        double nack_at = 0;
        bool nacked = false;
    };

    // A relay is forgotten so many s after its Nack was due.
    explicit PingRelays(double kept_s) : kept_s_(kept_s) {}

    // `number`: of the ping that we send for the asker.
    void add(std::uint64_t number, Relay relay) { relays_[number] = std::move(relay); }
    // Whose probe the answer to our ping is for; it is forgotten by that.
    std::optional<Relay> take(std::uint64_t number);
    // Those to be told Nack; each one once.
    std::vector<Relay> take_unanswered(double now);
    // This process stood still for so long, s.
    void postpone(double seconds);
    double due() const;  // infinity where nobody waits

private:
    const double kept_s_;
    std::map<std::uint64_t, Relay> relays_;
};

}  // namespace jasperspread::fleet
