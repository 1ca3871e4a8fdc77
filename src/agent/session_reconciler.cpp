#include "session_reconciler.h"

#include <limits>
#include <vector>

namespace jasperspread::agent {
namespace {

recovery::ReconciliationSettings reconciliation_settings(const MemoryOrder& order) {
    recovery::ReconciliationSettings settings;
    settings.claim_s = order.settings.claim_s;
    return settings;
}

// Sessions longer than this are not known; what was written before is taken for over, s.
constexpr double longest_session_s = 6 * 3600;

}  // namespace

SessionReconciler::SessionReconciler(net::Loop& loop, Log& log, const MemoryOrder& order,
                                     std::optional<std::uint32_t> zone, const ServerDirectory& directory,
                                     Memory& memory)
    : loop_(loop),
      log_(log),
      zone_(zone),
      directory_(directory),
      memory_(memory),
      reconciliation_(reconciliation_settings(order), loop.now()),
      timer_(loop) {
    // Until it is known who else lost power, all that may still be is taken for a hint.
    for (const store::SessionRecord& record : order.found.sessions) {
        const RememberedSession& session = sessions_[record.id] = {
            record.server, record.at, record.phase == store::Phase::Intent, std::nullopt};
        reconciliation_.remember(record.id, session.intent, trust_of(session, recovery::Scope::Process));
    }
    remembered_ = sessions_.size();
    if (order.found.set_aside) log_.warn("store_damaged_set_aside");
    if (order.found.damaged > 0)
        log_.warn("store_records_damaged", {{"count", std::to_string(order.found.damaged)}});
    log_.info("store_read", {{"life", std::to_string(order.found.before.starts + 1)},
                             {"sessions", std::to_string(remembered_)}});
}

recovery::Trust SessionReconciler::trust_of(const RememberedSession& session, recovery::Scope scope) const {
    using recovery::Thing;
    const auto number = directory_.number_of(session.server);
    const KnownServer* server = number ? directory_.find(*number) : nullptr;
    const bool here = server == nullptr || !zone_ || server->entry.zone == *zone_;
    return trust({session.intent ? Thing::PaidSetUp : Thing::Session, loop_.now() - session.at, here,
                  longest_session_s},
                 scope);
}

// What stood at a server that lost its power with us is over, unless the list tells that the server has run
// since before: nobody may have been there to say that it kept its power.
void SessionReconciler::scope_is(recovery::Scope scope) {
    std::vector<SessionId> lost;
    for (const auto& [id, session] : sessions_) {
        if (!reconciliation_.holds(id) || trust_of(session, scope) != recovery::Trust::Void) continue;
        const auto number = directory_.number_of(session.server);
        const KnownServer* server = number ? directory_.find(*number) : nullptr;
        const auto start = server != nullptr ? server->entry.last_start : std::nullopt;
        const bool ran = scope != recovery::Scope::Process && start && *start <= session.at;
        if (!ran) lost.push_back(id);
    }
    for (const SessionId id : lost) reconciliation_.lost_power(id);
    if (servers_ != nullptr) step();
}

void SessionReconciler::connect(ServerPort& servers) {
    servers_ = &servers;
    schedule();
}

// Listens where a session may play: what its server says of it comes on any connection.
void SessionReconciler::listed() {
    std::vector<SessionId> over;
    for (auto& [id, session] : sessions_) {
        if (!reconciliation_.holds(id)) continue;
        const auto number = directory_.number_of(session.server);
        const KnownServer* known = number ? directory_.find(*number) : nullptr;
        if (known == nullptr) continue;
        // A process that started after that was written can't hold it.
        if (known->entry.last_start && *known->entry.last_start > session.at) over.push_back(id);
        if (session.number) continue;
        session.number = number;
        servers_->adopt(id, *number);
    }
    for (const SessionId id : over) ended(id);
    schedule();
}

void SessionReconciler::talk(Peers& peers) {
    peers_ = &peers;
    peers.hear_answers([this](const fleet::Name& by, std::uint64_t number, const Peers::Sessions& held) {
        reconciliation_.told(by, number, held);
        schedule();
    });
}

void SessionReconciler::claimed(SessionId id, ServerNumber server) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !reconciliation_.holds(id)) return;
    const auto number = directory_.number_of(it->second.server);
    if (number == server) {
        reconciliation_.claimed(id);
    } else {
        reconciliation_.claimed_elsewhere(id);
    }
    step();
}

void SessionReconciler::ended(SessionId id) {
    reconciliation_.ended(id);
    schedule();
}

void SessionReconciler::process_gone(ServerNumber server) {
    std::vector<SessionId> there;
    for (const auto& [id, session] : sessions_) {
        if (session.number == server) there.push_back(id);
    }
    for (const SessionId id : there) reconciliation_.ended(id);
    schedule();
}

void SessionReconciler::schedule() {
    const double due = reconciliation_.due();
    if (due == std::numeric_limits<double>::infinity()) return timer_.cancel();
    timer_.set(std::max(due, loop_.now()), [this] { step(); });
}

std::vector<std::string> SessionReconciler::known_peers() const {
    return peers_ == nullptr ? std::vector<std::string>{} : peers_->membership().there();
}

void SessionReconciler::step() {
    for (const recovery::Question& one : reconciliation_.ask(known_peers(), loop_.now()))
        peers_->ask(one.peer, one.number, one.sessions);
    for (const auto& done : reconciliation_.decide(loop_.now())) {
        const auto it = sessions_.find(done.id);
        const bool listens = it != sessions_.end() && it->second.number.has_value();
        // A session that was claimed at its server is adopted anew by whoever is told of the claim.
        if (listens && done.outcome == recovery::Outcome::Released) servers_->end_session(done.id);
        if (listens && done.outcome != recovery::Outcome::Released && done.outcome != recovery::Outcome::Kept)
            servers_->forget(done.id);
        if (done.outcome != recovery::Outcome::Kept) memory_.erase(done.id);
        if (it != sessions_.end()) sessions_.erase(it);
    }
    using recovery::Outcome;
    if (remembered_ > 0 && reconciliation_.open() == 0) {
        remembered_ = 0;
        const auto count = [this](Outcome outcome) { return std::to_string(reconciliation_.count(outcome)); };
        log_.info("returned", {{"kept", count(Outcome::Kept)},
                               {"left", count(Outcome::Left)},
                               {"released", count(Outcome::Released)},
                               {"over", count(Outcome::Over)},
                               {"failed", count(Outcome::Failed)}});
    }
    schedule();
}

}  // namespace jasperspread::agent
