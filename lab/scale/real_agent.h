// One process of the program in a scale run, behind relays that count what it receives and what goes over its
// feed's connection. What it sends is counted by those who receive it.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "lab/run/agent_process.h"
#include "lab/run/datagram_relay.h"
#include "lab/run/relay.h"
#include "lab/scale/host_protocol.h"
#include "lab/scale/log_tail.h"
#include "lab/scale/relay_loop.h"

namespace lab {

class RealAgent {
public:
    // Its relays stand on `relays`, which has not begun yet.
    RealAgent(RelayLoop& relays, int agent, std::string program, std::string folder);

    jasperspread::net::Address datagrams_at() const { return datagrams_.address(); }
    // Its feed is to be had there.
    jasperspread::net::Address feed_relay(const jasperspread::net::Address& feed);
    // Datagrams from zones of which this is true are lost.
    void cut_where(std::function<bool(const jasperspread::net::Address&)> is_cut) {
        datagrams_.cut_where(std::move(is_cut));
    }
    // Called with each datagram that it receives, while the relays' loop is held.
    void observe(std::function<void(const jasperspread::net::Address& from, std::string_view datagram)> seen);

    void start(double machine_s);
    void kill();
    bool runs() { return process_.runs(); }
    AgentProcess& process() { return process_; }
    // What its log tells since the last call.
    std::vector<AgentEvent> take_events();
    // Of what it sent nothing: others have counted that.
    AgentSample sample();

private:
    void hear(const LogLine& line, std::vector<AgentEvent>& events);

    RelayLoop& relays_;
    const int agent_;
    const std::string program_, folder_;
    AgentProcess process_;
    LogTail log_;
    DatagramRelay datagrams_;
    Relay feed_;
    std::set<std::string> there_;  // members that its log takes for there
    Traffic received_;
    double cpu_before_s_ = 0;
};

}  // namespace lab
