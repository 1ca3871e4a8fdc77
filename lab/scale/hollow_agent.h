// A session agent without viewers: the program's own agent::Agent on a loop and a thread of its own, which it
// shares with nobody, so that its processor time can be told from that of the others in its process.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "agent/agent.h"
#include "lab/scale/host_protocol.h"
#include "ops/operator_file.h"

namespace lab {

// What the agents of a process have to tell, from any thread.
class EventQueue {
public:
    void push(AgentEvent event);
    std::vector<AgentEvent> take();

private:
    std::mutex mutex_;
    std::vector<AgentEvent> events_;
};

// Keeps of the log what the experiment judges by.
class EventLog final : public jasperspread::agent::Log {
public:
    EventLog(int agent, jasperspread::net::Kernel& kernel, EventQueue& queue)
        : agent_(agent), kernel_(kernel), queue_(queue) {}
    // Whose lives are looked up; null where there is none.
    void watch(const jasperspread::agent::Agent* agent) { watched_ = agent; }
    void talks();  // tells where the watched agent listens for others, and in which life
    void write(jasperspread::agent::Level level, std::string_view event,
               std::initializer_list<jasperspread::agent::Field> fields) override;

private:
    std::uint64_t token_of(const std::string& name) const;
    const int agent_;
    jasperspread::net::Kernel& kernel_;
    EventQueue& queue_;
    const jasperspread::agent::Agent* watched_ = nullptr;
};

class HollowAgent {
public:
    HollowAgent(int agent, EventQueue& queue) : agent_(agent), log_(agent, kernel_, queue) {}
    ~HollowAgent() { kill(); }
    HollowAgent(const HollowAgent&) = delete;
    HollowAgent& operator=(const HollowAgent&) = delete;

    // Reads its files as the program does. What it throws for a bad file it throws from here.
    void start(const StartAgent& order);
    void kill();  // without a word to anybody
    bool runs() const { return thread_.joinable(); }
    CountingKernel& kernel() { return kernel_; }
    AgentSample sample();

private:
    void live(jasperspread::agent::Config config, const jasperspread::ops::OperatorSettings& settings,
              const std::string& key, double machine_s);

    const int agent_;
    CountingKernel kernel_;
    EventLog log_;
    std::thread thread_;
    std::atomic<bool> ends_{false};
    std::atomic<int> wake_{-1};
    std::atomic<std::uint64_t> present_{0};
    double cpu_before_s_ = 0;  // of its earlier lives
};

}  // namespace lab
