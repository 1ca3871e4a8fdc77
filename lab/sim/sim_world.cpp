#include "sim_world.h"

#include <nlohmann/json.hpp>

namespace lab {
namespace {

constexpr std::uint16_t agent_port = 2905, server_port = 2906, feed_port = 4222;
constexpr double tick_s = 0.1, agent_starts_after_s = 0.3;
constexpr std::size_t many_descriptors = 4096;

}  // namespace

SimWorld::SimWorld(const WorldPlan& plan, Network::Delay delay)
    : plan_(plan), network_(plan.seed, delay), fleet_(plan_), ledger_(plan_) {
    feed_host_ = &network_.add_host(many_descriptors);
    feed_ = std::make_unique<Feed>(feed_host_->loop(), plan_);
    feed_->listen(feed_host_->address(feed_port));
    feed_host_->run([] { return true; });
    servers_.resize(static_cast<std::size_t>(plan_.servers));
    for (int server = 0; server < plan_.servers; ++server) {
        Host& host = network_.add_host(many_descriptors);
        servers_[static_cast<std::size_t>(server)].host = &host;
        start_server(server);
        feed_->add({server, host.address(server_port), "up", 0});
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
        crowd.host->run([] { return true; });
    }
    network_.at(now() + tick_s, [this] { tick(); });
}

SimWorld::~SimWorld() {
    // What stands on a loop goes before the loop.
    for (CrowdSlot& crowd : crowds_) crowd.viewers.reset();
    for (AgentSlot& slot : agents_) slot.agent.reset();
    for (ServerSlot& slot : servers_) slot.server.reset();
    feed_.reset();
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
    slot.host->run([] { return true; });
}

void SimWorld::start_agent(int agent) {
    AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
    nlohmann::json json = agent_config(plan_, agent, slot.host->address(agent_port),
                                       feed_host_->address(feed_port), feed_->known());
    auto config = jasperspread::agent::read_config(json.dump());
    config.seed += static_cast<std::uint64_t>(slot.starts++) * 1000003;
    if (corrupt_) corrupt_(config);
    slot.agent = std::make_unique<jasperspread::agent::Agent>(slot.host->loop(), log_, std::move(config));
    if (plan_.agents_hand_over) slot.agent->hand_over({plan_.handover, key_});
    slot.host->run([this, agent] {
        AgentSlot& own = agents_[static_cast<std::size_t>(agent)];
        if (!own.agent || !own.agent->over()) return true;
        network_.at(now(), [this, agent] { kill_agent(agent); });
        return false;
    });
}

void SimWorld::kill_agent(int agent) {
    AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
    if (!slot.agent) return;
    slot.host->kill([&] { slot.agent.reset(); });
    ledger_.agent_gone(agent);
    network_.at(now() + agent_starts_after_s, [this, agent] {
        if (!agents_[static_cast<std::size_t>(agent)].agent) start_agent(agent);
    });
}

void SimWorld::ask_agent_to_end(int agent) {
    AgentSlot& slot = agents_[static_cast<std::size_t>(agent)];
    if (slot.agent) slot.agent->ask_to_end();
    slot.host->wake();
}

void SimWorld::stop_agent(int agent, bool stopped) {
    agents_[static_cast<std::size_t>(agent)].host->stop(stopped);
}

void SimWorld::kill_server(int server, std::optional<double> starts_again_after) {
    ServerSlot& slot = servers_[static_cast<std::size_t>(server)];
    if (!slot.server) return;
    slot.server->die();
    slot.host->kill([&] { slot.server.reset(); });
    if (!starts_again_after) return;
    network_.at(now() + *starts_again_after, [this, server] {
        start_server(server);
        feed_->change(server, "up", now());
        feed_host_->wake();
    });
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
    feed_->change(server, "draining");
    feed_host_->wake();
    ledger_.drained(server, now());
}

void SimWorld::cut(int agent, int server, bool is_cut) {
    network_.cut(*agents_[static_cast<std::size_t>(agent)].host,
                 *servers_[static_cast<std::size_t>(server)].host, is_cut);
}

void SimWorld::finish() {
    for (CrowdSlot& crowd : crowds_) crowd.viewers->stop_arrivals();
    constexpr double settles_s = 15;
    run_for(settles_s);
    ledger_.close(now());
}

}  // namespace lab
