#include "lab/scale/placement.h"

#include <arpa/inet.h>

#include <stdexcept>

namespace lab {
namespace {

constexpr unsigned loopback_byte = 127, scale_byte = 65, feed_byte = 254;

struct Bytes {
    unsigned network = 0, scale = 0, zone = 0, place = 0;
};

Bytes bytes_of(const jasperspread::net::Address& address) {
    const std::uint32_t bits = ntohl(address.in.sin_addr.s_addr);
    return {bits >> 24, bits >> 16 & 0xFFU, bits >> 8 & 0xFFU, bits & 0xFFU};
}

std::string text_of(int zone, unsigned place) {
    return std::to_string(loopback_byte) + "." + std::to_string(scale_byte) + "." + std::to_string(zone + 1) +
           "." + std::to_string(place) + ":0";
}

}  // namespace

std::string address_of(const Placement& placement, int agent, bool real) {
    const int place = real ? first_real_byte + agent : placement.place_in_zone(agent) + 1;
    const bool fits = real ? agent < real_agents_most : place < first_real_byte;
    if (!fits) throw std::out_of_range("no address for agent " + std::to_string(agent));
    return text_of(placement.zone_of(agent), static_cast<unsigned>(place));
}

jasperspread::net::Address feed_address(int zone) {
    return *jasperspread::net::parse_address(text_of(zone, feed_byte));
}

int zone_of(const jasperspread::net::Address& address) {
    const Bytes bytes = bytes_of(address);
    const bool ours = bytes.network == loopback_byte && bytes.scale == scale_byte && bytes.zone > 0;
    return ours ? static_cast<int>(bytes.zone) - 1 : -1;
}

int real_agent_of(const jasperspread::net::Address& address) {
    const int number = static_cast<int>(bytes_of(address).place) - first_real_byte;
    return zone_of(address) >= 0 && number >= 0 && number < real_agents_most ? number : -1;
}

}  // namespace lab
