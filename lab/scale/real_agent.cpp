#include "lab/scale/real_agent.h"

#include "lab/run/files.h"

namespace lab {

RealAgent::RealAgent(RelayLoop& relays, int agent, std::string program, std::string folder)
    : relays_(relays),
      agent_(agent),
      program_(std::move(program)),
      folder_(std::move(folder)),
      process_(folder_ + "/log"),
      log_(folder_ + "/log"),
      datagrams_(relays.loop(), static_cast<std::uint64_t>(agent) + 1),
      feed_(relays.loop(), static_cast<std::uint64_t>(agent) + 1) {}

jasperspread::net::Address RealAgent::feed_relay(const jasperspread::net::Address& feed) {
    feed_.lead_to(feed);
    return feed_.listen(own_loopback_address());
}

void RealAgent::observe(
    std::function<void(const jasperspread::net::Address& from, std::string_view datagram)> seen) {
    datagrams_.observe(
        [this, seen = std::move(seen)](const jasperspread::net::Address& from, std::string_view datagram) {
            const bool list = is_list(datagram);
            ++received_.messages_received;
            received_.bytes_received += datagram.size();
            received_.lists_received += list ? 1 : 0;
            received_.list_bytes_received += list ? datagram.size() : 0;
            seen(from, datagram);
        });
}

void RealAgent::start(double machine_s) {
    write_file(folder_ + "/uptime", std::to_string(machine_s));
    process_.start(program_, {folder_ + "/config.json", "--operator", folder_ + "/operator.yaml"});
}

void RealAgent::kill() {
    cpu_before_s_ += process_.cpu_s();
    process_.kill();
    there_.clear();
}

std::vector<AgentEvent> RealAgent::take_events() {
    std::vector<AgentEvent> events;
    for (const LogLine& line : log_.take()) hear(line, events);
    return events;
}

void RealAgent::hear(const LogLine& line, std::vector<AgentEvent>& events) {
    using What = AgentEvent::What;
    if (line.event == "fleet_listening") {
        const std::string at = line.value("at");
        there_.clear();
        const auto held = relays_.hold();
        datagrams_.lead_to(*jasperspread::net::parse_address(at));
        events.push_back({What::Talks, agent_, line.at, 0, at, 0});
    } else if (line.event == "list_in_force") {
        events.push_back({What::ListInForce, agent_, line.at, std::stoull(line.value("number")), "", 0});
    } else if (line.event == "fleet") {
        const std::string what = line.value("what"), name = line.value("name");
        if (what == "joined" || what == "returned") there_.insert(name);
        if (what == "died" || what == "left") there_.erase(name);
        if (what == "died") events.push_back({What::Died, agent_, line.at, 0, name, 0});
    }
}

AgentSample RealAgent::sample() {
    AgentSample sample;
    sample.agent = agent_;
    sample.cpu_s = cpu_before_s_ + process_.cpu_s();
    const auto held = relays_.hold();
    sample.traffic = received_;
    sample.traffic.stream_bytes = feed_.bytes();
    sample.present = process_.started() ? there_.size() + 1 : 0;
    return sample;
}

}  // namespace lab
