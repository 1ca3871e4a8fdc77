// One event that many viewers must hear of, each on a connection of its own: from the event until 99 in 100
// have heard, and the last.
#include <functional>
#include <iterator>

#include "lab/slopes/parts.h"
#include "lab/slopes/rig.h"

namespace lab {
namespace {

// Set-ups beside many sessions are slow, claims are not.
constexpr std::uint32_t told_set_up[] = {100, 300, 1000, 1500, 2000, 3000};
constexpr std::uint32_t told_claimed[] = {100, 300, 1000, 2000, 4000, 7000, 10000};

struct Heard {
    double p99_s = 0, last_s = 0, processor_s = 0;
};

struct Event {
    std::string name, what;
    ViewerOrder::What begins;  // how its sessions come to stand
    std::function<void(RigServer&, std::uint32_t viewers)> happens;
};

const Event ended = {"told_ended",
                     "a server says of each session that it is over, each told on its own connection",
                     ViewerOrder::What::SetUp, [](RigServer& server, std::uint32_t) { server.end_all(); }};
const Event gone = {"told_gone",
                    "a server's process goes and refuses connections; each viewer told on its own connection",
                    ViewerOrder::What::SetUp, [](RigServer& server, std::uint32_t) { server.die(); }};
const Event claimed_ended = {
    "told_claimed_ended",
    "a server says of each session that it is over; the sessions were claimed after a restart of the agent, "
    "and belong to no connection",
    ViewerOrder::What::Claim,
    [](RigServer& server, std::uint32_t viewers) { server.end_claimed(claimed_from, viewers); }};

Heard measure(const Ask& ask, const Event& event, std::uint32_t viewers) {
    AgentRig rig({ask.program, fresh_folder(ask, event.name + "-" + std::to_string(viewers))});
    rig.connect_to(viewers);
    ViewerOrder asks;
    asks.what = event.begins;
    asks.count = viewers;
    asks.at_once = 200;
    rig.viewers(asks);
    rig.settle();
    const double before = rig.processor_s(), began = rig.now();
    event.happens(rig.server(), viewers);
    ViewerOrder hear;
    hear.what = ViewerOrder::What::AwaitEnds;
    hear.count = viewers;
    const ViewerReport heard = rig.viewers(hear);
    rig.settle();
    return {heard.p99 - began, heard.last - began, rig.processor_s() - before};
}

std::vector<std::uint32_t> sizes_of(const Event& event) {
    if (event.begins == ViewerOrder::What::Claim) return {std::begin(told_claimed), std::end(told_claimed)};
    return {std::begin(told_set_up), std::end(told_set_up)};
}

void measure_event(const Ask& ask, Result& result, const Event& event, const std::string& part) {
    SlopeSet set;
    set.add(event.name + "_s_p99", "s", "viewer", event.what + "; until 99 in 100 viewers have heard");
    set.add(event.name + "_s_last", "s", "viewer", event.what + "; until the last one has heard");
    set.add(event.name + "_cpu_s", "s", "viewer", event.what + "; processor time of the program for it");
    for (const std::uint32_t viewers : sizes_of(event)) {
        const Heard heard = measure(ask, event, viewers);
        set.point(event.name + "_s_p99", viewers, heard.p99_s);
        set.point(event.name + "_s_last", viewers, heard.last_s);
        set.point(event.name + "_cpu_s", viewers, heard.processor_s);
    }
    set.finish(result, command_of(ask, part));
}

}  // namespace

void measure_fanout_ended(const Ask& ask, Result& result) {
    measure_event(ask, result, ended, "fanout-ended");
}

void measure_fanout_gone(const Ask& ask, Result& result) {
    measure_event(ask, result, gone, "fanout-gone");
}

void measure_fanout_claimed(const Ask& ask, Result& result) {
    measure_event(ask, result, claimed_ended, "fanout-claimed");
}

}  // namespace lab
