#include "sim_world.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace lab {
namespace {

constexpr std::uint16_t agent_port = 2905, server_port = 2906, talk_port = 2910, feed_port = 4222;
constexpr double long_up_s = 1e6;  // of machines that have not lost power yet
constexpr double tick_s = 0.1, agent_starts_after_s = 0.3;
constexpr std::size_t many_descriptors = 4096;

}  // namespace

SimWorld::SimWorld(const WorldPlan& plan, Network::Delay delay,
                   const jasperspread::net::Poller::Thresholds& thresholds)
    : plan_(plan), network_(plan.seed, delay), fleet_(plan_), ledger_(plan_) {
    network_.set_thresholds(thresholds);
    // One feed for all, but where buildings are lost: there each has one of its own.
    feeds_.resize(plan_.agents_recover ? static_cast<std::size_t>(plan_.zones) : 1);
    for (FeedSlot& slot : feeds_) {
        slot.host = &network_.add_host(many_descriptors);
        slot.feed = std::make_unique<Feed>(slot.host->loop(), plan_);
        slot.feed->listen(slot.host->address(feed_port));
        slot.host->run([] { return true; });
    }
    ledger_.count_falls(plan_.cold.falls ? [this](int server) {
        network_.at(now(), [this, server] { kill_server(server, plan_.cold.back_s); });
    } : std::function<void(int)>());
    servers_.resize(static_cast<std::size_t>(plan_.servers));
    for (int server = 0; server < plan_.servers; ++server) {
        Host& host = network_.add_host(many_descriptors);
        servers_[static_cast<std::size_t>(server)].host = &host;
        start_server(server);
        for (FeedSlot& slot : feeds_) slot.feed->add({server, host.address(server_port), "up", 0});
    }
    agents_.resize(static_cast<std::size_t>(plan_.agents));
    crowds_.resize(static_cast<std::size_t>(plan_.agents));
    for (int agent = 0; agent < plan_.agents; ++agent) {
        AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
        slot.host = &network_.add_host(plan_.agent_descriptors);
        start_agent(agent);
        CrowdSlot& crowd = crowds_[static_cast<std::size_t>(agent)];
        crowd.host = &network_.add_host(many_descriptors);
        crowd.viewers = std::make_unique<Viewers>(crowd.host->loop(), plan_, agent, ledger_,
                                                  plan_.seed * 7919 + static_cast<std::uint64_t>(agent));
        crowd.viewers->start(slot.host->address(agent_port));
        crowd.viewers->route_by([this, agent] { return somebody_else(agent); });
        crowd.host->run([] { return true; });
    }
    network_.at(now() + tick_s, [this] { tick(); });
}

SimWorld::~SimWorld() {
    // What stands on a loop goes before the loop.
    for (CrowdSlot& crowd : crowds_) crowd.viewers.reset();
    for (AgentSlot& slot : agents_) slot.agent.reset(), slot.between.reset();
    for (ServerSlot& slot : servers_) slot.server.reset();
    for (FeedSlot& slot : feeds_) slot.feed.reset();
}

void SimWorld::tick() {
    for (ServerSlot& slot : servers_) {
        if (slot.server) slot.server->tick(tick_s);
    }
    for (CrowdSlot& crowd : crowds_) crowd.viewers->tick(tick_s);
    network_.at(now() + tick_s, [this] { tick(); });
}

void SimWorld::start_server(int server) {
    ServerSlot& slot = servers_[static_cast<std::size_t>(server)];
    slot.server = std::make_unique<LessonServer>(slot.host->loop(), plan_, server, fleet_, ledger_,
                                                 plan_.seed * 104729 + ++seeds_);
    slot.server->listen(slot.host->address(server_port));
    ledger_.server_trouble(server, false, now());
    slot.host->run([] { return true; });
}

