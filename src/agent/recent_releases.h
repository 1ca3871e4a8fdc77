// How sessions have ended at their servers, remembered for a time: a set-up that hands a session over may be
// read only after its server has told of the end. Times are Unix times in seconds, passed in.
#pragma once

#include <cinderfront/controller.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "agent/seam.h"

namespace jasperspread::agent {

class RecentReleases {
public:
    // `kept_s`: how long a release is remembered; `most`: how many are, the latest ones.
    RecentReleases(double kept_s, std::size_t most) : kept_s_(kept_s), most_(most) {}

    void add(SessionId id, ServerNumber server, cinderfront::Ending how, double now);
    // How the session has ended at this server, if that was told.
    std::optional<cinderfront::Ending> find(SessionId id, ServerNumber server, double now);

private:
    struct Release {
        ServerNumber server = 0;
        cinderfront::Ending how{};
        double at = 0;
    };
    struct Told {
        SessionId id = 0;
        double at = 0;
    };

    void drop_old(double now);

    const double kept_s_;
    const std::size_t most_;
    std::unordered_map<SessionId, Release> releases_;
    std::deque<Told> order_;  // as they came; of a session that was released again, also earlier ones
};

}  // namespace jasperspread::agent
