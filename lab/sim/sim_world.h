// A whole world in virtual time: agents (the real ones), lesson servers, viewers, the feed, and the faults.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/agent.h"
#include "lab/model/faults.h"
#include "lab/model/server.h"
#include "lab/model/viewers.h"
#include "lab/sim/network.h"
#include "lab/sim/sim_disk.h"

namespace lab {

class SimWorld final : public World {
public:
    explicit SimWorld(const WorldPlan& plan, Network::Delay delay = {},
                      const jasperspread::net::Poller::Thresholds& thresholds = {});
    ~SimWorld() override;

    void run_for(double seconds) override { network_.run_until(network_.now() + seconds); }
    // Viewers stop arriving; runs on until what they asked for must have been answered and heard.
    void finish(double settles_s = 15);
    double now() override { return network_.now(); }

    void kill_agent(int agent) override;  // and it starts again after a moment
    void ask_agent_to_end(int agent) override;
    void stop_agent(int agent, bool stopped) override;
    void kill_server(int server, std::optional<double> starts_again_after) override;
    void start_server_again(int server);
    void freeze_server(int server, bool frozen) override;
    void vanish_server(int server, bool vanished);
    void drain_server(int server) override;
    void list_server(int server) override;
    void cut(int agent, int server, bool is_cut) override;
    void power_fails(const PowerLoss& loss) override;
    // Of datagrams between agents.
    void set_lossy(const Lossy& lossy) { network_.set_lossy(lossy); }
    void split_agents(const std::vector<int>& part, bool is_split);  // from all other agents
    void squeeze(int server, double gives) override { fleet_.squeeze(server, gives); }

    const WorldPlan& plan() const override { return plan_; }
    Network& network() { return network_; }
    Fleet& fleet() { return fleet_; }
    Ledger& ledger() override { return ledger_; }
    LessonServer* server(int number) { return servers_[static_cast<std::size_t>(number)].server.get(); }
    Viewers& viewers(int agent) override { return *crowds_[static_cast<std::size_t>(agent)].viewers; }
    jasperspread::agent::Agent* agent(int number) {
        return agents_[static_cast<std::size_t>(number)].agent.get();
    }
    SimDisk& disk(int agent) { return *agents_[static_cast<std::size_t>(agent)].disk; }
    std::uint64_t log_lines() const { return log_.lines; }
    std::uint64_t faults_logged() const { return log_.faults; }
    // A hash of all that happened.
    std::uint64_t trace() const { return network_.trace(); }

    // All agents that start from here on are broken in this way (lab/broken).
    void break_agents(std::function<std::unique_ptr<jasperspread::agent::Between>()> how) {
        broken_ = std::move(how);
    }
    void with_key(std::string key) { key_ = std::move(key); }  // of agents that start from here on
    void corrupt(std::function<void(jasperspread::agent::Config&)> how) { corrupt_ = std::move(how); }

private:
    struct CountingLog final : jasperspread::agent::Log {
        std::uint64_t lines = 0, faults = 0;
        void write(jasperspread::agent::Level level, std::string_view,
                   std::initializer_list<jasperspread::agent::Field>) override {
            ++lines;
            faults += level == jasperspread::agent::Level::Fault ? 1 : 0;
        }
    };
    struct AgentSlot {
        Host* host = nullptr;
        std::unique_ptr<jasperspread::agent::Between> between;
        std::unique_ptr<jasperspread::agent::Agent> agent;
        std::unique_ptr<SimDisk> disk;  // where it remembers; outlives its lives
        int starts = 0, boots = 0, goings = 0;
        double up_since = 0;  // of its machine
    };
    struct ServerSlot {
        Host* host = nullptr;
        std::unique_ptr<LessonServer> server;
    };
    struct CrowdSlot {
        Host* host = nullptr;
        std::unique_ptr<Viewers> viewers;
    };
    void start_agent(int agent);
    void start_server(int server);
    // Back after so long, or never.
    void agent_gone(int agent, bool by_itself, std::optional<double> back_after);
    std::vector<std::string> seeds_of_talk() const;
    Viewers* somebody_else(int agent);
    void tick();

    WorldPlan plan_;
    Network network_;
    Fleet fleet_;
    Ledger ledger_;
    CountingLog log_;
    std::function<void(jasperspread::agent::Config&)> corrupt_;
    std::function<std::unique_ptr<jasperspread::agent::Between>()> broken_;
    std::string key_ = ticket_key();
    // One feed for each building, so that one can be lost.
    struct FeedSlot {
        Host* host = nullptr;
        std::unique_ptr<Feed> feed;
    };
    Feed& feed(int zone) { return *feeds_[static_cast<std::size_t>(zone)].feed; }
    void feeds_tell(int server, const std::string& phase, double up_since);
    std::vector<FeedSlot> feeds_;
    std::vector<ServerSlot> servers_;
    std::vector<AgentSlot> agents_;
    std::vector<CrowdSlot> crowds_;
    std::uint64_t seeds_ = 0;
};

}  // namespace lab
