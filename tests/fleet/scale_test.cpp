// What one agent sends does not grow with the fleet, but by a stated slope: counts in virtual time, the same
// in each run.
#include <doctest/doctest.h>

#include "lab/sim/talk_world.h"

using namespace lab;

namespace {

struct Share {  // of one agent, a second, the mean over all
    double messages = 0, bytes = 0;
};

// Soon after all start at once, when all is new to all.
Share share_in(int agents, const Lossy& lossy) {
    constexpr double starts_s = 10, counted_s = 20;
    TalkWorld world(agents, 21, {}, lossy);
    world.run_for(starts_s);
    const auto sent = world.sent(), bytes = world.sent_bytes();
    world.run_for(counted_s);
    const double part = counted_s * agents;
    return {static_cast<double>(world.sent() - sent) / part,
            static_cast<double>(world.sent_bytes() - bytes) / part};
}

std::uint64_t challenges(TalkWorld& world) {
    std::uint64_t sum = 0;
    for (int agent = 0; agent < world.agents(); ++agent) sum += world.peers(agent)->counts().challenges;
    return sum;
}

constexpr int few = 40, many = 120;
// Two messages a second are the probe and its answer; each further agent may bring so much more.
constexpr double messages_each = 0.001, bytes_each = 2;
// Each further agent is suspected now and then, which is told to all.
constexpr double lossy_bytes_each = 6;

}  // namespace

TEST_CASE("scale: an agent's messages and bytes do not grow with the fleet, sound links") {
    const Share small = share_in(few, {}), large = share_in(many, {});
    INFO("messages " << small.messages << ", " << large.messages << "; bytes " << small.bytes << ", "
                     << large.bytes);
    CHECK_LT(small.messages, 2.6);
    CHECK_LT(large.messages, small.messages + messages_each * (many - few));
    CHECK_LT(large.bytes, small.bytes + bytes_each * (many - few));
}

TEST_CASE("scale: an agent's messages and bytes do not grow with the fleet, a fifth lost") {
    const Lossy lossy{0.2, 0.05, 0.05, 1.0};
    const Share small = share_in(few, lossy), large = share_in(many, lossy);
    INFO("messages " << small.messages << ", " << large.messages << "; bytes " << small.bytes << ", "
                     << large.bytes);
    CHECK_LT(small.messages, 8);
    CHECK_LT(large.messages, small.messages + messages_each * (many - few));
    CHECK_LT(large.bytes, small.bytes + lossy_bytes_each * (many - few));
}

TEST_CASE("scale: the first datagram to a member that gossip named is not challenged") {
    TalkWorld world(60, 22);
    world.run_for(10);
    REQUIRE(world.all_agree());
    const std::uint64_t before = challenges(world);
    world.run_for(60);  // each is probed by each
    INFO(before << " challenges in the first 10 s, " << challenges(world) - before << " in 60 s more");
    CHECK_LE(challenges(world) - before, 60);
}
