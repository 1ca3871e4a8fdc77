// The seam between the decisions and the protocols. The session table speaks to viewers and servers through
// these interfaces alone, so another protocol can be put on either side of the same decisions.
#pragma once

#include <cinderfront/controller.h>

#include <cstdint>
#include <optional>
#include <string>

#include "agent/directory.h"
#include "handover/server_side.h"

namespace jasperspread::agent {

using SessionId = std::uint64_t;

// A set-up as a viewer asks for it.
struct SetUp {
    cinderfront::Request request;   // its times are those of the Unix clock
    std::string class_name, title;  // as they came: they go on unchanged
    std::string description;        // opaque
    std::optional<std::string>
        playing_at;  // a session of an earlier incarnation, and the server where it plays
};

enum class SessionEnd { Completed, Broken, ViewerLeft };

// Towards the viewers.
class ViewerPort {
public:
    virtual void answered(SessionId id, const std::string& description) = 0;
    virtual void refused(SessionId id, double stay_away_s) = 0;
    virtual void failed(SessionId id) = 0;
    virtual void over(SessionId id, SessionEnd how) = 0;  // a session that stood
    virtual void moved(SessionId id) = 0;

protected:
    ~ViewerPort() = default;
};

// One attempt to set a session up.
struct Attempt {
    SessionId id = 0;
    ServerNumber server = 0;
    std::string class_name, title, description;
    int rung = 0;
    double give_up_at = 0;
};

// How far an attempt had come that is given up. Only what was sent may have run.
enum class AttemptProgress { Queued, Connecting, Sent };

// One message of a hand-over to a server; of a PREPARE also what it needs of the session.
struct HandoverMessage {
    handover::Verb verb = handover::Verb::Withdraw;
    SessionId session = 0;
    std::uint64_t epoch = 0;
    ServerNumber server = 0;
    std::string ticket, class_name, title, description;
    int rung = 0;
    double hold_s = 0, probation_s = 0;
    std::string at_ms;  // media time, as the source told it
};
struct HandoverReply {
    handover::Answer answer;
    std::string at_ms;
};

// Towards the servers.
class ServerPort {
public:
    virtual void set_up(const Attempt& attempt) = 0;  // exactly one started() or attempt_ended() follows
    // ... unless it is given up before.
    virtual AttemptProgress give_up(SessionId id) = 0;
    virtual void set_rung(SessionId id, int rung) = 0;
    virtual void end_session(SessionId id) = 0;
    virtual void adopt(SessionId id, ServerNumber server) = 0;  // a session that plays there already
    virtual void forget(SessionId id) = 0;  // listened for no longer; nothing is said of it
    // Of servers that announce it: a hand-over's messages, and where a session stands after one.
    virtual bool hands_over(ServerNumber server) const = 0;
    virtual void hand_over(const HandoverMessage& message) = 0;
    virtual void reassign(SessionId id, ServerNumber server, int rung) = 0;
    virtual void set_epoch(SessionId id,
                           std::uint64_t epoch) = 0;  // told with the session's end from here on
    virtual void end_at(SessionId id, ServerNumber server, std::uint64_t epoch) = 0;
    virtual void probe(ServerNumber server) = 0;
    virtual void close_idle(ServerNumber server) = 0;

protected:
    ~ServerPort() = default;
};

// What the viewers' side reports.
class ViewerEvents {
public:
    virtual void set_up(const SetUp& set_up) = 0;
    virtual void given_up(SessionId id) = 0;  // released by the viewer, whether it stands or not
    // Whether a set-up of this id is under way or stands, or may have run at a server not long ago.
    virtual bool may_have_run(SessionId id) = 0;
    // Whether a session that a viewer hands over is held, or there is room for it.
    virtual bool may_take_over(const SetUp& set_up) = 0;

protected:
    ~ViewerEvents() = default;
};

// What the servers' side reports.
class ServerEvents {
public:
    virtual void started(SessionId id, const std::string& description) = 0;
    // An answer to an attempt that is over; what stands there is being released.
    virtual void answered_late(SessionId id, ServerNumber server) = 0;
    virtual void attempt_ended(SessionId id, cinderfront::Ending how,
                               const cinderfront::LoadReport& load) = 0;
    virtual void session_ended(SessionId id, cinderfront::Ending how,
                               const cinderfront::LoadReport& load) = 0;
    virtual void noted(SessionId id, cinderfront::NoteKind kind, double value) = 0;
    virtual void probed(ServerNumber server, cinderfront::Ending how, double latency,
                        const cinderfront::LoadReport& load) = 0;
    virtual void handed(SessionId id, ServerNumber from, const HandoverReply& reply) = 0;
    // A server that is not the session's own says that it has ended there.
    virtual void ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, cinderfront::Ending how) = 0;
    virtual void process_gone(ServerNumber server) = 0;  // there is proof: it refuses connections

protected:
    ~ServerEvents() = default;
};

}  // namespace jasperspread::agent
