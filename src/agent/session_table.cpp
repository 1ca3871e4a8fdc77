#include "session_table.h"

#include <algorithm>
#include <utility>

#include "codec/message.h"

namespace jasperspread::agent {

using cinderfront::Ending;
using cinderfront::LoadReport;

namespace {

// The module ends a set-up some 20 ms before the viewer's time is up; the net takes what it has missed.
constexpr double net_margin_s = 0.005;

// Ids never come twice. Clients that break this rule come again within moments.
constexpr double remembered_s = 30;
// At most a twentieth of the memory goes to ids that are remembered: one for so many bytes of it.
constexpr std::size_t memory_for_each_id = 1000;

std::size_t text_bytes(const SetUp& set_up) {
    return set_up.class_name.size() + set_up.title.size() + set_up.description.size();
}

bool proves_unrun(Ending how) {
    return how == Ending::Shed || how == Ending::DialFailed || how == Ending::Unused;
}

}  // namespace

SessionTable::SessionTable(net::Loop& loop, Log& log, const cinderfront::Settings& settings,
                           std::uint64_t seed, const ServerDirectory& directory, std::size_t memory)
    : loop_(loop),
      log_(log),
      requests_(log),
      settings_(settings),
      directory_(directory),
      module_(settings, seed),
      bounds_(memory),
      recent_(remembered_s, memory / memory_for_each_id) {}

void SessionTable::connect(ViewerPort& viewers, ServerPort& servers) {
    viewers_ = &viewers;
    servers_ = &servers;
}

// Events that come up while one is told wait for their turn, so that the module is never entered twice.
void SessionTable::tell(cinderfront::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(telling_, true)) return;
    std::vector<cinderfront::Action> actions;
    while (!events_.empty()) {
        const cinderfront::Event next = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        module_.handle(loop_.now(), next, actions);
        for (const auto& action : actions) {
            std::visit([this](const auto& what) { act(what); }, action);
        }
    }
    telling_ = false;
}

SessionTable::Session* SessionTable::find(SessionId id) {
    const auto it = sessions_.find(id);
    return it == sessions_.end() ? nullptr : &it->second;
}

bool SessionTable::holds(SessionId id) const {
    const auto it = sessions_.find(id);
    return it != sessions_.end() && it->second.phase != Phase::Answered;
}

void SessionTable::set_phase(Session& session, Phase phase) {
    unanswered_ -= session.phase == Phase::Asked ? 1 : 0;
    standing_ -= session.phase == Phase::Standing ? 1 : 0;
    session.phase = phase;
    standing_ += phase == Phase::Standing ? 1 : 0;
    if (phase != Phase::Asked) drop_deadline(session.net);
}

SessionTable::Flow& SessionTable::flow_of(const Session& session) {
    const auto cls = session.asked.request.cls;
    return flows_[cls < settings_.classes.size() && is_paid(settings_.classes[cls]) ? 1 : 0];
}

void SessionTable::drop_deadline(net::Deadlines::Key& key) {
    if (key.second != 0) loop_.deadlines().cancel(key);
    key = {0, 0};
}

// ---- From the viewers ----

void SessionTable::set_up(const SetUp& set_up) {
    const SessionId id = set_up.request.id;
    if (sessions_.contains(id)) return;  // handed over again, or sent again: it is held already
    if (set_up.playing_at) return take_over(set_up);
    const bool has_room = bounds_.has_room(text_bytes(set_up)) && recent_.has_room(loop_.now());
    if (!has_room) log_.warn("no_room_for_set_up", {{"session", codec::to_hex(id)}});
    if (takes_no_more_ || !has_room) return viewers_->refused(id, 0);
    Session& session = add(id, set_up);
    ++unanswered_;
    ++flow_of(session).asked;
    requests_.taken(set_up);
    session.net =
        loop_.deadlines().add(set_up.request.not_after - net_margin_s, [this, id] { answer_in_time(id); });
    tell(cinderfront::NewRequest{set_up.request});
}

SessionTable::Session& SessionTable::add(SessionId id, const SetUp& set_up) {
    Session& session = sessions_[id];
    session.asked = set_up;
    bounds_.add(text_bytes(set_up));
    return session;
}

// Any client may say of any id that it plays somewhere: more than a server can run, or than there is room
// for, are not believed.
bool SessionTable::may_take_over(const SetUp& set_up) {
    const auto server = directory_.number_of(*set_up.playing_at);
    if (!server || sessions_.contains(set_up.request.id)) return true;
    return bounds_.has_room(0) && bounds_.has_room_at(*server, runs_at_most(*server));
}

