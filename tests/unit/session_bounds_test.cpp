// The books on what is held and remembered: session bounds, recent ids and recent releases.
#include <doctest/doctest.h>

#include "agent/recent_ids.h"
#include "agent/recent_releases.h"
#include "agent/session_bounds.h"

using cinderfront::Ending;
using jasperspread::agent::RecentIds;
using jasperspread::agent::RecentReleases;
using jasperspread::agent::SessionBounds;

TEST_CASE("sessions have room up to a part of the memory, and large ones take more of it") {
    constexpr std::size_t memory = 1'000'000, large = 16'000;
    SessionBounds bounds(memory);
    std::size_t small_ones = 0, large_ones = 0;
    for (; bounds.has_room(0); ++small_ones) bounds.add(0);
    for (std::size_t i = 0; i < small_ones; ++i) bounds.remove(0);
    for (; bounds.has_room(large); ++large_ones) bounds.add(large);
    CHECK_LT(small_ones, memory / 1000);
    CHECK_GT(small_ones, memory / 5000);
    CHECK_LT(large_ones * large, memory / 2);
    bounds.remove(large);
    CHECK(bounds.has_room(large));
}

TEST_CASE("sessions handed over are counted for each server") {
    SessionBounds bounds(1'000'000);
    for (int i = 0; i < 6; ++i) {
        CHECK(bounds.has_room_at(1, 3));
        bounds.add_at(1);
    }
    CHECK_FALSE(bounds.has_room_at(1, 3));
    CHECK(bounds.has_room_at(2, 3));
    CHECK(bounds.has_room_at(1, 0));  // not known what it runs
    bounds.remove_at(1);
    CHECK(bounds.has_room_at(1, 3));
}

TEST_CASE("ids are remembered for a time, however many others come, and not for ever") {
    constexpr double kept_s = 30, start = 1e9;
    RecentIds ids(kept_s, 1000);
    CHECK_FALSE(ids.contains(7, start));
    ids.add(7, start + 29);
    for (RecentIds::Id other = 100; other < 5000; ++other) ids.add(other, start + 29);
    CHECK_FALSE(ids.has_room(start + 29));
    CHECK(ids.contains(7, start + 29 + kept_s));
    CHECK_FALSE(ids.contains(7, start + 29 + 2 * kept_s));
    CHECK(ids.has_room(start + 29 + 2 * kept_s));
    ids.add(8, start + 200);
    CHECK_FALSE(ids.contains(8, start + 1000));
}

TEST_CASE("releases are remembered for a time, by their server, and the latest ones only") {
    constexpr std::size_t most = 3;
    RecentReleases releases(10, most);
    releases.add(1, 7, Ending::Delivered, 100);
    CHECK_FALSE(releases.find(1, 8, 101));
    CHECK_EQ(releases.find(1, 7, 101), Ending::Delivered);
    CHECK_EQ(releases.find(1, 7, 110), Ending::Delivered);
    releases.add(2, 7, Ending::Dropped, 102);
    releases.add(2, 7, Ending::Delivered, 108);  // once more
    CHECK_EQ(releases.find(2, 7, 117), Ending::Delivered);
    releases.add(3, 7, Ending::Dropped, 120);
    CHECK_FALSE(releases.find(3, 7, 130.1));
    for (std::uint64_t id = 11; id <= 14; ++id) releases.add(id, 7, Ending::Dropped, 140);
    CHECK_FALSE(releases.find(11, 7, 140));
    CHECK(releases.find(14, 7, 140));
}
