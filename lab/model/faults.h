// The one vocabulary of faults, for each driver of the laboratory: what may go wrong, plans of it drawn from
// a seed, and how a plan that fails is cut down to a smaller one that still fails.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lab/model/ledger.h"
#include "lab/model/viewers.h"

namespace lab {

// Power fails at one instant for a building, or for all: agents, servers and the feeds there. Each is back
// within a time of its own after the outage, or never; servers cold, agents in a new boot of their machine.
struct PowerLoss {
    std::optional<int> building;  // its zone; none: all
    double outage_s = 1.5;
    double agents_s = 2, servers_s = 3, feeds_s = 3;  // over which they come back then
    double never_part = 0;                            // of the agents there
    std::uint64_t seed = 1;                           // of what is drawn
};

// What a driver can do to its world, by the numbers of agents and servers.
class World {
public:
    virtual ~World() = default;
    virtual double now() = 0;
    virtual void run_for(double seconds) = 0;
    virtual Ledger& ledger() = 0;
    virtual const WorldPlan& plan() const = 0;
    virtual Viewers& viewers(int agent) = 0;

    virtual void squeeze(int server, double gives) = 0;
    virtual void freeze_server(int server, bool frozen) = 0;
    virtual void kill_server(int server, std::optional<double> starts_again_after) = 0;
    virtual void drain_server(int server) = 0;
    virtual void list_server(int server) = 0;  // up again
    virtual void cut(int agent, int server, bool is_cut) = 0;
    virtual void kill_agent(int agent) = 0;  // and it starts again after a moment
    virtual void stop_agent(int agent, bool stopped) = 0;
    virtual void ask_agent_to_end(int agent) = 0;  // the same
    virtual void power_fails(const PowerLoss& loss) = 0;

    // What a driver can't play it leaves out.
    virtual void end_and_kill_agent(int) {}       // SIGTERM, and SIGKILL as early as it may come
    virtual void signal_agent_in_series(int) {}   // SIGHUP with sound and unsound files, SIGSTOP, SIGCONT
    virtual void silence_feed(int) {}             // of this agent: who listens hears nothing more
    virtual void feed_down(int, bool) {}          // of this agent
    virtual void replace_server(int) {}           // its process dies, and a new server has its address
    virtual void reset_links(int, int) {}         // between this agent and this server
    virtual void cut_one_way(int, int, bool) {}   // from this agent to this server
    virtual void in_pieces(int, bool) {}          // all that this agent hears and says
    virtual void bad_clients(int, bool) {}        // at this agent
    virtual void spoil_answers(int, bool) {}      // of this server
    virtual void hold_releases(int, bool) {}      // of this server: they wait for the next connection
    virtual void deaden_connections(int, int) {}  // this agent's to this server, for good; new ones work
    virtual void garble_lines(int, bool) {}       // of this server
};

enum class Trouble {
    Squeeze,
    FreezeServer,
    KillServer,
    DrainServer,
    CutLink,
    KillAgent,
    StopAgent,
    EndAgent,
    Rush,  // viewers arrive so many times as often, everywhere
    EndAndKillAgent,
    SignalSeries,
    SilenceFeed,
    FeedDown,
    ReplaceServer,
    ResetLinks,
    CutOneWay,
    Pieces,
    BadClients,
    SpoilAnswers,
    HoldReleases,
    DeadenConnections,
    GarbleLines,
};

struct FaultStep {
    double at = 0, lasts = 0;  // s from the plan's beginning
    Trouble what = Trouble::Squeeze;
    int server = 0, agent = 0;
    double size = 0;  // a squeezed link gives this part; a rush multiplies arrivals by it
};
using FaultPlan = std::vector<FaultStep>;

std::string to_text(const FaultStep& step);
// Reads what to_text() writes, a line each. Throws std::runtime_error.
FaultPlan read_faults(const std::string& text);
// `seconds` of faults, one each `every_s` on average; no party is in two troubles of a kind at once.
FaultPlan draw_faults(const WorldPlan& plan, std::uint64_t seed, double seconds, double every_s,
                      const std::vector<Trouble>& kinds);
// Plays it and mends what is left at its end.
// `until_broken`: no further than to the first rule that is broken.
void play(World& world, const FaultPlan& plan, double seconds, bool until_broken = false);
// The smallest part of the plan that was found for which `fails` still holds, with so many trials at most.
FaultPlan cut_down(FaultPlan plan, const std::function<bool(const FaultPlan&)>& fails, int most_trials);

}  // namespace lab
