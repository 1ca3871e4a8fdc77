// The links of the lesson servers and what they carry: pure sums. A server's link and its rack's uplink are
// shared by all that they carry; where more is asked than either gives, all there get the same share.
#pragma once

#include <algorithm>
#include <vector>

#include "lab/model/world.h"

namespace lab {

class Fleet {
public:
    explicit Fleet(const WorldPlan& plan)
        : plan_(plan),
          asked_(static_cast<std::size_t>(plan.servers)),
          held_(static_cast<std::size_t>(plan.servers)),
          gives_(static_cast<std::size_t>(plan.servers), 1.0),
          rack_gives_(static_cast<std::size_t>(plan.racks), 1.0) {}

    void add(int server, double rate) { asked_[index(server)] += rate; }
    void take(int server, double rate) {
        asked_[index(server)] = std::max(0.0, asked_[index(server)] - rate);
    }
    void hold(int server, double rate) { held_[index(server)] += rate; }  // for reservations
    void squeeze(int server, double gives) { gives_[index(server)] = gives; }
    void squeeze_rack(int rack, double gives) { rack_gives_[static_cast<std::size_t>(rack)] = gives; }

    double gives_kb(int server) const { return plan_.link_kb * gives_[index(server)]; }
    double asked_kb(int server) const { return asked_[index(server)]; }
    double fill(int server) const { return asked_kb(server) / std::max(1e-9, gives_kb(server)); }
    double rack_fill(int rack) const {
        double sum = 0;
        for (int server = 0; server < plan_.servers; ++server) {
            if (plan_.rack_of(server) == rack) sum += std::min(asked_kb(server), gives_kb(server));
        }
        return sum / std::max(1e-9, plan_.rack_kb() * rack_gives_[static_cast<std::size_t>(rack)]);
    }
    // Of what is asked, delivered.
    double share(int server) const {
        const double link = fill(server), rack = rack_fill(plan_.rack_of(server));
        return 1 / std::max(1.0, std::max(link, rack));
    }
    // Whether the link takes `rate` more, reservations counted, up to `limit` of it.
    bool has_room(int server, double rate, double limit) const {
        const double link = asked_kb(server) + held_[index(server)] + rate;
        return link <= limit * gives_kb(server) && rack_fill(plan_.rack_of(server)) <= limit;
    }

private:
    static std::size_t index(int server) { return static_cast<std::size_t>(server); }
    const WorldPlan& plan_;
    std::vector<double> asked_, held_, gives_, rack_gives_;
};

}  // namespace lab
