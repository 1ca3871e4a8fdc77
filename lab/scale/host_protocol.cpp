#include "lab/scale/host_protocol.h"

#include <nlohmann/json.hpp>

namespace lab {

using nlohmann::json;

namespace {

json written(const AgentSample& sample) {
    const Traffic& traffic = sample.traffic;
    return json::array({sample.agent, sample.cpu_s, traffic.messages_sent, traffic.messages_received,
                        traffic.bytes_sent, traffic.bytes_received, traffic.stream_bytes, traffic.lists_sent,
                        traffic.lists_received, traffic.list_bytes_sent, traffic.list_bytes_received,
                        sample.present});
}

AgentSample read_sample(const json& from) {
    AgentSample sample;
    sample.agent = from.at(0).get<int>();
    sample.cpu_s = from.at(1).get<double>();
    sample.traffic = {
        from.at(2).get<std::uint64_t>(), from.at(3).get<std::uint64_t>(), from.at(4).get<std::uint64_t>(),
        from.at(5).get<std::uint64_t>(), from.at(6).get<std::uint64_t>(), from.at(7).get<std::uint64_t>(),
        from.at(8).get<std::uint64_t>(), from.at(9).get<std::uint64_t>(), from.at(10).get<std::uint64_t>()};
    sample.present = from.at(11).get<std::uint64_t>();
    return sample;
}

json written(const AgentEvent& event) {
    return json::array(
        {static_cast<int>(event.what), event.agent, event.at, event.number, event.name, event.token});
}

AgentEvent read_event(const json& from) {
    AgentEvent event;
    event.what = static_cast<AgentEvent::What>(from.at(0).get<int>());
    event.agent = from.at(1).get<int>();
    event.at = from.at(2).get<double>();
    event.number = from.at(3).get<std::uint64_t>();
    event.name = from.at(4).get<std::string>();
    event.token = from.at(5).get<std::uint64_t>();
    return event;
}

json written(const StartAgent& start) {
    return {{"start", start.agent},
            {"zone", start.zone},
            {"folder", start.folder},
            {"machine_s", start.machine_s}};
}
json written(const KillAgent& kill) {
    return {{"kill", kill.agent}};
}
json written(const BlockZones& block) {
    return {{"block", block.zone}, {"senders", block.senders}};
}

}  // namespace

std::string encode(const Command& command) {
    return std::visit([](const auto& one) { return written(one).dump(); }, command) + "\n";
}

std::string encode(const Report& report) {
    json samples = json::array(), events = json::array(), from_reals = json::array();
    for (const AgentSample& sample : report.samples) samples.push_back(written(sample));
    for (const AgentEvent& event : report.events) events.push_back(written(event));
    for (const auto& from : report.from_reals)
        from_reals.push_back({from.messages, from.bytes, from.lists, from.list_bytes});
    return json{{"host", report.host},
                {"at", report.at},
                {"samples", samples},
                {"events", events},
                {"from_reals", from_reals}}
               .dump() +
           "\n";
}

Command decode_command(std::string_view line) {
    const json whole = json::parse(line);
    if (whole.contains("start"))
        return StartAgent{whole.at("start").get<int>(), whole.at("zone").get<int>(),
                          whole.at("folder").get<std::string>(), whole.at("machine_s").get<double>()};
    if (whole.contains("kill")) return KillAgent{whole.at("kill").get<int>()};
    return BlockZones{whole.at("block").get<int>(), whole.at("senders").get<CountingKernel::Zones>()};
}

Report decode_report(std::string_view line) {
    const json whole = json::parse(line);
    Report report;
    report.host = whole.at("host").get<int>();
    report.at = whole.at("at").get<double>();
    for (const json& one : whole.at("samples")) report.samples.push_back(read_sample(one));
    for (const json& one : whole.at("events")) report.events.push_back(read_event(one));
    for (const json& one : whole.at("from_reals"))
        report.from_reals.push_back({one.at(0).get<std::uint64_t>(), one.at(1).get<std::uint64_t>(),
                                     one.at(2).get<std::uint64_t>(), one.at(3).get<std::uint64_t>()});
    return report;
}

}  // namespace lab
