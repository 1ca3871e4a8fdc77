// One agent as a process, with a control feed and a lesson server in this process and its viewers in another:
// what the experiments on slopes measure it with.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/run/agent_process.h"
#include "lab/slopes/counted_agent.h"
#include "lab/slopes/parties.h"
#include "lab/slopes/viewer_process.h"

namespace lab {

struct RigOptions {
    std::string program, folder;
    bool counted = false;    // in place of the program, the laboratory's agent on a counting kernel
    int servers = 1;         // listed; the first is there, and the only one that holds the title
    bool all_there = false;  // or all are there, at an address each
    std::string operator_file = {};
};

class AgentRig {
public:
    explicit AgentRig(const RigOptions& options);  // returns once the agent listens
    ~AgentRig();

    void run_for(double seconds);
    bool run_until(const std::function<bool()>& done, double longest_s);
    // Carries the order out; throws std::runtime_error where that takes too long.
    ViewerReport viewers(ViewerOrder order, double longest_s = 110);
    void connect_to(std::uint32_t connections);  // holds so many in all
    void settle();                               // until the agent's processor time stands still
    double processor_s() const;                  // of the agent
    std::size_t resident() const;
    KernelCounts::Values counts() const;
    double idle_share(double seconds);  // processor time a second with nothing to do
    double now() { return kernel_.now(); }

    const WorldPlan& plan() const { return plan_; }
    const std::vector<Member>& members() const { return members_; }
    RigFeed& feed() { return feed_; }
    RigServer& server() { return server_; }
    AgentProcess& process() { return process_; }

private:
    void start();

    const RigOptions options_;
    ViewerProcess viewers_;  // first: it forks
    jasperspread::net::SystemKernel kernel_;
    jasperspread::net::Loop loop_{kernel_};
    WorldPlan plan_;
    RigFeed feed_;
    RigServer server_;
    std::vector<Member> members_;
    std::unique_ptr<SharedCounts> counts_;
    AgentProcess process_;
    jasperspread::net::Address agent_;
    std::uint32_t connections_ = 0;
};

}  // namespace lab
