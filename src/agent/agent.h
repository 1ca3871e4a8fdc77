// One whole session agent on a loop: the sides, the table and the feed, wired, with the way it ends. Signals,
// files and the command line are outside; the same object serves in the program and in the laboratory.
#pragma once

#include "agent/between.h"
#include "agent/config.h"
#include "agent/feed_client.h"
#include "agent/log.h"
#include "agent/peers.h"
#include "agent/recovery_coordinator.h"
#include "agent/server_links.h"
#include "agent/session_journal.h"
#include "agent/session_table.h"
#include "agent/viewer_side.h"
#include "net/buffer_pool.h"
#include "net/loop.h"

namespace jasperspread::agent {

class Agent {
public:
    // Listens at once. Throws std::system_error where it can't. `memory`: where it remembers
    // (docs/operate/power-loss.md). `between`: for the laboratory alone.
    Agent(net::Loop& loop, Log& log, Config config, Between* between = nullptr,
          const MemoryOrder* memory = nullptr);
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    net::Address address() const { return viewers_.address(); }
    // Only the feed's address can change while sessions stand; all else counts from the next start.
    void reread(const Config& config) {
        sessions_.report();
        feed_.move_to(config.feed);
    }
    // Sessions are handed over between servers from here on, or by other settings (docs/operate/handover.md).
    void hand_over(const HandoverOrder& order) { sessions_.hand_over(order); }
    // Talks with other agents from here on, or under another key (docs/operate/fleet.md). Throws as Peers
    // does.
    void talk(const PeerOrder& order);
    // Restores service by stages, and tells other agents of itself (docs/operate/power-loss.md). Before it
    // talks.
    void recover(const RecoveryOrder& order);
    const RecoveryCoordinator* recovery() const { return recovery_.get(); }
    const Peers* peers() const { return peers_.get(); }
    const SessionJournal* journal() const { return journal_.get(); }
    void ask_to_end();  // SIGTERM: goes on taking and answering for a while
    // To be asked after each turn of the loop: true once the agent is over and all is said.
    bool over();

    const SessionTable& sessions() const { return sessions_; }

private:
    bool may_end();
    bool all_written();
    ServerPort& servers_side();
    LinkLimits link_limits() const;
    void listed(ListChange change);

    net::Loop& loop_;
    Log& log_;
    Between nothing_between_;
    Between& between_;
    Config config_;
    net::BufferPool pool_;
    SessionTable sessions_;
    std::unique_ptr<SessionJournal> journal_;  // where it remembers
    ServerLinks servers_;
    ViewerSide viewers_;
    FeedClient feed_;
    std::unique_ptr<Peers> peers_;                   // where agents talk
    std::unique_ptr<RecoveryCoordinator> recovery_;  // where service is restored by stages, or others ask
    bool told_ = false;                              // by the feed, since the start
    net::Timer wake_;
    double term_at_ = 0, closed_at_ = 0, words_until_ = 0, stay_most_ = 0;
};

}  // namespace jasperspread::agent
