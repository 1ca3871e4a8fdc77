#include "session_journal.h"

#include <utility>

#include "codec/message.h"

namespace jasperspread::agent {

using cinderfront::Ending;
using cinderfront::LoadReport;
using store::Phase;

SessionJournal::SessionJournal(net::Loop& loop, Log& log, const MemoryOrder& order, const Profile& profile,
                               const ServerDirectory& directory, ServerEvents& events)
    : loop_(loop),
      log_(log),
      profile_(profile),
      directory_(directory),
      events_(events),
      serves_without_(order.settings.without == "serve"),
      incarnation_(order.found.before.starts + 1),
      memory_(loop, log, order, [this](SessionId id, bool is) { record_written(id, is); }),
      reconciler_(loop, log, order, profile.settings.zone, directory, memory_),
      list_({order.found.list.revision, {order.found.list.up.begin(), order.found.list.up.end()}},
            trust({recovery::Thing::List, loop.now() - order.found.list.at}, recovery::Scope::All),
            order.settings.stale_s, loop.now()) {}

void SessionJournal::connect(ServerPort& servers) {
    servers_ = &servers;
    reconciler_.connect(servers);
}

void SessionJournal::listed() {
    recovery::KnownList told;
    told.revision = directory_.revision();
    for (const auto& [number, server] : directory_.servers()) {
        if (server.may_take_new()) told.up.insert(server.id);
    }
    const double now = loop_.now();
    if (list_.heard(told, now))
        memory_.put(store::ListRecord{told.revision, {told.up.begin(), told.up.end()}, now});
    if (list_.behind(now) && !std::exchange(behind_, true))
        log_.warn("feed_is_behind", {{"told", std::to_string(told.revision)},
                                     {"remembered", std::to_string(list_.remembered().revision)}});
    reconciler_.listed();
}

bool SessionJournal::may_take_new(ServerNumber number) const {
    const KnownServer* server = directory_.find(number);
    return server != nullptr && list_.may_take_new(server->id, server->may_take_new(), loop_.now());
}

bool SessionJournal::is_paid(const std::string& class_name) const {
    const auto index = find_name(profile_.class_names, plain_name(class_name));
    return index && agent::is_paid(profile_.settings.classes[*index]);
}

store::SessionRecord SessionJournal::record_of(SessionId id, const Entry& entry, Phase phase) const {
    const KnownServer* server = directory_.find(entry.server);
    return {id,          phase,        entry.paid, server != nullptr ? server->id : "", entry.class_name,
            entry.title, incarnation_, loop_.now()};
}

void SessionJournal::drop(SessionId id) {
    entries_.erase(id);
    memory_.erase(id);
}

// ---- Towards the servers ----

void SessionJournal::set_up(const Attempt& attempt) {
    if (!may_take_new(attempt.server)) return events_.attempt_ended(attempt.id, Ending::Unused, {});
    Entry& entry = entries_[attempt.id];
    entry = {attempt.server, attempt.class_name, attempt.title, is_paid(attempt.class_name), std::nullopt};
    if (!entry.paid) return servers_->set_up(attempt);
    if (memory_.put(record_of(attempt.id, entry, Phase::Intent), true)) {
        entry.waits = attempt;
        return;
    }
    if (serves_without_) return servers_->set_up(attempt);
    entries_.erase(attempt.id);
    events_.attempt_ended(attempt.id, Ending::Unused, {});
}

// Its record is on disk, or can't be. The first byte goes out now, unless its time is over: ServerLinks sees
// to drains and to that.
void SessionJournal::record_written(SessionId id, bool is) {
    const auto it = entries_.find(id);
    if (it == entries_.end() || !it->second.waits) return;
    const Attempt attempt = *std::exchange(it->second.waits, std::nullopt);
    if (is || serves_without_) return servers_->set_up(attempt);
    entries_.erase(it);
    events_.attempt_ended(id, Ending::Unused, {});
}

AttemptProgress SessionJournal::give_up(SessionId id) {
    const auto it = entries_.find(id);
    if (it != entries_.end() && it->second.waits) {
        memory_.waits_no_more(id);
        drop(id);
        return AttemptProgress::Queued;  // not a byte has gone out
    }
    // Its outcome is told to the viewer at once and its end to the server: nothing is owed any more.
    const AttemptProgress was = servers_->give_up(id);
    drop(id);
    return was;
}

void SessionJournal::set_rung(SessionId id, int rung) {
    const auto it = entries_.find(id);
    if (it != entries_.end() && it->second.waits) {
        it->second.waits->rung = rung;
        return;
    }
    servers_->set_rung(id, rung);
}

void SessionJournal::end_session(SessionId id) {
    servers_->end_session(id);
    drop(id);
}

void SessionJournal::adopt(SessionId id, ServerNumber server) {
    reconciler_.claimed(id, server);
    Entry& entry = entries_[id];
    entry.server = server;
    memory_.put(record_of(id, entry, Phase::Standing), false);
    servers_->adopt(id, server);  // last: the session may be over at once
}

void SessionJournal::forget(SessionId id) {
    servers_->forget(id);
    drop(id);
}

void SessionJournal::reassign(SessionId id, ServerNumber server, int rung) {
    servers_->reassign(id, server, rung);
    const auto it = entries_.find(id);
    if (it == entries_.end()) return;
    it->second.server = server;
    memory_.put(record_of(id, it->second, Phase::Standing), false);
}

// ---- From the servers ----

void SessionJournal::started(SessionId id, const std::string& description) {
    const auto it = entries_.find(id);
    if (it != entries_.end()) memory_.put(record_of(id, it->second, Phase::Standing), false);
    events_.started(id, description);
}

void SessionJournal::attempt_ended(SessionId id, Ending how, const LoadReport& load) {
    drop(id);
    events_.attempt_ended(id, how, load);
}

void SessionJournal::session_ended(SessionId id, Ending how, const LoadReport& load) {
    if (reconciler_.holds(id)) return reconciler_.ended(id);
    drop(id);
    events_.session_ended(id, how, load);
}

void SessionJournal::noted(SessionId id, cinderfront::NoteKind kind, double value) {
    if (reconciler_.holds(id)) return reconciler_.plays(id);
    events_.noted(id, kind, value);
}

}  // namespace jasperspread::agent
