#include "world.h"

#include <nlohmann/json.hpp>

#include "codec/message.h"

namespace lab {

WorldPlan even_plan(std::uint64_t seed, int agents, int servers, double link_kb) {
    WorldPlan plan;
    plan.seed = seed;
    plan.agents = agents;
    plan.servers = plan.cells = plan.copies = servers;
    plan.link_kb = link_kb;
    plan.told_every = 1;
    return plan;
}

using nlohmann::json;

std::string server_id(int server) {
    return "s-" + jasperspread::codec::to_hex(static_cast<std::uint64_t>(server) + 1).substr(8);
}

std::string zone_name(int zone) {
    return zone == 0 ? "main-building" : zone == 1 ? "annex" : "zone-" + std::to_string(zone);
}

std::string ticket_key() {
    std::string key;
    for (std::uint64_t i = 0; i < 32; ++i) key += jasperspread::codec::to_hex(i * 7 + 1).substr(14);
    return key + "\n";
}

json feed_event(const WorldPlan& plan, std::uint64_t number, bool complete,
                const std::vector<Member>& members) {
    json list = json::array();
    for (const Member& member : members) {
        list.push_back({{"id", server_id(member.server)},
                        {"host_port", jasperspread::net::to_text(member.address)},
                        {"locality", zone_name(plan.zone_of(member.server))},
                        {"flavor", "std"},
                        {"cell", plan.cell_of(member.server)},
                        {"phase", member.phase},
                        {"size", 1},
                        {"up_since_ms", static_cast<std::uint64_t>(member.up_since * 1000)}});
    }
    return {{"n", number}, {"members", {{"revision", number}, {"complete", complete}, {"members", list}}}};
}

json agent_config(const WorldPlan& plan, int agent, const jasperspread::net::Address& listen,
                  const jasperspread::net::Address& feed, const json& known) {
    json areas = json::array(), classes = json::array(), scale = json::array(), zeros = json::array();
    json tops = json::array(), live = json::array();
    for (int zone = 0; zone < plan.zones; ++zone) areas.push_back(zone_name(zone));
    for (const ClassPlan& cls : plan.classes) {
        classes.push_back({{"name", cls.name},
                           {"aim", cls.aim},
                           {"deadline", cls.deadline},
                           {"points", cls.points},
                           {"semantics", cls.paid ? "non_idempotent" : "read_like"},
                           {"key_scope", "all"},
                           {"window", 5.0}});
        scale.push_back(cls.scale);
        zeros.push_back(0);
        tops.push_back(plan.ladder_kb.size() - 1);
        live.push_back(false);
    }
    const json family = {{"ladder_kb", plan.ladder_kb},
                         {"worth_by_rung", plan.worth},
                         {"places", plan.cells},
                         {"shelves", plan.racks},
                         {"places_by_kind", {plan.places}},
                         {"scale_by_class", scale},
                         {"floor_by_class", zeros},
                         {"top_by_class", tops},
                         {"seats", zeros},
                         {"is_live", live},
                         {"weight_kb", plan.link_kb},
                         {"rack_link_kb", plan.rack_kb()},
                         {"all_links_kb", plan.all_links_kb()},
                         {"stall_cost", plan.stall_cost},
                         {"switch_cost_s", plan.switch_cost_s},
                         {"told_late", plan.told_late},
                         {"told_every", plan.told_every}};
    const json limits = {{"try_limit", plan.try_limit}, {"cancel", true},          {"probes", true},
                         {"retry_after", true},         {"connect_timeout", 0.25}, {"conn_idle", 15},
                         {"streams_per_conn", 256},     {"max_retry_after", 2}};
    const json settings = {{"areas", areas},
                           {"kinds", {"std"}},
                           {"zone", zone_name(agent % plan.zones)},
                           {"balancers", plan.agents},
                           {"position", agent},
                           {"classes", classes},
                           {"tenants", json::array()},
                           {"family_info", family},
                           {"limits", limits},
                           {"obligations",
                            {{"drain_grace", plan.drain_grace},
                             {"answer_slack", 0.04},
                             {"cold", plan.cold.warm_s},
                             {"cold_from", plan.cold.from},
                             {"fall", plan.cold.fall_s},
                             {"fall_multiple", plan.cold.fall_multiple}}},
                           {"round", 0.01},
                           {"membership_mode", "pushed"}};
    const std::uint64_t seed = plan.seed * 1000003 + static_cast<std::uint64_t>(agent) + 1;
    return {{"name", "n" + std::to_string(agent)},
            {"listen", jasperspread::net::to_text(listen)},
            {"seed", jasperspread::codec::to_hex(seed)},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", plan.agent_descriptors}}},
            {"feed", jasperspread::net::to_text(feed)},
            {"known", known},
            {"settings", settings}};
}

std::string describe(const Wish& wish) {
    return "length=" + std::to_string(wish.length_s) + "\r\ntop=" + std::to_string(wish.top) + "\r\n";
}

Wish read_wish(const std::string& description) {
    Wish wish;
    const auto number = [&](const std::string& name) {
        const std::size_t at = description.find(name + "=");
        return at == std::string::npos ? 0.0 : std::stod(description.substr(at + name.size() + 1));
    };
    wish.length_s = number("length");
    wish.top = static_cast<int>(number("top"));
    return wish;
}

}  // namespace lab
