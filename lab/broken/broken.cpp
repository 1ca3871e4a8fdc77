#include "broken.h"

#include <algorithm>

#include "lab/model/world.h"

namespace lab {

using namespace jasperspread::agent;

const std::vector<NamedFault>& all_faults() {
    static const std::vector<NamedFault> all = {
        {Fault::AnswersKept, "answers-kept"},
        {Fault::AnswersTwice, "answers-twice"},
        {Fault::AnswersLate, "answers-late"},
        {Fault::AnswersChanged, "answers-changed"},
        {Fault::PaidRefused, "paid-refused"},
        {Fault::PaidAgainReset, "paid-again-reset"},
        {Fault::PaidAgainTimeout, "paid-again-timeout"},
        {Fault::PaidAgainRestart, "paid-again-restart"},
        {Fault::DrainsIgnored, "drains-ignored"},
        {Fault::FourAttempts, "four-attempts"},
        {Fault::TwoOut, "two-out"},
        {Fault::OverSwallowed, "over-swallowed"},
        {Fault::EndSwallowed, "end-swallowed"},
        {Fault::ColdFlooded, "cold-flooded"},
        {Fault::KeptForEver, "kept-for-ever"},
        {Fault::ForwardsLate, "forwards-late"},
    };
    return all;
}

std::optional<Fault> fault_named(std::string_view name) {
    for (const NamedFault& one : all_faults()) {
        if (one.name == name) return one.fault;
    }
    return std::nullopt;
}

bool Broken::strikes(Fault fault, int every) {
    return fault_ == fault && ++could_ % every == 0;
}

bool Broken::paid(const std::string& class_name) const {
    const auto it = std::find(classes_.begin(), classes_.end(), class_name);
    return it != classes_.end() && paid_[static_cast<std::size_t>(it - classes_.begin())];
}

std::optional<ServerNumber> Broken::another(ServerNumber but) const {
    for (const ServerNumber one : servers_seen_) {
        if (one != but) return one;
    }
    return std::nullopt;
}

void Broken::starts(jasperspread::net::Loop& loop, Config& config) {
    loop_ = &loop;
    auto& settings = config.profile.settings;
    classes_ = config.profile.class_names;
    for (const auto& cls : settings.classes)
        paid_.push_back(cls.semantics == cinderfront::Semantics::NonIdempotent);
    if (fault_ == Fault::ColdFlooded) settings.cold = 0;
}

// As one that takes what it had begun for unsent.
void Broken::remembers(const jasperspread::store::Found& found) {
    if (fault_ != Fault::PaidAgainRestart) return;
    constexpr double servers_seen_s = 1, at_most_s = 1;
    for (const auto& record : found.sessions) {
        if (record.phase != jasperspread::store::Phase::Intent) continue;
        loop_->deadlines().add(loop_->now() + servers_seen_s, [this, record] {
            if (servers_seen_.empty()) return;
            servers_->set_up({record.id, servers_seen_.front(), record.class_name, record.title,
                              describe({1, 0}), 0, loop_->now() + at_most_s});
        });
    }
}

void Broken::heard(ListChange& change) {
    if (fault_ != Fault::DrainsIgnored) return;
    for (MemberChange& member : change.members) {
        if (member.entry.state == cinderfront::ServerState::Leaving)
            member.entry.state = cinderfront::ServerState::Up;
    }
}

// ---- Towards viewers ----

void Broken::answered(SessionId id, const std::string& description) {
    if (strikes(Fault::AnswersKept, 50)) return;
    if (strikes(Fault::AnswersTwice, 10)) viewers_->answered(id, description);
    if (strikes(Fault::AnswersChanged, 10)) return viewers_->answered(id, description + " ");
    if (strikes(Fault::AnswersLate, 5)) {
        constexpr double late_s = 1.2;  // past the slack of any driver
        const double at = std::max(loop_->now(), out_[id].deadline + late_s);
        loop_->deadlines().add(at, [this, id, description] { viewers_->answered(id, description); });
        return;
    }
    viewers_->answered(id, description);
}

void Broken::failed(SessionId id) {
    if (fault_ == Fault::PaidRefused) return viewers_->refused(id, 0);
    viewers_->failed(id);
}

void Broken::over(SessionId id, SessionEnd how) {
    if (how != SessionEnd::ViewerLeft && strikes(Fault::OverSwallowed, 5)) return;
    viewers_->over(id, how);
}

// ---- Towards servers ----

void Broken::set_up(const Attempt& attempt) {
    Out& out = out_[attempt.id];
    out.attempt = attempt;
    if (std::find(servers_seen_.begin(), servers_seen_.end(), attempt.server) == servers_seen_.end())
        servers_seen_.push_back(attempt.server);
    if (strikes(Fault::TwoOut, 5)) {
        // A server that it goes to at once, and the module's own a moment later.
        Attempt beside = attempt;
        beside.server = another(attempt.server).value_or(attempt.server);
        servers_->set_up(beside);
        constexpr double moment_s = 0.15;  // in which the first one's record is on disk, where it has one
        loop_->deadlines().add(loop_->now() + moment_s, [this, attempt] { servers_->set_up(attempt); });
        return;
    }
    servers_->set_up(attempt);
}

AttemptProgress Broken::give_up(SessionId id) {
    const AttemptProgress was = servers_->give_up(id);
    if (fault_ != Fault::PaidAgainTimeout || was != AttemptProgress::Sent ||
        !paid(out_[id].attempt.class_name))
        return was;
    Attempt again = out_[id].attempt;
    again.server = another(again.server).value_or(again.server);
    again.give_up_at = loop_->now() + 1;
    servers_->set_up(again);
    return was;
}

void Broken::end_session(SessionId id) {
    if (strikes(Fault::EndSwallowed, 5)) return;
    servers_->end_session(id);
}

// ---- From viewers ----

void Broken::set_up(const SetUp& set_up) {
    out_[set_up.request.id].deadline = set_up.request.not_after;
    if (strikes(Fault::ForwardsLate, 2)) {
        constexpr double late_s = 1;
        loop_->deadlines().add(loop_->now() + late_s, [this, set_up] { from_viewers_->set_up(set_up); });
        return;
    }
    from_viewers_->set_up(set_up);
}

void Broken::given_up(SessionId id) {
    if (strikes(Fault::KeptForEver, 3)) return;
    from_viewers_->given_up(id);
}

// ---- From servers ----

void Broken::started(SessionId id, const std::string& description) {
    Out& out = out_[id];
    const bool goes_on = out.more > 0 && out.more < 3;
    if (!paid(out.attempt.class_name) && (goes_on || strikes(Fault::FourAttempts, 20))) {
        ++out.more;
        servers_->give_up(id);
        servers_->end_session(id);
        return servers_->set_up(out.attempt);
    }
    from_servers_->started(id, description);
}

void Broken::attempt_ended(SessionId id, Ending how, const Load& load) {
    Out& out = out_[id];
    if (fault_ == Fault::PaidAgainReset && how == Ending::Dropped && out.more++ == 0 &&
        paid(out.attempt.class_name)) {
        Attempt again = out.attempt;
        again.server = another(again.server).value_or(again.server);
        return servers_->set_up(again);
    }
    from_servers_->attempt_ended(id, how, load);
}

}  // namespace lab
