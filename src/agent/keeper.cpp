#include "keeper.h"

#include <algorithm>
#include <utility>

#include "codec/message.h"

namespace jasperspread::agent {

using cinderfront::Ending;
using cinderfront::LoadReport;
using store::Phase;

Keeper::Keeper(net::Loop& loop, Log& log, const MemoryOrder& order, const Profile& profile,
               const ServerDirectory& directory, ServerEvents& events)
    : loop_(loop),
      log_(log),
      profile_(profile),
      directory_(directory),
      events_(events),
      serves_without_(order.settings.without == "serve"),
      life_(order.found.before.lives + 1),
      memory_(loop, log, order, [this](SessionId id, bool is) { kept(id, is); }),
      returner_(loop, log, order, profile.settings.zone, directory, memory_),
      list_({order.found.list.revision, {order.found.list.up.begin(), order.found.list.up.end()}},
            trust({recovery::Thing::List, loop.now() - order.found.list.at}, recovery::Scope::All),
            order.settings.stale_s, loop.now()) {}

void Keeper::connect(ServerPort& servers) {
    servers_ = &servers;
    returner_.connect(servers);
}

void Keeper::listed() {
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
    returner_.listed();
}

bool Keeper::may_take_new(ServerNumber number) const {
    const KnownServer* server = directory_.find(number);
    return server != nullptr && list_.may_take_new(server->id, server->may_take_new(), loop_.now());
}

bool Keeper::is_paid(const std::string& class_name) const {
    const auto& names = profile_.class_names;
    const auto it = std::find(names.begin(), names.end(), plain_name(class_name));
    return it != names.end() &&
           agent::is_paid(profile_.settings.classes[static_cast<std::size_t>(it - names.begin())]);
}

store::SessionRecord Keeper::record_of(SessionId id, const Kept& kept, Phase phase) const {
    const KnownServer* server = directory_.find(kept.server);
    return {id,         phase, kept.paid,  server != nullptr ? server->id : "", kept.class_name,
            kept.title, life_, loop_.now()};
}

void Keeper::drop(SessionId id) {
    kept_.erase(id);
    memory_.erase(id);
}

// ---- Towards the servers ----

void Keeper::set_up(const Attempt& attempt) {
    if (!may_take_new(attempt.server)) return events_.attempt_ended(attempt.id, Ending::Unused, {});
    Kept& kept = kept_[attempt.id];
    kept = {attempt.server, attempt.class_name, attempt.title, is_paid(attempt.class_name), std::nullopt};
    if (!kept.paid) return servers_->set_up(attempt);
    if (memory_.put(record_of(attempt.id, kept, Phase::Intent), true)) {
        kept.waits = attempt;
        return;
    }
    if (serves_without_) return servers_->set_up(attempt);
    kept_.erase(attempt.id);
    events_.attempt_ended(attempt.id, Ending::Unused, {});
}

// Its record is on disk, or can't be. The first byte goes out now, unless its time is over: ServerLinks sees
// to drains and to that.
void Keeper::kept(SessionId id, bool is) {
    const auto it = kept_.find(id);
    if (it == kept_.end() || !it->second.waits) return;
    const Attempt attempt = *std::exchange(it->second.waits, std::nullopt);
    if (is || serves_without_) return servers_->set_up(attempt);
    kept_.erase(it);
    events_.attempt_ended(id, Ending::Unused, {});
}

GivenUp Keeper::give_up(SessionId id) {
    const auto it = kept_.find(id);
    if (it != kept_.end() && it->second.waits) {
        memory_.waits_no_more(id);
        drop(id);
        return GivenUp::Queued;  // not a byte has gone out
    }
    // Its outcome is told to the viewer at once and its end to the server: nothing is owed any more.
    const GivenUp was = servers_->give_up(id);
    drop(id);
    return was;
}

void Keeper::set_rung(SessionId id, int rung) {
    const auto it = kept_.find(id);
    if (it != kept_.end() && it->second.waits) {
        it->second.waits->rung = rung;
        return;
    }
    servers_->set_rung(id, rung);
}

void Keeper::end_session(SessionId id) {
    servers_->end_session(id);
    drop(id);
}

void Keeper::adopt(SessionId id, ServerNumber server) {
    returner_.claimed(id, server);
    servers_->adopt(id, server);
    Kept& kept = kept_[id];
    kept.server = server;
    memory_.put(record_of(id, kept, Phase::Standing), false);
}

void Keeper::forget(SessionId id) {
    servers_->forget(id);
    drop(id);
}

void Keeper::rehome(SessionId id, ServerNumber server, int rung) {
    servers_->rehome(id, server, rung);
    const auto it = kept_.find(id);
    if (it == kept_.end()) return;
    it->second.server = server;
    memory_.put(record_of(id, it->second, Phase::Standing), false);
}

// ---- From the servers ----

void Keeper::started(SessionId id, const std::string& description) {
    const auto it = kept_.find(id);
    if (it != kept_.end()) memory_.put(record_of(id, it->second, Phase::Standing), false);
    events_.started(id, description);
}

void Keeper::attempt_ended(SessionId id, Ending how, const LoadReport& load) {
    drop(id);
    events_.attempt_ended(id, how, load);
}

void Keeper::session_ended(SessionId id, Ending how, const LoadReport& load) {
    if (returner_.holds(id)) return returner_.ended(id);
    drop(id);
    events_.session_ended(id, how, load);
}

void Keeper::noted(SessionId id, cinderfront::NoteKind kind, double value) {
    if (returner_.holds(id)) return returner_.plays(id);
    events_.noted(id, kind, value);
}

}  // namespace jasperspread::agent
