// What the control feed's events cost an agent against the servers that are listed: one server's change, and
// the whole list.
#include "lab/slopes/parts.h"
#include "lab/slopes/rig.h"

namespace lab {
namespace {

constexpr int servers_listed[] = {10, 100, 300, 600, 1000, 1500, 2000};
constexpr int events = 20;

struct Told {
    double processor_us = 0, bytes = 0;
};

Told measure(AgentRig& rig, const std::function<std::size_t(int)>& tell) {
    rig.settle();
    const double idle = rig.idle_share(1);
    const double began = rig.now(), before = rig.processor_s();
    Told told;
    for (int event = 0; event < events; ++event) {
        told.bytes = static_cast<double>(tell(event));
        rig.settle();
    }
    const double spent = rig.processor_s() - before - idle * (rig.now() - began);
    told.processor_us = spent * 1e6 / events;
    return told;
}

}  // namespace

void measure_lists(const Ask& ask, Result& result) {
    SlopeSet set;
    set.add("list_event_cpu_us", "us", "server", "one server drains, or is up again; no sessions");
    set.add("list_event_bytes", "B", "server", "of that event on the wire");
    set.add("whole_list_cpu_us", "us", "server", "the whole list is told, as it was; no sessions");
    set.add("whole_list_bytes", "B", "server", "of that event on the wire");
    for (const int servers : servers_listed) {
        AgentRig rig({ask.program, fresh_folder(ask, "lists-" + std::to_string(servers)), false, servers});
        const Told one = measure(rig, [&](int event) {
            Member other = rig.members().back();
            other.phase = event % 2 == 0 ? "draining" : "up";
            return rig.feed().tell(rig.plan(), false, {other});
        });
        const Told whole =
            measure(rig, [&](int) { return rig.feed().tell(rig.plan(), true, rig.members()); });
        set.point("list_event_cpu_us", servers, one.processor_us);
        set.point("list_event_bytes", servers, one.bytes);
        set.point("whole_list_cpu_us", servers, whole.processor_us);
        set.point("whole_list_bytes", servers, whole.bytes);
    }
    set.finish(result, command_of(ask, "lists"));
}

}  // namespace lab
