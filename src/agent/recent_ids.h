// Ids of requests that may have run, remembered for a time and not for a number of others. Times are Unix
// times in seconds, passed in.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_set>

namespace jasperspread::agent {

class RecentIds {
public:
    using Id = std::uint64_t;

    // `kept_s`: how long an id is remembered at least, and twice that at most; `most`: how many has_room()
    // allows.
    explicit RecentIds(double kept_s, std::size_t most = std::numeric_limits<std::size_t>::max())
        : kept_s_(kept_s), most_(most) {}

    // False: as many are remembered as may be. Nothing is forgotten early for that; add() still takes it.
    bool has_room(double now);
    void add(Id id, double now);
    bool contains(Id id, double now);

private:
    void age(double now);

    const double kept_s_;
    const std::size_t most_;
    double aged_at_ = 0;
    std::array<std::unordered_set<Id>, 2> generations_;  // the younger one first
};

}  // namespace jasperspread::agent
