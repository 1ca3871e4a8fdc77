#include "returner.h"

#include <limits>
#include <vector>

namespace jasperspread::agent {
namespace {

recovery::ReturnSettings return_settings(const MemoryOrder& order) {
    recovery::ReturnSettings settings;
    settings.claim_s = order.settings.claim_s;
    return settings;
}

// Sessions longer than this are not known; what was written before is taken for over, s.
constexpr double longest_session_s = 6 * 3600;

}  // namespace

Returner::Returner(net::Loop& loop, Log& log, const MemoryOrder& order, std::optional<std::uint32_t> zone,
                   const ServerDirectory& directory, Memory& memory)
    : loop_(loop),
      log_(log),
      zone_(zone),
      directory_(directory),
      memory_(memory),
      returning_(return_settings(order), loop.now()),
      timer_(loop) {
    // Until it is known who else lost power, all that may still be is taken for a hint.
    for (const store::SessionRecord& record : order.found.sessions) {
        const Stay& stay = stays_[record.id] = {record.server, record.at,
                                                record.phase == store::Phase::Intent, std::nullopt};
        returning_.remember(record.id, stay.intent, trust_of(stay, recovery::Scope::Process));
    }
    remembered_ = stays_.size();
    if (order.found.set_aside) log_.warn("store_damaged_set_aside");
    if (order.found.damaged > 0)
        log_.warn("store_records_damaged", {{"count", std::to_string(order.found.damaged)}});
    log_.info("store_read", {{"life", std::to_string(order.found.before.lives + 1)},
                             {"sessions", std::to_string(remembered_)}});
}

recovery::Trust Returner::trust_of(const Stay& stay, recovery::Scope scope) const {
    using recovery::Thing;
    const auto number = directory_.number_of(stay.server);
    const KnownServer* server = number ? directory_.find(*number) : nullptr;
    const bool here = server == nullptr || !zone_ || server->entry.zone == *zone_;
    return trust(
        {stay.intent ? Thing::PaidSetUp : Thing::Session, loop_.now() - stay.at, here, longest_session_s},
        scope);
}

// What stood at a server that lost its power with us is over, unless the list tells that the server has run
// since before: nobody may have been there to say that it kept its power.
void Returner::scope_is(recovery::Scope scope) {
    std::vector<SessionId> lost;
    for (const auto& [id, stay] : stays_) {
        if (!returning_.holds(id) || trust_of(stay, scope) != recovery::Trust::Void) continue;
        const auto number = directory_.number_of(stay.server);
        const KnownServer* server = number ? directory_.find(*number) : nullptr;
        const auto start = server != nullptr ? server->entry.last_start : std::nullopt;
        const bool ran = scope != recovery::Scope::Process && start && *start <= stay.at;
        if (!ran) lost.push_back(id);
    }
    for (const SessionId id : lost) returning_.lost_power(id);
    if (servers_ != nullptr) turn();
}

void Returner::connect(ServerPort& servers) {
    servers_ = &servers;
    wait();
}

// Listens where a session may play: what its server says of it comes on any connection.
void Returner::listed() {
    std::vector<SessionId> over;
    for (auto& [id, stay] : stays_) {
        if (!returning_.holds(id)) continue;
        const auto number = directory_.number_of(stay.server);
        const KnownServer* known = number ? directory_.find(*number) : nullptr;
        if (known == nullptr) continue;
        // A process that started after that was written can't hold it.
        if (known->entry.last_start && *known->entry.last_start > stay.at) over.push_back(id);
        if (stay.number) continue;
        stay.number = number;
        servers_->adopt(id, *number);
    }
    for (const SessionId id : over) ended(id);
    wait();
}

void Returner::talk(Peers& peers) {
    peers_ = &peers;
    peers.hear_answers([this](const fleet::Name& by, std::uint64_t number, const Peers::Sessions& held) {
        returning_.told(by, number, held);
        wait();
    });
}

void Returner::claimed(SessionId id, ServerNumber server) {
    const auto it = stays_.find(id);
    if (it == stays_.end() || !returning_.holds(id)) return;
    const auto number = directory_.number_of(it->second.server);
    if (number == server) {
        returning_.claimed(id);
    } else {
        returning_.claimed_elsewhere(id);
    }
    turn();
}

void Returner::ended(SessionId id) {
    returning_.ended(id);
    wait();
}

void Returner::process_gone(ServerNumber server) {
    std::vector<SessionId> there;
    for (const auto& [id, stay] : stays_) {
        if (stay.number == server) there.push_back(id);
    }
    for (const SessionId id : there) returning_.ended(id);
    wait();
}

void Returner::wait() {
    const double due = returning_.due();
    if (due == std::numeric_limits<double>::infinity()) return timer_.cancel();
    timer_.set(std::max(due, loop_.now()), [this] { turn(); });
}

std::vector<std::string> Returner::others() const {
    return peers_ == nullptr ? std::vector<std::string>{} : peers_->membership().there();
}

void Returner::turn() {
    for (const recovery::Question& one : returning_.ask(others(), loop_.now()))
        peers_->ask(one.peer, one.number, one.sessions);
    for (const auto& done : returning_.decide(loop_.now())) {
        const auto it = stays_.find(done.id);
        const bool listens = it != stays_.end() && it->second.number.has_value();
        // A session that was claimed at its server is adopted anew by whoever is told of the claim.
        if (listens && done.fate == recovery::Fate::Released) servers_->end_session(done.id);
        if (listens && done.fate != recovery::Fate::Released && done.fate != recovery::Fate::Kept)
            servers_->forget(done.id);
        if (done.fate != recovery::Fate::Kept) memory_.erase(done.id);
        if (it != stays_.end()) stays_.erase(it);
    }
    using recovery::Fate;
    if (remembered_ > 0 && returning_.open() == 0) {
        remembered_ = 0;
        const auto count = [this](Fate fate) { return std::to_string(returning_.count(fate)); };
        log_.info("returned", {{"kept", count(Fate::Kept)},
                               {"left", count(Fate::Left)},
                               {"released", count(Fate::Released)},
                               {"over", count(Fate::Over)},
                               {"failed", count(Fate::Failed)}});
    }
    wait();
}

}  // namespace jasperspread::agent