// A session of an earlier incarnation.
void SessionTable::take_over(const SetUp& set_up) {
    const SessionId id = set_up.request.id;
    const auto server = directory_.number_of(*set_up.playing_at);
    if (!server) {  // any client can say so, as often as it likes
        if (log_.wants(Level::Debug))
            log_.debug("handed_over_at_unknown_server", {{"session", codec::to_hex(id)}});
        return;
    }
    if (!may_take_over(set_up)) return;
    SetUp asked = set_up;
    asked.description.clear();  // only its server needs it, and has it
    Session& session = add(id, asked);
    session.phase = Phase::Standing;
    ++standing_;
    session.out = true;
    session.attempts = 1;
    session.server = *server;
    session.handed_over_at = *server;
    bounds_.add_at(*server);
    if (log_.wants(Level::Debug))
        log_.debug("session_taken_over",
                   {{"session", codec::to_hex(id)}, {"server", std::to_string(*server)}});
    tell(cinderfront::TakenOver{asked.request, *server});
    servers_->adopt(id, *server);
}

// 0: not known.
double SessionTable::runs_at_most(ServerNumber server) const {
    const KnownServer* known = directory_.find(server);
    const auto& runs = settings_.places_by_kind;
    return known != nullptr && known->entry.kind < runs.size() ? runs[known->entry.kind] : 0;
}

bool SessionTable::may_have_run(SessionId id) {
    return sessions_.contains(id) || recent_.contains(id, loop_.now());
}

void SessionTable::given_up(SessionId id) {
    Session* session = find(id);
    if (session == nullptr || session->phase == Phase::Answered) return;
    if (session->phase == Phase::Standing) {
        if (handovers_) handovers_->cancel(id);
        servers_->end_session(id);
        end_attempt(id, Ending::Revoked, {});
        return;
    }
    set_phase(*session, Phase::Answered);
    requests_.settled(id, Settlement::GivenUp, SettledBy::Viewer);
    withdraw_unwanted(id);
}

// Guards against a set-up that would go unanswered, whatever the module does: a lost request voids the day.
void SessionTable::answer_in_time(SessionId id) {
    Session* session = find(id);
    if (session == nullptr || session->phase != Phase::Asked) return;
    session->net = {0, 0};
    log_.fault("no_answer_at_deadline", {{"session", codec::to_hex(id)}});
    answer_unserved(id, *session, SettledBy::Deadline);
}

// The final answer to a set-up that nobody serves: refused only where no attempt may have run.
void SessionTable::answer_unserved(SessionId id, Session& session, SettledBy who) {
    set_phase(session, Phase::Answered);
    const bool fails = session.out || session.may_have_run;
    requests_.settled(id, fails ? Settlement::Failed : Settlement::Refused, who);
    fails ? viewers_->failed(id) : viewers_->refused(id, 0);
    withdraw_unwanted(id);
}

// Nobody wants its answer any more: the module is told, and the server where an attempt is out.
void SessionTable::withdraw_unwanted(SessionId id) {
    tell(cinderfront::Abandoned{id});
    Session* session = find(id);
    if (session != nullptr && session->out) withdraw(id, *session, Ending::Revoked);
    drop_if_done(id);
}

void SessionTable::take_no_more() {
    takes_no_more_ = true;
    for (const SessionId id : ids_in(Phase::Asked)) {
        Session* session = find(id);
        if (session == nullptr || session->phase != Phase::Asked) continue;
        answer_unserved(id, *session, SettledBy::ProgramEnd);
    }
}

