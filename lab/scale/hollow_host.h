// One process that holds hollow agents: does what the experiment says, and tells it what they do.
#pragma once

#include <map>
#include <memory>

#include "lab/scale/hollow_agent.h"
#include "lab/scale/line_party.h"

namespace lab {

class HollowHost {
public:
    // Calls the experiment at `at`, as the host of this number.
    HollowHost(int host, const jasperspread::net::Address& at);
    void run();  // until the experiment hangs up

private:
    void take(const Command& command);
    void act(const StartAgent& start);
    void act(const KillAgent& kill);
    void act(const BlockZones& block);
    void tell_events();
    void tell_samples();
    void say(Report report);
    HollowAgent& agent(int number);

    const int host_;
    jasperspread::net::SystemKernel kernel_;
    jasperspread::net::Loop loop_;
    EventQueue queue_;
    std::map<int, std::unique_ptr<HollowAgent>> agents_;
    std::map<int, int> zones_;                      // by agent
    std::map<int, CountingKernel::Zones> blocked_;  // by zone
    LineParty experiment_;
    std::uint64_t connection_;
    jasperspread::net::Timer events_timer_, samples_timer_;
    bool over_ = false;
};

}  // namespace lab
