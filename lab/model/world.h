// What a laboratory world is made of, in numbers. Rates are kB/s, times s.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "fleet/settings.h"
#include "handover/settings.h"
#include "net/socket.h"
#include "recovery/settings.h"
#include "store/settings.h"

namespace lab {

struct ClassPlan {
    std::string name;
    double aim = 1, deadline = 5, points = 1, scale = 1;
    bool paid = false;  // non-idempotent: never sent twice
};

// How a lesson server that has just started warms up (the fourth rule's figures).
struct ColdPlan {
    double warm_s = 12, from = 0.4, fall_s = 3, fall_multiple = 4;
    bool by_chance = false;  // the page's own bound: some more may come by chance
    bool falls = false;      // one that is sent more than it bears goes down
    double back_s = 1.5;     // and is back, cold, after so long
};

struct WorldPlan {
    std::uint64_t seed = 1;
    int spares = 0;  // the last of the servers, which come only in place of others
    int agents = 2, servers = 8, racks = 2, cells = 8, zones = 2;
    std::size_t agent_descriptors = 256;
    double link_kb = 6000, rack_part = 0.9;  // of its servers' links
    int places = 60;
    std::vector<double> ladder_kb = {200, 300, 450, 700, 1000, 1500};
    std::vector<double> worth = {0.27, 0.44, 0.59, 0.73, 0.87, 1.0};
    std::vector<ClassPlan> classes = {{"attended-lesson", 1.0, 5.0, 2.0, 1.2, true},
                                      {"replay", 1.5, 4.0, 1.0, 0.7, false}};
    double paid_part = 0.4;  // of the viewers
    double stall_cost = 7, switch_cost_s = 0.45, told_every = 2.0, told_late = 0.7;
    double drain_grace = 0.25;
    int try_limit = 3;
    double slack_s = 0.05;  // by which each time limit of the rules is longer
    ColdPlan cold;
    double arrivals_per_s = 4;  // of all viewers together
    double life_s = 40;         // of a session, on average
    int titles = 40, copies = 3;
    double again_part = 0.8;  // of those refused or cut off come again
    bool servers_hand_over = true;
    bool agents_hand_over = false;
    jasperspread::handover::Settings handover;  // of the agents, where they do
    double claimed_part = 0;  // of those who watch when their agent dies stay, and name the session again
    bool agents_remember = false;
    jasperspread::store::Settings store;  // where they do; folders are the driver's business
    bool agents_talk = false;
    jasperspread::fleet::Settings fleet;  // where they do; addresses and seeds are the driver's business
    bool agents_recover = false;          // they come back by stages
    jasperspread::recovery::Settings recovery;
    bool agents_log_all = false;  // at level debug
    double gives_up_part = 0;     // of the viewers give up before their time
    double heeds_part = 0;        // of the viewers who are told to stay away do

    int cell_of(int server) const { return server % cells; }
    int rack_of(int server) const { return cell_of(server) % racks; }
    int zone_of(int server) const { return cell_of(server) % zones; }
    double rack_kb() const { return rack_part * link_kb * servers / racks; }
    double all_links_kb() const { return link_kb * servers; }
};

// A small world in which every server holds every title, and notes come each second.
WorldPlan even_plan(std::uint64_t seed, int agents, int servers, double link_kb);

inline int agent_of(std::uint64_t session) {
    return static_cast<int>(session >> 32) - 1;
}  // its viewers' ids tell
std::string server_id(int server);  // as the control feed names it
std::string zone_name(int zone);
std::string ticket_key();  // the laboratory's own, as a key file holds it

struct Member {
    int server = 0;
    jasperspread::net::Address address;
    std::string phase = "up";
    double up_since = 0;
};

// One event of the control feed.
nlohmann::json feed_event(const WorldPlan& plan, std::uint64_t number, bool complete,
                          const std::vector<Member>& members);
// The platform's configuration of one agent.
nlohmann::json agent_config(const WorldPlan& plan, int agent, const jasperspread::net::Address& listen,
                            const jasperspread::net::Address& feed, const nlohmann::json& known);

// What a viewer's description says to the laboratory's servers: opaque to the agent.
struct Wish {
    double length_s = 0;
    int top = 0;
};
std::string describe(const Wish& wish);
Wish read_wish(const std::string& description);

}  // namespace lab
