// A fleet of real processes and hollow agents on loopback, with a control feed in each zone, its faults, and
// what is seen of it.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/model/viewers.h"
#include "lab/scale/change_tracker.h"
#include "lab/scale/death_judge.h"
#include "lab/scale/host_link.h"
#include "lab/scale/real_agent.h"
#include "lab/scale/scale_plan.h"
#include "lab/scale/usage.h"

namespace lab {

struct ScaleOptions {
    std::string program, hollow_program, folder;
};

class ScaleWorld {
public:
    // Starts all, the agents that others know first. Throws std::runtime_error where they don't come up.
    ScaleWorld(const ScalePlan& plan, const ScaleOptions& options);
    ~ScaleWorld();
    ScaleWorld(const ScaleWorld&) = delete;
    ScaleWorld& operator=(const ScaleWorld&) = delete;

    double now() { return kernel_.now(); }
    void run_for(double seconds);
    bool run_until(const std::function<bool()>& done, double longest_s);

    void kill(int agent);
    void start(int agent, double machine_s);
    void cut_regions(bool is_cut);
    void feed_down(int zone);
    void feed_up(int zone);
    // The source tells all feeds that it reaches of a server that drains, or is up again.
    void change();
    void after(double seconds, std::function<void()> what);

    int running() const;
    bool all_agree() const { return in_doubt().empty(); }
    std::vector<int> in_doubt() const;  // those that don't take just those that run for there
    bool all_by_latest_change() const { return changes_.without_latest().empty(); }
    bool was_killed(int agent) const {
        return agents_[index(agent)].starts > 1 || !agents_[index(agent)].runs;
    }

    const ScalePlan& plan() const { return plan_; }
    const ChangeTracker& changes() const { return changes_; }
    const DeathJudge& deaths() const { return deaths_; }
    const Usage& usage(int agent) const { return agents_[index(agent)].usage; }
    const AgentSample& sample(int agent) const { return agents_[index(agent)].sample; }
    // What others have received of this real process.
    CountingKernel::FromReal sent_by_real(int agent);
    // By how much a regular look of the experiment itself was too late, at most: a busy machine, s.
    double latest_look_s() const { return latest_look_s_; }
    std::vector<std::unique_ptr<AgentProcess>> const& hosts() const { return hosts_.processes(); }
    AgentProcess& real_process(int agent) { return agents_[index(agent)].real->process(); }

private:
    struct Slot {
        std::string folder;
        std::unique_ptr<RealAgent> real;  // null: hollow
        std::string talks_at;             // where it listens for others; the same in all its lives
        bool runs = false, talks = false;
        int starts = 0;
        AgentSample sample;
        Usage usage;
    };
    struct FeedSlot {
        std::unique_ptr<Feed> feed;
        jasperspread::net::Address at;
        bool is_up = true;
        std::vector<std::pair<int, std::string>> held_back;  // changes that could not reach it
    };
    static std::size_t index(int at) { return static_cast<std::size_t>(at); }
    bool source_reaches(int zone) const { return !cut_ || plan_.placement.region_of_zone(zone) == 0; }
    bool was_cut(int one, int other, double at) const;
    void start_feeds();
    void start_agents();
    void add_agent(int agent);
    void write_files(int agent);
    void note_reachable(int agent);
    void hear(const Report& report);
    void hear(const AgentEvent& event);
    void note(const AgentSample& sample);
    void look_at_logs();
    void sample_reals();

    const ScalePlan plan_;
    const ScaleOptions options_;
    jasperspread::net::SystemKernel kernel_;
    jasperspread::net::Loop loop_;
    RelayLoop relays_;
    ChangeTracker changes_;
    DeathJudge deaths_;
    std::vector<FeedSlot> feeds_;
    std::vector<Slot> agents_;
    std::vector<std::vector<CountingKernel::FromReal>> from_reals_;  // by host; last, by the relays
    HostLinks hosts_;
    std::uint64_t changes_told_ = 0;
    std::atomic<bool> cut_{false};  // read by the relays too
    double cut_at_ = 0, healed_at_ = 0, looked_ = 0, latest_look_s_ = 0;
    jasperspread::net::Timer logs_timer_, samples_timer_;
};

}  // namespace lab
