// What the decision module wants done with the sessions.
#include <algorithm>
#include <utility>

#include "agent/session_table.h"

namespace jasperspread::agent {

using cinderfront::Ending;

void SessionTable::act(const cinderfront::Send& action) {
    Session* session = find(action.id);
    if (session == nullptr || session->phase == Phase::Standing) return;
    const double now = loop_.now();
    const double not_after = session->asked.request.not_after;
    const std::uint32_t attempt = session->attempts++;
    const auto unused = [&] {
        tell(cinderfront::Outcome{
            action.id, attempt, action.server, Ending::Unused, 0, session->phase == Phase::Answered, {}});
    };
    const KnownServer* server = directory_.find(action.server);
    const bool over_limit = settings_.try_limit > 0 && attempt >= settings_.try_limit;
    if (session->phase == Phase::Answered || session->out || over_limit || now >= not_after ||
        server == nullptr || !server->may_take_new() || may_live_at_address(*session, action.server)) {
        return unused();
    }
    session->out = true;
    session->server = action.server;
    session->sent_at = now;
    const double cap = action.give_up_after != 0 ? now + action.give_up_after : not_after;
    const double give_up_at = std::clamp(cap, now, not_after);
    session->cap = loop_.deadlines().add(give_up_at, [this, id = action.id] {
        Session* late = find(id);
        if (late == nullptr) return;
        late->cap = {0, 0};
        withdraw(id, *late, Ending::Expired);
    });
    const Attempt sent{action.id,
                       action.server,
                       session->asked.class_name,
                       session->asked.title,
                       session->asked.description,
                       session->rung,
                       give_up_at};
    requests_.attempt_sent(sent, attempt);
    servers_->set_up(sent);
}

// Guards against a second attempt at a process that may hold the first one: the module knows servers by
// their numbers, and this one may have been reached under the number of the one that had its address before.
bool SessionTable::may_live_at_address(const Session& session, ServerNumber server) const {
    return std::any_of(session.unsettled.begin(), session.unsettled.end(), [&](ServerNumber earlier) {
        return earlier != server && directory_.holder_of_address(earlier) == server;
    });
}

void SessionTable::act(const cinderfront::SetRung& action) {
    Session* session = find(action.id);
    if (session == nullptr || session->rung == action.rung) return;
    session->rung = action.rung;
    if (session->out) servers_->set_rung(action.id, action.rung);
}

void SessionTable::act(const cinderfront::Cancel& action) {
    Session* session = find(action.id);
    if (session == nullptr || !session->out || session->attempts != action.attempt + 1) return;
    withdraw(action.id, *session, Ending::Revoked);
}

void SessionTable::act(const cinderfront::Refuse& action) {
    Session* session = find(action.id);
    if (session == nullptr || session->phase != Phase::Asked) return;
    set_phase(*session, Phase::Answered);
    ++flow_of(*session).turned;
    requests_.settled(action.id, Settlement::Refused, SettledBy::Module);
    viewers_->refused(action.id, settings_.can_advise_retry ? action.retry_after : 0);
    drop_if_done(action.id);
}

void SessionTable::act(const cinderfront::Fail& action) {
    Session* session = find(action.id);
    if (session == nullptr || session->phase != Phase::Asked) return;
    set_phase(*session, Phase::Answered);
    requests_.settled(action.id, Settlement::Failed, SettledBy::Module);
    viewers_->failed(action.id);
    drop_if_done(action.id);
}

void SessionTable::act(const cinderfront::Move& action) {
    Session* session = find(action.id);
    if (session == nullptr || session->phase != Phase::Standing) return;
    if (handovers_) handovers_->cancel(action.id);
    viewers_->moved(action.id);
    servers_->end_session(action.id);
    end_attempt(action.id, Ending::Revoked, {});
}

void SessionTable::act(const cinderfront::Offer& action) {
    if (handovers_) handovers_->offered(action);
}

void SessionTable::act(const cinderfront::Timer& action) {
    loop_.deadlines().add(action.at, [this, token = action.token] { tell(cinderfront::TimerFired{token}); });
}

void SessionTable::act(const cinderfront::Probe& action) {
    if (settings_.can_probe) servers_->probe(action.server);
}

void SessionTable::act(const cinderfront::CloseIdle& action) {
    servers_->close_idle(action.server);
}

void SessionTable::act(const cinderfront::Tell&) {
    log_.fault("module_speaks_to_peers");
}

void SessionTable::act(const cinderfront::Trace& action) {
    log_.info("module", {{"text", action.text}});
}

}  // namespace jasperspread::agent