void SimWorld::start_agent(int agent) {
    AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
    const auto zone = static_cast<std::size_t>(agent % plan_.zones) % feeds_.size();
    nlohmann::json json = agent_config(plan_, agent, slot.host->address(agent_port),
                                       feeds_[zone].host->address(feed_port), feeds_[zone].feed->known());
    auto config = jasperspread::agent::read_config(json.dump());
    config.seed += static_cast<std::uint64_t>(slot.starts++) * 1000003;
    if (corrupt_) corrupt_(config);
    slot.between = broken_ ? broken_() : nullptr;
    std::optional<jasperspread::agent::MemoryOrder> memory;
    if (plan_.agents_remember) {
        if (!slot.disk) slot.disk = std::make_unique<SimDisk>(*slot.host);
        memory.emplace(jasperspread::agent::MemoryOrder{plan_.store, slot.disk.get(),
                                                        slot.disk->load(config.name), "one boot"});
        memory->boot = "boot " + std::to_string(slot.boots);
    }
    slot.agent = std::make_unique<jasperspread::agent::Agent>(
        slot.host->loop(), log_, std::move(config), slot.between.get(), memory ? &*memory : nullptr);
    if (plan_.agents_hand_over) slot.agent->hand_over({plan_.handover, key_});
    if (plan_.agents_recover) {
        jasperspread::agent::RecoveryOrder order;
        order.settings = plan_.recovery;
        if (memory) order.boot = memory->boot;
        if (memory) order.boot_before = slot.disk->boot_before();
        order.machine_s = slot.boots == 0 ? long_up_s + now() : now() - slot.up_since;
        order.asks_scope = memory.has_value() && slot.starts > 1;
        slot.agent->recover(order);
    }
    if (plan_.agents_talk) {
        jasperspread::agent::PeerOrder order{plan_.fleet, ticket_key()};
        order.settings.listen = jasperspread::net::to_text(slot.host->address(talk_port));
        order.settings.seeds = seeds_of_talk();
        slot.agent->talk(order);
    }
    if (slot.disk) slot.disk->booted(memory->boot);
    slot.host->run([this, agent] {
        AgentSlot& own = agents_[static_cast<std::size_t>(agent)];
        if (!own.agent || !own.agent->over()) return true;
        network_.at(now(), [this, agent] { agent_gone(agent, true, agent_starts_after_s); });
        return false;
    });
}

void SimWorld::kill_agent(int agent) {
    agent_gone(agent, false, agent_starts_after_s);
}

std::vector<std::string> SimWorld::seeds_of_talk() const {
    // Of each building some, so that those of one that is dark leave others to be asked.
    constexpr std::size_t seeds_named = 6;
    std::vector<std::string> seeds;
    for (const AgentSlot& slot : agents_) {
        if (slot.host != nullptr && seeds.size() < seeds_named)
            seeds.push_back(jasperspread::net::to_text(slot.host->address(talk_port)));
    }
    return seeds;
}

void SimWorld::agent_gone(int agent, bool by_itself, std::optional<double> back_after) {
    AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
    if (!slot.agent) return;
    slot.host->kill([&] { slot.agent.reset(); });
    if (slot.disk) slot.disk->power_fails(network_.random()() % 2 == 0);
    if (slot.host->is_stopped()) stop_agent(agent, false);
    if (!by_itself) ledger_.agent_died(agent, now());
    // What it said last is on its way still.
    constexpr double last_words_s = 0.1;
    network_.at(now() + last_words_s, [this, agent, by_itself] { viewers(agent).agent_gone(by_itself); });
    if (!back_after) return;
    // What was ordered before the last loss is void.
    network_.at(now() + *back_after, [this, agent, which = ++slot.goings] {
        const AgentSlot& own = agents_[static_cast<std::size_t>(agent)];
        if (own.goings == which && !own.agent) start_agent(agent);
    });
}

void SimWorld::ask_agent_to_end(int agent) {
    AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
    if (!slot.agent) return;
    slot.agent->ask_to_end();
    viewers(agent).agent_ends();
    slot.host->wake();
}

// A viewer asks any agent of the fleet; one that does not answer its connects is not asked.
Viewers* SimWorld::somebody_else(int agent) {
    std::vector<Viewers*> there;
    for (int other = 0; other < plan_.agents; ++other) {
        if (other != agent && viewers(other).takes_new()) there.push_back(&viewers(other));
    }
    return there.empty() ? nullptr : there[network_.random()() % there.size()];
}

