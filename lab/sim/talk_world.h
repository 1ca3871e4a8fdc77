// Agents that do nothing but talk: the real membership and its datagrams in virtual time, for fleets of any
// size.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "agent/peers.h"
#include "lab/sim/network.h"

namespace lab {

class TalkWorld {
public:
    TalkWorld(int agents, std::uint64_t seed, jasperspread::fleet::Settings settings = {}, Lossy lossy = {});
    ~TalkWorld();

    void run_for(double seconds) { network_.run_until(network_.now() + seconds); }
    double now() const { return network_.now(); }
    void start(int agent);
    void kill(int agent);
    void leave(int agent);  // in order
    void stop(int agent, bool stopped);
    void split(const std::vector<int>& part, bool is_split);  // from all others
    // A process under another one's name, at an address of its own; gives its number.
    int start_same_name(int agent);

    jasperspread::agent::Peers* peers(int agent) { return slot(agent).peers.get(); }
    Network& network() { return network_; }
    Host& host(int agent) { return *slot(agent).host; }
    int agents() const { return static_cast<int>(slots_.size()); }
    // Whether each one that runs counts just those that run as present.
    bool all_agree();
    // How often an agent that ran at the time was said to have died, over all agents that said so.
    std::uint64_t false_deaths() const { return false_deaths_of_running_ + late_deaths_; }
    // Of those: the process that ran was meant, or an earlier one of its name that had died indeed.
    std::uint64_t false_deaths_of_running() const { return false_deaths_of_running_; }
    std::uint64_t late_deaths() const { return late_deaths_; }
    // The agents that ran and were said to have died.
    const std::set<std::string>& falsely_dead() const { return falsely_dead_; }
    // For each death, from the kill to when the first and the last of those that run knew it, s.
    const std::vector<double>& first_heard() const { return first_heard_; }
    const std::vector<double>& last_heard() const { return last_heard_; }
    std::uint64_t sent() const;
    std::uint64_t sent_bytes() const;
    std::size_t logged(const std::string& what) const;
    std::uint64_t trace() const { return network_.trace(); }

private:
    struct Log final : jasperspread::agent::Log {
        TalkWorld* world = nullptr;
        int agent = 0;
        void write(jasperspread::agent::Level level, std::string_view event,
                   std::initializer_list<jasperspread::agent::Field> fields) override;
    };
    struct Slot {
        Host* host = nullptr;
        std::string name;
        std::unique_ptr<Log> log;
        std::unique_ptr<jasperspread::agent::Peers> peers;
        bool stopped = false;
        double died = 0;  // 0: it runs
        std::size_t heard_by = 0;
        std::uint64_t sent = 0, sent_bytes = 0;  // in earlier lives
    };
    Slot& slot(int agent) { return slots_[static_cast<std::size_t>(agent)]; }
    void add_slot(const std::string& name);
    static void end(Slot& own);
    bool is_running_life(int by, const Slot& of);
    void said(int by, const std::string& what, const std::string& name);
    std::size_t running() const;

    Network network_;
    jasperspread::fleet::Settings settings_;
    std::vector<Slot> slots_;
    std::uint64_t false_deaths_of_running_ = 0, late_deaths_ = 0;
    std::set<std::string> falsely_dead_;
    std::vector<double> first_heard_, last_heard_;
    std::map<std::string, std::size_t> logged_;
};

}  // namespace lab
