// The connections to lesson servers and what is on them: set-ups that wait for a connection, set-ups that are
// out, and sessions that stand. A session that stands belongs to its server, not to a connection.
#pragma once

#include <cinderfront/controller.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/log.h"
#include "agent/seam.h"
#include "codec/server_codec.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/loop.h"

namespace jasperspread::agent {

struct LinkLimits {
    double connect_timeout = 0, conn_idle = 0;  // s
    std::size_t streams_per_conn = 0, connections = 0;
    double note_every = 0, note_late = 0;  // how often a server with sessions speaks, and how late
};

class ServerLinks : public ServerPort {
public:
    ServerLinks(net::Loop& loop, net::BufferPool& pool, Log& log, ServerEvents& events,
                const ServerDirectory& directory, const LinkLimits& limits);
    ~ServerLinks();

    void listed();  // the directory has changed
    // Whether anything is there still: a session, a set-up, a connection or a word that waits. What is known
    // of a server where nothing is goes.
    bool holds(ServerNumber number);
    // Servers that have spoken lately of a session that has stood there since then: they have not started
    // since.
    std::vector<std::pair<ServerNumber, double>> running() const;

    void set_up(const Attempt& attempt) override;
    GivenUp give_up(SessionId id) override;
    void set_rung(SessionId id, int rung) override;
    void end_session(SessionId id) override;
    void adopt(SessionId id, ServerNumber server) override;
    void forget(SessionId id) override { erase(id); }
    bool hands_over(ServerNumber server) const override;
    void hand_over(const HandoverWord& word) override;
    void rehome(SessionId id, ServerNumber server, int rung) override;
    void set_epoch(SessionId id, std::uint64_t epoch) override;
    void end_at(SessionId id, ServerNumber server, std::uint64_t epoch) override;
    void probe(ServerNumber server) override;
    void close_idle(ServerNumber server) override;

private:
    class Link;
    enum class State { Queued, Written, Standing };
    struct Entry {
        Attempt attempt;
        State state = State::Queued;
        Link* link = nullptr;          // that it was written on, or waits for; null: any
        double since = 0, noted = 0;   // it stands since, and its server last spoke of it
        std::uint64_t epoch = 0;       // of its last hand-over, whatever came of it; 0: none
        std::uint64_t home_epoch = 0;  // of the one that brought it to where it stands
    };
    struct Server {
        std::vector<std::shared_ptr<Link>> links;
        std::set<SessionId> standing;
        std::vector<std::string> words;             // messages on sessions that wait for a connection
        double heard = 0;                           // something came from there, or a connection came up
        int vain = 0;                               // connections that timed out since
        bool hands_over = false;                    // it has announced that it can
        std::map<SessionId, std::string> prepares;  // that wait for it to announce that
        std::unique_ptr<net::Timer> watch;
    };
    struct Probe {
        ServerNumber server = 0;
        double sent = 0;
        net::Deadlines::Key end{0, 0};
    };

    Server& server(ServerNumber number);
    Link* link_for_set_up(ServerNumber number);
    Link* open_link(ServerNumber number);
    Link* talking_link(Server& at, const Link* preferred);
    void speak(ServerNumber number, const Link* preferred, const codec::ServerMessage& message);
    void keep_link(ServerNumber number);
    void watch(ServerNumber number);
    void look_after(ServerNumber number);
    bool quiet(const Server& at) const;
    void pump(Link& link);
    void take(Link& link, const codec::ServerMessage& message);
    void finished(const codec::ServerMessage& message);
    void take_named(Link& link, const codec::ServerMessage& message);
    void link_ended(Link& link, net::Connection::End why);
    void end_queued(Link& link, cinderfront::Ending how);
    void attempt_over(SessionId id, cinderfront::Ending how, const cinderfront::LoadReport& load);
    void all_over(ServerNumber number);
    void erase(SessionId id);
    void probe_over(SessionId tag, cinderfront::Ending how, const cinderfront::LoadReport& load);

    net::Loop& loop_;
    net::BufferPool& pool_;
    Log& log_;
    ServerEvents& events_;
    const ServerDirectory& directory_;
    const LinkLimits limits_;
    std::map<ServerNumber, Server> servers_;
    std::unordered_map<SessionId, Entry> entries_;
    std::unordered_map<SessionId, Probe> probes_;
    std::size_t links_ = 0;
    SessionId next_probe_ = 1;
};

// "x0:12;x1:40" with the names of the settings; fields that this program does not know are passed over.
cinderfront::LoadReport read_load(const std::string& text);

}  // namespace jasperspread::agent