void SimWorld::stop_agent(int agent, bool stopped) {
    agents_[static_cast<std::size_t>(agent)].host->stop(stopped);
    ledger_.agent_stops(agent, stopped, now());
}

void SimWorld::kill_server(int server, std::optional<double> starts_again_after) {
    ServerSlot& slot = servers_[static_cast<std::size_t>(server)];
    if (!slot.server) return;
    slot.server->die();
    slot.host->kill([&] { slot.server.reset(); });
    ledger_.server_down(server);
    if (!starts_again_after) return;
    network_.at(now() + *starts_again_after, [this, server] { start_server_again(server); });
}

void SimWorld::start_server_again(int server) {
    start_server(server);
    ledger_.starts_cold(server, now());
    feeds_tell(server, "up", now());
}

void SimWorld::feeds_tell(int server, const std::string& phase, double up_since) {
    for (FeedSlot& slot : feeds_) {
        slot.feed->change(server, phase, up_since);
        slot.host->wake();
    }
}

void SimWorld::power_fails(const PowerLoss& loss) {
    std::mt19937_64 random(loss.seed);
    const auto uniform = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
    const auto dark = [&](int zone) { return !loss.building || *loss.building == zone; };
    for (int server = 0; server < plan_.servers; ++server) {
        const double back = loss.outage_s + loss.servers_s * uniform();
        if (dark(plan_.zone_of(server))) kill_server(server, back);
    }
    for (std::size_t zone = 0; zone < feeds_.size(); ++zone) {
        const double back = loss.outage_s + loss.feeds_s * uniform();
        if (!dark(static_cast<int>(zone))) continue;
        feeds_[zone].feed->loses_power();
        feeds_[zone].host->wake();
        network_.at(now() + back, [this, zone] {
            feeds_[zone].feed->comes_back(feeds_[zone].host->address(feed_port));
            feeds_[zone].host->wake();
        });
    }
    for (int agent = 0; agent < plan_.agents; ++agent) {
        const double back = loss.outage_s + loss.agents_s * uniform();
        const bool never = uniform() < loss.never_part;
        if (!dark(agent % plan_.zones)) continue;
        AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
        ++slot.boots;
        slot.up_since = now() + loss.outage_s;
        agent_gone(agent, false, never ? std::nullopt : std::optional(back));
    }
}

void SimWorld::split_agents(const std::vector<int>& part, bool is_split) {
    for (const int inside : part) {
        for (int other = 0; other < plan_.agents; ++other) {
            if (std::find(part.begin(), part.end(), other) == part.end())
                network_.cut(*agents_[static_cast<std::size_t>(inside)].host,
                             *agents_[static_cast<std::size_t>(other)].host, is_split);
        }
    }
}

void SimWorld::freeze_server(int server, bool frozen) {
    ServerSlot& slot = servers_[static_cast<std::size_t>(server)];
    if (slot.server) slot.server->freeze(frozen);
    slot.host->wake();
}

void SimWorld::vanish_server(int server, bool vanished) {
    ServerSlot& slot = servers_[static_cast<std::size_t>(server)];
    if (slot.server) slot.server->freeze(vanished);
    slot.host->vanish(vanished);
}

void SimWorld::drain_server(int server) {
    feeds_tell(server, "draining", 0);
    ledger_.drained(server, now());
}

void SimWorld::list_server(int server) {
    feeds_tell(server, "up", 0);
    ledger_.listed(server);
}

void SimWorld::cut(int agent, int server, bool is_cut) {
    network_.cut(*agents_[static_cast<std::size_t>(agent)].host,
                 *servers_[static_cast<std::size_t>(server)].host, is_cut);
    ledger_.link_cut(agent, server, is_cut, now());
}

void SimWorld::finish(double settles_s) {
    for (CrowdSlot& crowd : crowds_) crowd.viewers->stop_arrivals();
    run_for(settles_s);
    ledger_.close(now());
}

}  // namespace lab
