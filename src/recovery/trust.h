// What an agent trusts of what it remembers from before it died, and what it makes of it when others say
// otherwise: the tables of docs/design/recovery.md. No I/O, no state.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "recovery/scope.h"

namespace jasperspread::recovery {

enum class Trust {
    Fact,  // acted on at once
    Hint,  // acted on once somebody who knows has confirmed it
    Void,  // as if it had never been written
};

enum class Thing {
    Incarnation,  // our own: a lower bound
    PaidSetUp,    // of a class that is never sent twice, from before its first byte on
    OwedOutcome,  // of a set-up, to its viewer
    Revision,     // of the list: a lower bound
    List,
    Session,    // that stood
    FreeSetUp,  // of a class that may be sent again
    ServerHealth,
    ServerStart,  // when it last started, from which its warmth follows
    Price,
    BudgetPart,
};
std::string_view name_of(Thing thing);

struct Memory {
    Thing thing = Thing::List;
    // How old, s; nullopt or less than 0: not known, as where clocks have stepped.
    std::optional<double> age_s;
    bool server_here = false;  // of a session or a server: it lost its power with us, if a building did
    double length_s = 0;  // of a session: what was left of it when it was written; of a start: the warm-up
};
Trust trust(const Memory& memory, Scope scope);

// ---- When others say otherwise ----

enum class ServerWord { Silent, Plays, Holds, Unknown };  // Holds: set up there, not begun to play

struct SessionWords {
    ServerWord server = ServerWord::Silent;
    bool taken_over = false;        // another agent holds it now
    bool viewer_elsewhere = false;  // its viewer says that it plays at another server
    bool waited = false;            // for as long as is waited for a silent server
    bool unclaimed = false;         // no viewer has named it in time, and all who could hold it hold it not
};
enum class SessionDecision {
    Ask,           // the server, again
    Keep,          // it stands here
    Leave,         // it is another agent's: nothing is said of it
    Release,       // at the server; the viewer is served elsewhere
    Over,          // the viewer is told that it is over
    OverReleased,  // the same, and the server is told once it speaks
};
SessionDecision session_decision(Trust trust, const SessionWords& words);

enum class PaidDecision {
    Ask,
    Standing,  // found standing, and its viewer still waits for the answer
    Released,  // failed for its viewer, and released at the server as soon as that speaks
    Failed,    // never sent again, never refused
};
PaidDecision paid_decision(ServerWord server, bool viewer_waits, bool waited);

// Whether a server may get new work, by what was remembered of it and what the feed says.
struct ListWords {
    std::uint64_t remembered_revision = 0, feed_revision = 0;
    std::optional<bool> remembered_up, feed_up;  // nullopt: not named there
    bool waited = false;                         // for as long as a feed may stay behind
};
bool may_take_new(Trust remembered, const ListWords& words);

}  // namespace jasperspread::recovery
