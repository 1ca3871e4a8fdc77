// The connections to lesson servers: opened when one is needed, kept while sessions stand at the server,
// replaced when they are silent, closed when they are idle. Messages that find none wait for the next one.
// What the messages mean is the user's business.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "agent/directory.h"
#include "agent/end_watch.h"
#include "agent/log.h"
#include "agent/recent_ids.h"
#include "agent/retransmit_queue.h"
#include "agent/seam.h"
#include "agent/silence_limits.h"
#include "codec/server_codec.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/loop.h"

namespace jasperspread::agent {

struct LinkLimits {
    double connect_timeout = 0, conn_idle = 0;  // s
    std::size_t streams_per_conn = 0, connections = 0;
    double note_every = 0, note_late = 0;  // how often a server with sessions speaks, and how late
    bool can_probe = false;
};

class ServerConnections {
public:
    class Link;
    // What the end of a connection says of the server's process.
    enum class Process { Unknown, Gone, Silent };  // Gone: there is proof; Silent: for so long that it counts

    class User {
    public:
        virtual void link_writable(Link& link) = 0;
        virtual void received(Link& link, const codec::ServerMessage& message) = 0;
        // Its set-ups go elsewhere or are over; the object lives until the loop's next turn.
        virtual void link_ended(Link& link, net::Connection::End why, Process process) = 0;
        // A line on it has begun and does not go on: its set-ups go elsewhere or are over, it stays open.
        virtual void link_stalled(Link& link) = 0;
        virtual bool has_sessions(ServerNumber number) const = 0;  // a session, so that a connection is kept
        virtual double stands_since(ServerNumber number) const = 0;  // the oldest of these, s
        virtual bool waits_for_answer(const Link& link) const = 0;   // to a set-up written on it
        virtual void probe(Link& link) = 0;                          // asks the server for a sign of life
        virtual void server_silent(ServerNumber number) = 0;         // for so long that its sessions are over

    protected:
        ~User() = default;
    };

    ServerConnections(net::Loop& loop, net::BufferPool& pool, Log& log, User& user,
                      const ServerDirectory& directory, const LinkLimits& limits)
        : loop_(loop),
          pool_(pool),
          log_(log),
          user_(user),
          directory_(directory),
          limits_(limits),
          silence_(
              silence_limits({limits.note_every, limits.note_late, limits.conn_idle, limits.can_probe})) {}

    // One on which no attempt of this set-up was answered lately; null: there is none to be had.
    Link* link_for_set_up(ServerNumber number, SessionId id);
    // On the preferred connection, on another open one, or on the next one.
    void send(ServerNumber number, const Link* preferred, const codec::ServerMessage& message);
    // The same for the release of a session, which is sent again on further connections until it is
    // acknowledged or too old.
    void release(ServerNumber number, const Link* preferred, const codec::ServerMessage& message);
    void release_acknowledged(ServerNumber number, SessionId id);
    // The directory has changed: what is there for servers whose address another one has now goes to that
    // one.
    void listed();
    void ensure_connection(ServerNumber number);  // one at least, as long as something stands there
    void sessions_begin(ServerNumber number);     // the first one of a server that had none
    bool has_open_link(ServerNumber number) { return open_link(server(number), nullptr) != nullptr; }
    void drop_pending(ServerNumber number);
    void drop_releases(ServerNumber number);
    void close_idle(ServerNumber number);
    // Whether a connection is there, or a message that waits for one. What is known of a server without goes.
    bool holds(ServerNumber number);

private:
    struct Server {
        explicit Server(const SilenceLimits& limits) : watch(limits) {}
        EndWatch watch;
        std::vector<std::shared_ptr<Link>> links;
        std::vector<std::string> pending;  // messages on sessions that wait for a connection
        int failed_connects = 0;           // in a row
        // One on which sessions stood has ended: what was said on it is said again on the next one.
        bool wants_new = false;
        // A connection was closed from here and the server may not have heard of that yet: what it has said
        // on it since is said again on the next one after this time, once the server is heard again.
        bool closed_unheard = false;
        double reopen_at = 0;                              // 0: not set
        double opened = 0;                                 // the last connection was begun
        double connect_pause = 0, connect_not_before = 0;  // where releases alone wait for a connection
        std::unique_ptr<RetransmitQueue> releases;         // not acknowledged; null: none
        std::unique_ptr<net::Timer> maintenance;
    };
    Server& server(ServerNumber number);
    // Replacement: of a silent connection, or after one that has ended; Required: by sessions or messages of
    // a server that has none.
    enum class Need { SetUp, Replacement, Required };
    Link* open(ServerNumber number, Need need);
    bool has_room(Need need);
    bool close_lingering();
    bool close_resting();
    bool close_replaced();
    static bool is_sound(const Link& link);
    static bool has_sound(const Server& at, const Link* beside = nullptr);
    static bool has_stalled(const Server& at);
    static std::size_t staying(const Server& at);  // connections that are not being closed from here
    void note_heard(Server& at);
    bool lacks_connection(ServerNumber number, const Server& at) const;
    bool needs_connection(ServerNumber number, const Server& at) const;
    Link* other_open_link(Server& at, std::uint64_t not_this);
    void send_releases(ServerNumber number, Link& link);
    void retransmit_releases(ServerNumber number);
    bool wants_replacement(ServerNumber number, const Server& at) const;
    std::size_t servers_before(Need need) const;
    Link* open_link(Server& at, const Link* preferred);
    void schedule_maintenance(ServerNumber number);
    double draw();  // from 0 to 1
    void maintain(ServerNumber number);
    void close_rested(ServerNumber number);
    double closes_after(const Link& link) const;  // s without traffic
    void renew(ServerNumber number);
    bool is_due_a_probe(ServerNumber number, const Server& at) const;
    void probe_silent(ServerNumber number);
    void probe(Server& at, Link& link);
    void end_if_silent(ServerNumber number);
    std::optional<double> longest_open(const Server& at) const;  // s; nothing: none is open
    bool is_silent(const Server& at, const Link& link) const;
    void replace_silent(ServerNumber number);
    void close_now(Link& link, std::string_view why);
    void give_to_successor(ServerNumber number, ServerNumber successor);
    static bool is_connecting(const Server& at);
    void make_room_in_order(Server& at);
    void open_wanted(ServerNumber number);
    void ended(Link& link, net::Connection::End why);
    void note(std::string_view event, const Link& link, std::string_view why);
    void report_lost(const Link& link, net::Connection::End why);
    void report_held_releases(ServerNumber number);

