// One event that many viewers must hear of, each on a connection of its own: from the event until 99 in 100
// have heard, and the last.
#include <algorithm>

#include "lab/slopes/parts.h"
#include "lab/slopes/rig.h"

namespace lab {
namespace {

constexpr std::uint32_t told[] = {100, 300, 1000, 2000, 3000, 5000, 7000, 10000};

struct Heard {
    double p99_s = 0, last_s = 0, processor_s = 0;
};

// `event` ends all sessions at the server.
Heard measure(const Ask& ask, const std::string& name, std::uint32_t viewers,
              const std::function<void(RigServer&)>& event) {
    AgentRig rig({ask.program, fresh_folder(ask, name + "-" + std::to_string(viewers))});
    rig.connect_to(viewers);
    ViewerOrder asks;
    asks.what = ViewerOrder::What::SetUp;
    asks.count = viewers;
    asks.at_once = 200;
    rig.viewers(asks);
    rig.settle();
    const double before = rig.processor_s(), began = rig.now();
    event(rig.server());
    ViewerOrder hear;
    hear.what = ViewerOrder::What::AwaitEnds;
    hear.count = viewers;
    const ViewerReport heard = rig.viewers(hear);
    rig.settle();
    return {heard.p99 - began, heard.last - began, rig.processor_s() - before};
}

}  // namespace

void measure_fanout(const Ask& ask, Result& result) {
    SlopeSet set;
    const std::pair<std::string, std::function<void(RigServer&)>> events[] = {
        {"told_ended", [](RigServer& server) { server.end_all(); }},
        {"told_gone", [](RigServer& server) { server.die(); }}};
    for (const auto& [name, event] : events) {
        const std::string what = name == "told_ended" ? "a server says of each session that it is over"
                                                      : "a server's process goes and refuses connections";
        set.add(name + "_s_p99", "s", "viewer", what + "; until 99 in 100 viewers have heard");
        set.add(name + "_s_last", "s", "viewer", what + "; until the last one has heard");
        set.add(name + "_cpu_s", "s", "viewer", what + "; processor time of the program for all of it");
        for (const std::uint32_t viewers : told) {
            const Heard heard = measure(ask, name, viewers, event);
            set.point(name + "_s_p99", viewers, heard.p99_s);
            set.point(name + "_s_last", viewers, heard.last_s);
            set.point(name + "_cpu_s", viewers, heard.processor_s);
        }
    }
    set.finish(result, command_of(ask, "fanout"));
}

}  // namespace lab
