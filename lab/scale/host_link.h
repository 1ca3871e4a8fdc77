// The processes that hold the hollow agents, as the experiment has them: started by it, told by lines over
// loopback, and ended with it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/run/agent_process.h"
#include "lab/scale/host_protocol.h"
#include "lab/scale/line_party.h"

namespace lab {

class HostLinks {
public:
    using Heard = std::function<void(const Report&)>;
    HostLinks(jasperspread::net::Loop& loop, const std::string& program, const std::string& folder, int hosts,
              Heard heard);

    bool all_up() const { return connections_.size() == processes_.size(); }
    bool all_run();  // none has ended by itself
    void tell(int host, const Command& command);
    void tell_all(const Command& command);
    const std::vector<std::unique_ptr<AgentProcess>>& processes() const { return processes_; }

private:
    void heard(std::uint64_t connection, std::string_view line);

    const Heard heard_;
    LineParty party_;
    std::vector<std::unique_ptr<AgentProcess>> processes_;
    std::map<int, std::uint64_t> connections_;  // by host
};

}  // namespace lab