    net::Loop& loop_;
    net::BufferPool& pool_;
    Log& log_;
    User& user_;
    const ServerDirectory& directory_;
    const LinkLimits limits_;
    const SilenceLimits silence_;
    std::map<ServerNumber, Server> servers_;
    std::size_t links_ = 0;
    std::optional<std::mt19937_64> random_;
    std::uint64_t opened_ = 0;  // since the start
};

// One connection to a server.
class ServerConnections::Link final : public net::Connection::Owner {
public:
    Link(ServerConnections& all, ServerNumber at_server, const net::Address& address);

    void opened(net::Connection&) override;
    std::size_t received(net::Connection&, std::string_view bytes) override;
    void writable(net::Connection&) override { all_.user_.link_writable(*this); }
    void ended(net::Connection&, net::Connection::End why) override { all_.ended(*this, why); }

    // Who speaks on it: the server that it was opened for, or whoever has its address now.
    ServerNumber speaker() const { return all_.directory_.holder_of_address(server); }

    const ServerNumber server;
    const std::uint64_t number;    // from 1, of this process
    std::deque<SessionId> queue;   // set-ups not yet written
    std::set<SessionId> sessions;  // set-ups and sessions that were set up here
    // Set-ups that an answer ended here. A second copy of it names the session alone, and would pass for the
    // end of a later attempt on this connection.
    RecentIds answered{copy_comes_within_s};
    static constexpr double copy_comes_within_s = 5;
    double up_at = 0;         // since when it is open; 0: it never was
    bool has_spoken = false;  // a message came on it
    // A release that comes so long after a connection's opening was held for it, s.
    static constexpr double held_release_s = 1;
    std::size_t held_releases = 0;  // that came as soon as it was open, and were not reported yet
    double used;                    // last traffic
    double heard;                   // last bytes from the server, or since when it is there
    bool came_up = false;
    bool avoided = false;  // silent for too long, or stalled: no set-up goes there
    bool stalled = false;  // a line on it has begun and does not go on
    bool closing = false;  // being closed from here
    bool brief = false;    // beside a sound one, for what the server could not send on that; soon closed

    bool has_partial_line() const { return line_timer_.is_set(); }

private:
    void take(const codec::ServerMessage& message);
    void note_message();
    void line_stalled();
    void close_unreadable(const std::string& why);

    ServerConnections& all_;
    net::Timer line_timer_;

public:
    net::Connection connection;  // last: it may not call back before the rest is there
};

}  // namespace jasperspread::agent