// Ascending, so that each run of a seed does the same.
std::vector<SessionId> SessionTable::ids_in(Phase phase) const {
    std::vector<SessionId> ids;
    for (const auto& [id, session] : sessions_) {
        if (session.phase == phase) ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

// A session would otherwise play on at its server unheard of, and its viewer would learn late that it must
// ask another agent.
void SessionTable::end_all() {
    for (const SessionId id : ids_in(Phase::Standing)) {
        if (handovers_) handovers_->cancel(id);
        viewers_->over(id, SessionEnd::Broken);
        servers_->end_session(id);
        end_attempt(id, Ending::Revoked, {});
    }
}

// ---- From the servers ----

void SessionTable::started(SessionId id, const std::string& description) {
    Session* session = find(id);
    if (session == nullptr || session->phase == Phase::Standing || !session->out) return;
    if (session->phase == Phase::Answered) {  // the answer crossed the end of the set-up: nobody wants it
        servers_->end_session(id);
        return end_attempt(id, Ending::Revoked, {});
    }
    drop_deadline(session->cap);
    set_phase(*session, Phase::Standing);
    ++flow_of(*session).answered;
    requests_.settled(id, Settlement::Answered, SettledBy::Server);
    viewers_->answered(id, description);
    tell(cinderfront::Started{id, session->server, session->attempts - 1, loop_.now() - session->sent_at});
}

void SessionTable::attempt_ended(SessionId id, Ending how, const LoadReport& load) {
    end_attempt(id, how, load);
}

void SessionTable::session_ended(SessionId id, Ending how, const LoadReport& load) {
    const Session* session = find(id);
    if (session == nullptr || session->phase != Phase::Standing) return;
    if (handovers_ && handovers_->source_ended(id))
        return;  // it goes on elsewhere, or that is about to be known
    // The viewer hears first: what has stood must be released towards it at once.
    viewers_->over(id, how == Ending::Delivered ? SessionEnd::Completed
                       : how == Ending::Revoked ? SessionEnd::ViewerLeft
                                                : SessionEnd::Broken);
    end_attempt(id, how, load);
}

void SessionTable::noted(SessionId id, cinderfront::NoteKind kind, double value) {
    const Session* session = find(id);
    if (session == nullptr || !session->out) return;
    if (handovers_) handovers_->noted(session->server, kind, value);
    tell(cinderfront::Note{id, kind, session->attempts - 1, session->server, value});
}

// ---- Hand-overs ----

void SessionTable::hand_over(const HandoverOrder& order) {
    if (handovers_) return handovers_->change(order);
    // Other agents hear of a shortage within the time between two notes.
    const double spread = std::max(settings_.told_every, 1.0);
    handovers_ =
        std::make_unique<HandoverCoordinator>(loop_, log_, directory_, static_cast<MovableSessions&>(*this),
                                              *servers_, order, spread, settings_.position + 1);
}

void SessionTable::begin_no_moves() {
    if (handovers_) handovers_->stop();
}

void SessionTable::handed(SessionId id, ServerNumber from, const HandoverReply& reply) {
    if (handovers_) handovers_->handed(id, from, reply);
}

void SessionTable::ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, Ending how) {
    if (handovers_) handovers_->ended_at(id, from, epoch, how);
}

void SessionTable::process_gone(ServerNumber server) {
    if (handovers_) handovers_->process_gone(server);
}

MovableSessions::Movable SessionTable::movable_of(SessionId id, const Session& session) const {
    return {id, session.server, settings_.classes[session.asked.request.cls].points, &session.asked};
}

// Of a session that was taken over the agent knows no description, and of its server's fence nothing.
std::vector<MovableSessions::Movable> SessionTable::movable() const {
    std::vector<Movable> list;
    for (const auto& [id, session] : sessions_) {
        const bool stands = session.phase == Phase::Standing && session.out;
        if (stands && !session.asked.playing_at) list.push_back(movable_of(id, session));
    }
    std::sort(list.begin(), list.end(), [](const Movable& a, const Movable& b) { return a.id < b.id; });
    return list;
}

std::optional<MovableSessions::Movable> SessionTable::movable(SessionId id) const {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second.phase != Phase::Standing || !it->second.out) return std::nullopt;
    return movable_of(id, it->second);
}

void SessionTable::moved(SessionId id, ServerNumber to, int rung) {
    Session* session = find(id);
    if (session == nullptr || session->phase != Phase::Standing) return;
    session->server = to;
    session->rung = rung;
    servers_->reassign(id, to, rung);
    tell(cinderfront::HandoverCompleted{id, to, rung});
}

void SessionTable::lost(SessionId id, Ending how) {
    const Session* session = find(id);
    if (session == nullptr || session->phase != Phase::Standing) return;
    viewers_->over(id, how == Ending::Delivered ? SessionEnd::Completed : SessionEnd::Broken);
    servers_->end_session(id);
    end_attempt(id, how, {});
}

void SessionTable::probed(ServerNumber server, Ending how, double latency, const LoadReport& load) {
    tell(cinderfront::ProbeResult{server, how, latency, load});
}

// The one outcome of the attempt that is out.
void SessionTable::end_attempt(SessionId id, Ending how, const LoadReport& load) {
    Session* session = find(id);
    if (session == nullptr || !session->out) return;
    drop_deadline(session->cap);
    session->out = false;
    if (session->phase == Phase::Standing) {
        requests_.session_over(id, session->server, how);
        set_phase(*session, Phase::Answered);
    } else {
        requests_.attempt_ended(id, session->attempts - 1, session->server, how);
    }
    session->may_have_run = session->may_have_run || !proves_unrun(how);
    if (!proves_unrun(how) && how != Ending::AppError) session->unsettled.push_back(session->server);
    cinderfront::Outcome outcome{id,  session->attempts - 1,          session->server,
                                 how, loop_.now() - session->sent_at, session->phase == Phase::Answered,
                                 load};
    drop_if_done(id);
    tell(outcome);
}

// Takes the attempt back: the server is told, and the module.
void SessionTable::withdraw(SessionId id, Session& session, Ending how) {
    if (session.phase == Phase::Standing) return;
    const AttemptProgress was = servers_->give_up(id);
    // Guards against a dead machine that goes unsuspected: where the time allowed is shorter than a connect
    // may take, the connect never fails by itself, and each set-up would be tried there again.
    const bool dialled_in_vain = was == AttemptProgress::Connecting && how == Ending::Expired;
    end_attempt(id,
                was == AttemptProgress::Sent ? how
                : dialled_in_vain            ? Ending::DialFailed
                                             : Ending::Unused,
                {});
}

void SessionTable::drop_if_done(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second.phase != Phase::Answered || it->second.out) return;
    const Session& session = it->second;
    drop_deadline(it->second.cap);
    if (session.may_have_run) recent_.add(id, loop_.now());
    if (session.handed_over_at) bounds_.remove_at(*session.handed_over_at);
    bounds_.remove(text_bytes(session.asked));
    sessions_.erase(it);
}

}  // namespace jasperspread::agent
