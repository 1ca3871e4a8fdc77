// Where the agents of a scale run stand: zone, rack and region by number, and an address of 127/8 that tells
// zone and kind, so that whoever receives a datagram knows where it came from.
#pragma once

#include <cstdint>
#include <string>

#include "net/socket.h"

namespace lab {

// The last byte of a real process's address is this and its number; hollow agents stay below.
constexpr int first_real_byte = 200, real_agents_most = 50;

struct Placement {
    int zones = 6, regions = 2, racks_per_zone = 5;

    int zone_of(int agent) const { return agent % zones; }
    int region_of_zone(int zone) const { return zone * regions / zones; }
    int region_of(int agent) const { return region_of_zone(zone_of(agent)); }
    int rack_of(int agent) const { return agent / zones % racks_per_zone; }  // within its zone
    int place_in_zone(int agent) const { return agent / zones; }
};

// Any free port at the address of this agent. Throws std::out_of_range where a zone has no room for it.
std::string address_of(const Placement& placement, int agent, bool real);
// Any free port at the address of a zone's control feed.
jasperspread::net::Address feed_address(int zone);
// The zone of such an address; -1 for any other.
int zone_of(const jasperspread::net::Address& address);
// The number of the real process that has this address; -1 for any other address.
int real_agent_of(const jasperspread::net::Address& address);

}  // namespace lab
