// Reconciliation of the sessions of an agent's previous incarnation: which of them its viewers claim, which
// other agents hold, and what becomes of the rest (docs/design/recovery.md). Decides without I/O; time is
// passed in, s.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "recovery/trust.h"

namespace jasperspread::recovery {

using SessionId = std::uint64_t;

struct ReconciliationSettings {
    double claim_s = 8;                // viewers are brought back, and others' answers waited for, so long
    double ask_every_s = 0.3;          // until its answer comes a peer is asked so often
    std::size_t questions_most = 64;   // at once
    std::size_t sessions_asked = 100;  // in one question
};

struct Question {
    std::string peer;
    std::uint64_t number = 0;  // of the part of the sessions that it asks for
    std::vector<SessionId> sessions;
};

enum class Outcome {
    Kept,      // claimed by its viewer: it is in the table again
    Left,      // another agent's, or perhaps: nothing is said of it
    Released,  // at its server, where nobody watches it
    Over,      // it had ended
    Failed,    // a paid set-up that may have run: never sent again, never refused
};
std::string_view name_of(Outcome outcome);

class Reconciliation {
public:
    Reconciliation(const ReconciliationSettings& settings, double now)
        : set_(settings), claims_end_(now + settings.claim_s), next_ask_(now) {}

    // `intent`: a paid set-up that may have run, else a session that stood.
    void remember(SessionId id, bool intent, Trust trust);
    bool holds(SessionId id) const { return waiting_.contains(id); }
    std::size_t open() const { return waiting_.size(); }

    // What is heard of one of them.
    void claimed(SessionId id);            // its viewer names it, at the same server
    void claimed_elsewhere(SessionId id);  // or at another one
    void plays(SessionId id);              // its server says so
    void ended(SessionId id);              // its server says so, or has started since
    void lost_power(SessionId id);         // with its server: it plays no more

    // Questions that are due; `peers`: who is there now.
    std::vector<Question> ask(const std::vector<std::string>& peers, double now);
    void told(const std::string& peer, std::uint64_t number, const std::vector<SessionId>& held);

    struct Done {
        SessionId id = 0;
        Outcome outcome = Outcome::Left;
    };
    // What has been decided by `now`; each session is named once.
    std::vector<Done> decide(double now);
    double due() const;  // infinity: nothing is open

    std::uint64_t count(Outcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }

private:
    struct Waiting {
        bool intent = false;
        Trust trust = Trust::Hint;
        SessionWords words;
    };
    struct Part {  // of the sessions, asked for together
        std::vector<SessionId> sessions;
        std::set<std::string> answered;
    };
    void settle(SessionId id, Outcome outcome);
    bool all_answered(const Part& part) const;
    static Outcome outcome_of(const Waiting& waiting, bool answered);

    const ReconciliationSettings set_;
    const double claims_end_;
    double next_ask_;
    std::map<SessionId, Waiting> waiting_;
    std::vector<Done> done_;
    std::map<std::uint64_t, Part> parts_;  // made with the first question
    std::set<std::string> peers_;          // whoever was there at any time since
    std::array<std::uint64_t, 5> counts_{};
};

}  // namespace jasperspread::recovery
