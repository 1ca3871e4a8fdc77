// The same world on real sockets: servers, viewers and the feeds in this process, each agent a process of the
// program with a folder and an address of its own, and relays between the parties where faults are wanted
// there.
#pragma once

#include <limits>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/model/faults.h"
#include "lab/model/server.h"
#include "lab/model/viewers.h"
#include "lab/run/agent_process.h"
#include "lab/run/datagram_relay.h"
#include "lab/run/files.h"
#include "lab/run/relay.h"
#include "lab/soak/bad_clients.h"
#include "net/loop.h"

namespace lab {

struct SocketOptions {
    std::string program;         // the agent to start
    std::string folder;          // an empty one for its files
    bool relayed = false;        // relays between agents and servers, and agents and viewers
    double delay_s = 0.0002;     // of a relay, one way, and as much again by chance
    std::string broken = "";     // for the broken program: how (lab/broken)
    bool lossy_disk = false;     // of that program: a kill loses what was not synced, as a power loss does
    bool dies_at_syncs = false;  // and each life of it dies by itself around one of its writes to disk
};

class SocketWorld final : public World {
public:
    SocketWorld(const WorldPlan& plan, SocketOptions options);
    ~SocketWorld() override;
    SocketWorld(const SocketWorld&) = delete;
    SocketWorld& operator=(const SocketWorld&) = delete;

    void run_for(double seconds) override;
    // Until `done` says so, `longest` s at most; false: it never did.
    bool run_until(const std::function<bool()>& done, double longest);
    void finish(double settles_s);
    double now() override { return kernel_.now(); }

    void squeeze(int server, double gives) override { fleet_.squeeze(server, gives); }
    void freeze_server(int server, bool frozen) override;
    void kill_server(int server, std::optional<double> starts_again_after) override;
    void drain_server(int server) override;
    void list_server(int server) override;
    void cut(int agent, int server, bool is_cut) override;
    void kill_agent(int agent) override;
    void stop_agent(int agent, bool stopped) override;
    void ask_agent_to_end(int agent) override;
    void power_fails(const PowerLoss& loss) override;
    void end_and_kill_agent(int agent) override;
    void signal_agent_in_series(int agent) override;
    void silence_feed(int agent) override;
    void feed_down(int agent, bool is_down) override;
    void replace_server(int server) override;
    void reset_links(int agent, int server) override;
    void cut_one_way(int agent, int server, bool is_cut) override;
    void in_pieces(int agent, bool are) override;
    void bad_clients(int agent, bool are) override;
    void spoil_answers(int server, bool spoils) override;
    void hold_releases(int server, bool holds) override;
    void deaden_connections(int agent, int server) override;
    void garble_lines(int server, bool garbles) override;
    // The agent's machine is in a new boot since `up_since`, as its files tell.
    void boots(int agent, double up_since);
    // Datagrams of one agent don't reach the other; those of the other still come.
    void deaf(int from, int to, bool is_deaf);
    void set_lossy(const Lossy& lossy);                       // of datagrams, between all agents
    void reread_settings(int agent, const std::string& key);  // SIGHUP, with this key for tickets

    const WorldPlan& plan() const override { return plan_; }
    Ledger& ledger() override { return ledger_; }
    Viewers& viewers(int agent) override { return *slot(agent).viewers; }
    LessonServer* server(int number) { return servers_[static_cast<std::size_t>(number)].get(); }
    int deaths_at_syncs() const { return deaths_at_syncs_; }
    jasperspread::net::Loop& loop() { return loop_; }
    jasperspread::net::Address agent_address(int agent) { return slot(agent).listens; }
    AgentProcess& process(int agent) { return *slot(agent).process; }

private:
    struct Slot {
        std::string folder;
        std::unique_ptr<AgentProcess> process;
        std::unique_ptr<Feed> feed;
        jasperspread::net::Address feed_at, listen, listens;
        std::vector<std::unique_ptr<Relay>> to_servers;
        std::unique_ptr<Relay> from_viewers;
        std::unique_ptr<DatagramRelay> from_agents;
        std::optional<jasperspread::net::Address> talks_from;
        std::unique_ptr<Viewers> viewers;
        std::unique_ptr<BadClients> bad_clients;
        std::string config;  // as it was started with
        bool up = false, asked_to_end = false, stopped = false, viewers_began = false;
        int starts = 0, boots = 0, goings = 0;
        double up_since = 0;  // of its machine; 0: for long
    };
    Slot& slot(int agent) { return agents_[static_cast<std::size_t>(agent)]; }
    jasperspread::net::Address reserve_address();
    void start_server(int server);
    void start_agent(int agent);
    void write_settings(const Slot& own, const std::string& key) const;
    void gone(int agent, bool by_itself, std::optional<double> back_after,
              double excuses_until = std::numeric_limits<double>::infinity());
    void signal_life(int agent, pid_t life, int number);
    Relay& relay(int agent, int server) {
        return *slot(agent).to_servers[static_cast<std::size_t>(relay_of_[static_cast<std::size_t>(server)])];
    }
    bool is_listed(int server) const { return !replaced_.contains(server) && server < next_spare_; }
    void write_boot(const Slot& own);
    void look_after(int agent);
    Viewers* somebody_else(int agent);
    void after(double seconds, std::function<void()> what);
    void tick();

    WorldPlan plan_;
    const SocketOptions options_;
    std::vector<ReservedAddress> reserved_;
    jasperspread::net::SystemKernel kernel_;
    jasperspread::net::Loop loop_;
    Fleet fleet_;
    Ledger ledger_;
    std::vector<std::unique_ptr<LessonServer>> servers_;
    std::vector<std::vector<jasperspread::net::Address>> server_at_;  // by server, by agent
    std::vector<Slot> agents_;
    std::vector<int> relay_of_;  // by server: one that replaces another has that one's address
    std::set<int> replaced_;
    int next_spare_ = 0;
    std::mt19937_64 random_;
    std::uint64_t server_starts_ = 0, disk_starts_ = 0;
    int deaths_at_syncs_ = 0;
    jasperspread::net::Timer ticker_;
    double ticked_ = 0;
};

}  // namespace lab
