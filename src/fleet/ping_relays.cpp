#include "ping_relays.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jasperspread::fleet {

std::optional<PingRelays::Relay> PingRelays::take(std::uint64_t number) {
    const auto it = relays_.find(number);
    if (it == relays_.end()) return std::nullopt;
    Relay relay = std::move(it->second);
    relays_.erase(it);
    return relay;
}

std::vector<PingRelays::Relay> PingRelays::take_unanswered(double now) {
    std::vector<Relay> unanswered;
    for (auto& [number, relay] : relays_) {
        if (now >= relay.nack_at && !std::exchange(relay.nacked, true)) unanswered.push_back(relay);
    }
    std::erase_if(relays_, [&](const auto& one) { return now >= one.second.nack_at + kept_s_; });
    return unanswered;
}

void PingRelays::postpone(double seconds) {
    for (auto& [number, relay] : relays_) relay.nack_at += seconds;
}

double PingRelays::due() const {
    double at = std::numeric_limits<double>::infinity();
    for (const auto& [number, relay] : relays_) {
        if (!relay.nacked) at = std::min(at, relay.nack_at);
    }
    return at;
}

}  // namespace jasperspread::fleet
