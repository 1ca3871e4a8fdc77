// What a set-up, an accept, a close and an end that is told cost beside resting connections, and what these
// hold of memory. Processor time is the program's own; system calls are counted on the same agent in the
// laboratory's process.
#include <optional>

#include "lab/slopes/parts.h"
#include "lab/slopes/process_cost.h"
#include "lab/slopes/rig.h"

namespace lab {
namespace {

constexpr std::uint32_t held[] = {0, 1000, 2000, 5000, 9000, 14000, 18000};
constexpr double watched_s = 2;  // with nothing to do, at each size
constexpr std::uint32_t timed = 60, counted = 10;
constexpr const char* actions[] = {"setup", "accept", "close", "told_end"};

struct Cost {
    double processor_us = 0, calls = 0, poll_entries = 0;
};

// Does `what`, which does `times` things, and gives what one of them cost beyond what passes anyway.
Cost cost_of(AgentRig& rig, std::uint32_t times, double idle_share, const std::function<void()>& what) {
    rig.settle();
    const double began = rig.now(), before = rig.processor_s();
    const auto counts = rig.counts();
    what();
    rig.settle();
    const double spent = rig.processor_s() - before - idle_share * (rig.now() - began);
    const auto done = rig.counts() - counts;
    return {spent * 1e6 / times, static_cast<double>(done.calls) / times,
            static_cast<double>(done.poll_entries) / times};
}

ViewerOrder set_ups(std::uint32_t count, bool leave) {
    ViewerOrder order;
    order.what = ViewerOrder::What::SetUp;
    order.count = count;
    order.leaves = leave;
    order.first_only = true;
    return order;
}

// Sessions that stand are told over one at a time.
void end_each(AgentRig& rig, std::uint32_t count) {
    constexpr double longest_s = 2;
    for (std::uint32_t ended = 0; ended < count; ++ended) {
        rig.server().end_one();
        ViewerOrder heard;
        heard.what = ViewerOrder::What::AwaitEnds;
        heard.count = ended + 1;
        rig.viewers(heard, longest_s);
    }
}

struct Measured {
    Cost cost[4];  // in the order of `actions`
    double idle_share = 0;
    double resident = 0;
    std::optional<double> slab;
};

Measured measure_beside(AgentRig& rig, std::uint32_t resting, std::uint32_t times) {
    rig.connect_to(resting + 1);  // one is the viewers' that do something
    rig.settle();
    Measured measured;
    measured.resident = static_cast<double>(rig.resident());
    measured.slab = socket_slab_bytes();
    measured.idle_share = rig.idle_share(watched_s);
    const double idle = measured.idle_share;
    measured.cost[0] = cost_of(rig, times, idle, [&] { rig.viewers(set_ups(times, true)); });
    measured.cost[1] = cost_of(rig, times, idle, [&] {
        for (std::uint32_t i = 0; i < times; ++i) rig.connect_to(resting + 2 + i);
    });
    measured.cost[2] = cost_of(rig, times, idle, [&] {
        ViewerOrder close;
        close.what = ViewerOrder::What::Disconnect;
        close.count = times;
        rig.viewers(close);
    });
    rig.viewers(set_ups(times, false));
    measured.cost[3] = cost_of(rig, times, idle, [&] { end_each(rig, times); });
    return measured;
}

void add_numbers(SlopeSet& set) {
    for (const std::string action : actions) {
        set.add(action + "_cpu_us", "us", "connection",
                "processor time of the program for one, at a time, less what passes with nothing to do");
        set.add(action + "_calls", "system calls", "connection",
                "counted at net::Kernel, for one, with what timers call meanwhile");
        set.add(action + "_poll_entries", "descriptors asked about", "connection");
    }
    set.add("resting_cpu_us_per_s", "us a second", "connection",
            "nothing happens but the feed's comment each second and four looks at the server's connection");
    set.add("connection_process_bytes", "B", "connection", "resident memory of the program");
    set.add("connection_kernel_bytes", "B", "connection",
            "slab of sockets, their inodes, files and directory entries, of the agent's end: half of the "
            "machine's growth, as both ends are here; buffers, empty at rest, are not in it");
}

}  // namespace

void measure_connections(const Ask& ask, Result& result) {
    SlopeSet set;
    add_numbers(set);
    {
        AgentRig rig({ask.program, fresh_folder(ask, "timed")});
        std::optional<double> slab_before;
        for (const std::uint32_t resting : held) {
            const Measured measured = measure_beside(rig, resting, timed);
            for (int action = 0; action < 4; ++action)
                set.point(std::string(actions[action]) + "_cpu_us", resting,
                          measured.cost[action].processor_us);
            set.point("resting_cpu_us_per_s", resting, measured.idle_share * 1e6);
            set.point("connection_process_bytes", resting, measured.resident);
            if (!slab_before) slab_before = measured.slab;
            if (measured.slab && slab_before)
                set.point("connection_kernel_bytes", resting, (*measured.slab - *slab_before) / 2);
        }
    }
    AgentRig rig({ask.program, fresh_folder(ask, "counted"), true});
    for (const std::uint32_t resting : held) {
        const Measured measured = measure_beside(rig, resting, counted);
        for (int action = 0; action < 4; ++action) {
            const std::string name = actions[action];
            set.point(name + "_calls", resting, measured.cost[action].calls);
            set.point(name + "_poll_entries", resting, measured.cost[action].poll_entries);
        }
    }
    set.finish(result, command_of(ask, "connections"));
}

}  // namespace lab
