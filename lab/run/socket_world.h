// The same world on real sockets: servers, viewers and the feed in this process, the agent as a program of
// its own on loopback.
#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "lab/model/server.h"
#include "lab/model/viewers.h"
#include "net/loop.h"

namespace lab {

class SocketWorld {
public:
    // `program`: the agent to start; `folder`: an empty one for its files.
    SocketWorld(const WorldPlan& plan, std::string program, std::string folder);
    ~SocketWorld();
    SocketWorld(const SocketWorld&) = delete;
    SocketWorld& operator=(const SocketWorld&) = delete;

    void run_for(double seconds);
    // Until `done` says so, `longest` s at most; false: it never did.
    bool run_until(const std::function<bool()>& done, double longest);
    void finish(double settles_s);
    double now() { return kernel_.now(); }
    double agent_cpu_s() const;  // processor time of the agent up to now, user and system
    std::size_t agent_memory_kb() const;
    bool agent_runs() const;

    void freeze_server(int server, bool frozen);
    void drain_server(int server);
    void list_server(int server);  // up again
    Fleet& fleet() { return fleet_; }
    Ledger& ledger() { return ledger_; }
    LessonServer& server(int number) { return *servers_[static_cast<std::size_t>(number)]; }
    Viewers& viewers() { return *viewers_; }

private:
    void start_agent(const jasperspread::net::Address& feed);
    void tick();

    WorldPlan plan_;
    std::string program_, folder_;
    jasperspread::net::SystemKernel kernel_;
    jasperspread::net::Loop loop_;
    Fleet fleet_;
    Ledger ledger_;
    std::unique_ptr<Feed> feed_;
    std::vector<std::unique_ptr<LessonServer>> servers_;
    std::unique_ptr<Viewers> viewers_;
    jasperspread::net::Timer ticker_;
    double ticked_ = 0;
    pid_t pid_ = -1;
};

}  // namespace lab
