// When each agent goes by each change that the feed has told: judged from the telling, or, for an agent that
// could not be reached then, from when it could be again.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace lab {

class ChangeTracker {
public:
    explicit ChangeTracker(int agents) : agents_(static_cast<std::size_t>(agents)) {}

    void reachable(int agent, bool is, double now);
    void restarts(int agent) { agents_[index(agent)].latest = 0; }  // knows nothing of former changes
    void told(std::uint64_t number, double now);
    void in_force(int agent, std::uint64_t number, double now);

    struct Delays {
        std::vector<double> prompt;  // of agents that could be reached from the telling on, s
        std::vector<double> late;    // of the others, from when they could be reached, s
    };
    // Of changes told from `from` to `until`.
    Delays delays(double from, double until) const;
    std::uint64_t told() const { return last_; }  // the latest number; 0: none yet
    // Agents that can be reached and don't go by the latest change.
    std::vector<int> without_latest() const;
    int reachable_agents() const;
    std::uint64_t latest(int agent) const { return agents_[index(agent)].latest; }

private:
    struct Pending {
        bool prompt = true;  // could be reached all the time
        double from = 0;
    };
    struct Agent {
        bool reachable = false;
        std::uint64_t latest = 0;
        std::map<std::uint64_t, Pending> pending;
    };
    struct Done {
        std::uint64_t number = 0;
        bool prompt = true;
        double delay = 0;
    };
    static std::size_t index(int agent) { return static_cast<std::size_t>(agent); }

    std::vector<Agent> agents_;
    std::map<std::uint64_t, double> told_;
    std::vector<Done> done_;
    std::uint64_t last_ = 0;
};

}  // namespace lab
