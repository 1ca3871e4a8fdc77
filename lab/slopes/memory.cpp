// What a standing session and a listed server hold of the agent's memory, and what a list event costs beside
// sessions.
#include "lab/slopes/parts.h"
#include "lab/slopes/rig.h"

namespace lab {
namespace {

constexpr std::uint32_t sessions_held[] = {0, 500, 1000, 1500, 2000, 3000, 4000};
constexpr int servers_listed[] = {10, 100, 300, 600, 1000, 2000};
constexpr std::uint32_t links_held[] = {0, 100, 300, 600, 1000, 2000};
constexpr int events = 20;

// Processor time of one list event: a server that nobody uses drains, and comes back.
double list_event_us(AgentRig& rig) {
    Member other = rig.members().back();
    const double idle = rig.idle_share(1);
    const double began = rig.now(), before = rig.processor_s();
    for (int event = 0; event < events; ++event) {
        other.phase = event % 2 == 0 ? "draining" : "up";
        rig.feed().tell(rig.plan(), false, {other});
        rig.settle();
    }
    return (rig.processor_s() - before - idle * (rig.now() - began)) * 1e6 / events;
}

// The same for a note of one server on one of its sessions.
double note_us(AgentRig& rig) {
    const double idle = rig.idle_share(1);
    const double began = rig.now(), before = rig.processor_s();
    for (int note = 0; note < events; ++note) {
        rig.server().note_one();
        rig.settle();
    }
    return (rig.processor_s() - before - idle * (rig.now() - began)) * 1e6 / events;
}

ViewerOrder set_ups(std::uint32_t count) {
    ViewerOrder order;
    order.what = ViewerOrder::What::SetUp;
    order.count = count;
    order.at_once = 64;
    order.first_only = true;
    return order;
}

void add_sessions(AgentRig& rig, std::uint32_t count, Result& result) {
    if (count == 0) return;
    const ViewerReport report = rig.viewers(set_ups(count));
    if (report.refused > 0) result.violations.emplace_back("set-ups were refused");
}

void measure_sessions(const Ask& ask, Result& result) {
    SlopeSet set;
    set.add("session_process_bytes", "B", "session",
            "resident memory of the program; all sessions by one viewers' connection and at one server");
    set.add("list_event_sessions_cpu_us", "us", "session",
            "processor time of one server's change, 100 listed");
    set.add("note_sessions_cpu_us", "us", "session",
            "processor time of a server's note of its link, all sessions at that server");
    AgentRig rig({ask.program, fresh_folder(ask, "sessions"), false, 100});
    rig.connect_to(1);
    std::uint32_t standing = 0;
    for (const std::uint32_t wanted : sessions_held) {
        add_sessions(rig, wanted - standing, result);
        standing = wanted;
        rig.settle();
        set.point("session_process_bytes", wanted, static_cast<double>(rig.resident()));
        set.point("list_event_sessions_cpu_us", wanted, list_event_us(rig));
        set.point("note_sessions_cpu_us", wanted, note_us(rig));
    }
    set.finish(result, command_of(ask, "memory"));
}

// Each session at a server of its own, and so with a connection of its own to it.
void measure_server_links(const Ask& ask, Result& result) {
    SlopeSet set;
    set.add("server_link_process_bytes", "B", "session",
            "resident memory of the program, sessions at a server each: a session with a connection to its "
            "server; 2,000 servers listed all the time");
    AgentRig rig({ask.program, fresh_folder(ask, "links"), false, servers_listed[5], true});
    rig.connect_to(1);
    std::uint32_t standing = 0;
    for (const std::uint32_t wanted : links_held) {
        ViewerOrder order = set_ups(wanted - standing);
        order.cells = servers_listed[5];
        if (order.count > 0 && rig.viewers(order).refused > 0)
            result.violations.emplace_back("set-ups were refused");
        standing = wanted;
        rig.settle();
        set.point("server_link_process_bytes", wanted, static_cast<double>(rig.resident()));
    }
    set.finish(result, command_of(ask, "memory"));
}

void measure_servers(const Ask& ask, Result& result) {
    SlopeSet set;
    set.add("server_process_bytes", "B", "server",
            "resident memory of the program after its start with such a list: the directory, the module, and "
            "what reading the list left behind");
    for (const int servers : servers_listed) {
        AgentRig rig({ask.program, fresh_folder(ask, "servers-" + std::to_string(servers)), false, servers});
        rig.settle();
        set.point("server_process_bytes", servers, static_cast<double>(rig.resident()));
    }
    set.finish(result, command_of(ask, "memory"));
}

}  // namespace

void measure_memory(const Ask& ask, Result& result) {
    measure_sessions(ask, result);
    measure_server_links(ask, result);
    measure_servers(ask, result);
}

}  // namespace lab
