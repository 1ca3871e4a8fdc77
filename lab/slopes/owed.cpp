// Ends that viewers were told and have not answered: what they cost while they are owed, and what they make
// of a connection that closes meanwhile.
#include "lab/slopes/parts.h"
#include "lab/slopes/rig.h"

namespace lab {
namespace {

constexpr std::uint32_t ends_owed[] = {100, 500, 1000, 2000, 4000, 7000, 10000};
constexpr std::uint32_t closed = 20;

struct Owed {
    double share = 0;     // processor time a second while they are owed
    double close_us = 0;  // one close beyond that
};

Owed measure(const Ask& ask, std::uint32_t ends) {
    AgentRig rig({ask.program, fresh_folder(ask, "owed-" + std::to_string(ends))});
    rig.connect_to(2 + closed);
    ViewerOrder order;
    order.what = ViewerOrder::What::Claim;
    order.count = ends;
    order.first_only = order.mute = true;
    rig.viewers(order);
    rig.settle();
    rig.server().end_claimed(claimed_from, ends);
    order.what = ViewerOrder::What::AwaitEnds;
    rig.viewers(order);
    Owed owed;
    // They are said again after 0.25, 0.75, 1.75 and 3.75 s, and given up after 8: between two of these.
    constexpr double said_again_s = 1.9, watched_s = 0.7;
    rig.run_for(said_again_s);
    // What was said on a connection that closes is said again at once: these ends were said last on the one
    // that came last, which goes first and is not counted.
    order.what = ViewerOrder::What::Disconnect;
    order.count = 1;
    rig.viewers(order);
    rig.settle();
    owed.share = rig.idle_share(watched_s);
    const double began = rig.now(), before = rig.processor_s();
    order.count = closed;
    rig.viewers(order);
    owed.close_us = (rig.processor_s() - before - owed.share * (rig.now() - began)) * 1e6 / closed;
    return owed;
}

}  // namespace

void measure_owed(const Ask& ask, Result& result) {
    SlopeSet set;
    set.add("owed_cpu_us_per_s", "us a second", "end owed",
            "looking every 50 ms whether one must be said again, between two times when all are");
    set.add("close_owed_cpu_us", "us", "end owed",
            "a connection that closes while so many ends are owed, none of them said there last");
    for (const std::uint32_t ends : ends_owed) {
        const Owed owed = measure(ask, ends);
        set.point("owed_cpu_us_per_s", ends, owed.share * 1e6);
        set.point("close_owed_cpu_us", ends, owed.close_us);
    }
    set.finish(result, command_of(ask, "owed"));
}

}  // namespace lab
