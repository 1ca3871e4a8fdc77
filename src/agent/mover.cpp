#include "mover.h"

#include <algorithm>

#include "codec/message.h"

namespace jasperspread::agent {

using cinderfront::Ending;
using cinderfront::NoteKind;
using handover::Input;
using handover::Order;
using handover::Step;
using handover::Verb;

Mover::Mover(net::Loop& loop, Log& log, const ServerDirectory& directory, MovableSessions& sessions,
             ServerPort& servers, const HandoverOrder& order, double spread_s, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      directory_(directory),
      sessions_(sessions),
      servers_(servers),
      settings_(order.settings),
      keys_(order.key),
      planner_(order.settings, spread_s, seed),
      timer_(loop) {
    look();
}

Mover::~Mover() {
    for (auto& [id, moving] : moving_) loop_.deadlines().cancel(moving.due);
}

void Mover::change(const HandoverOrder& order) {
    keys_ = handover::TicketKeys(order.key);
    settings_ = order.settings;
    planner_.change(order.settings);
}

// ---- What is to be moved ----

void Mover::noted(ServerNumber server, NoteKind kind, double value) {
    if (kind == NoteKind::Delivered) planner_.noted(server, value, loop_.now());
    if (kind == NoteKind::Link) planner_.noted(server, 1 / std::max(1.0, value), loop_.now());
}

void Mover::look() {
    std::vector<handover::Standing> standing;
    for (const auto& one : sessions_.movable()) {
        const KnownServer* server = directory_.find(one.server);
        if (server == nullptr || !servers_.hands_over(one.server)) continue;
        standing.push_back({one.id, one.server, !server->may_take_new()});
    }
    for (const SessionId id : planner_.look(standing, loop_.now())) sessions_.seek(id);
    timer_.set(loop_.now() + settings_.look_every_s, [this] { look(); });
}

void Mover::offered(const cinderfront::Offer& offer) {
    const auto session = sessions_.movable(offer.id);
    const KnownServer* target = directory_.find(offer.server);
    if (!session || moving_.contains(offer.id) || target == nullptr || !target->may_take_new()) return;
    const double now = loop_.now();
    const handover::Offer asked{offer.id, session->server, offer.server, offer.gain, session->points};
    if (!planner_.accept(asked, now)) return;
    planner_.began(asked, now);
    // Larger than all that this agent or an earlier life of it can have given to this session.
    last_epoch_ = std::max(last_epoch_ + 1, static_cast<std::uint64_t>(now * 1000));
    constexpr double ticket_s = 30;
    handover::Ticket ticket{offer.id, last_epoch_, directory_.find(session->server)->id, target->id,
                            static_cast<std::uint64_t>((now + ticket_s) * 1000)};
    Moving& moving = moving_
                         .emplace(offer.id, Moving{handover::Move(settings_, now),
                                                   session->server,
                                                   offer.server,
                                                   last_epoch_,
                                                   offer.rung,
                                                   keys_.sign(ticket),
                                                   "",
                                                   false,
                                                   false,
                                                   Ending::Dropped,
                                                   {0, 0}})
                         .first->second;
    servers_.set_epoch(offer.id, moving.epoch);
    carry_out(offer.id, moving.move.begin(now));
}

// ---- One hand-over ----

void Mover::say(SessionId id, const Moving& moving, Order order) {
    HandoverWord word;
    word.session = id;
    word.epoch = moving.epoch;
    const bool to_source = order == Order::Yield || order == Order::Resume || order == Order::FinishSource;
    word.server = to_source ? moving.source : moving.target;
    switch (order) {
        case Order::Prepare: {
            const auto session = sessions_.movable(id);
            if (!session) return;
            word.verb = Verb::Prepare;
            word.ticket = moving.ticket;
            word.class_name = session->asked->class_name;
            word.title = session->asked->title;
            word.description = session->asked->description;
            word.rung = moving.rung;
            word.hold_s = moving.move.settings().hold_s;
            word.probation_s = moving.move.settings().probation_s;
            break;
        }
        case Order::Yield:
            word.verb = Verb::Yield;
            word.ticket = moving.ticket;
            word.hold_s = moving.move.source_hold_s();
            break;
        case Order::Activate:
            word.verb = Verb::Activate;
            word.at_ms = moving.at_ms;
            break;
        case Order::Confirm:
            word.verb = Verb::Confirm;
            break;
        case Order::Resume:
            word.verb = Verb::Resume;
            break;
        case Order::Withdraw:
            word.verb = Verb::Withdraw;
            break;
        default:
            return servers_.end_at(id, word.server, moving.epoch);
    }
    servers_.hand_over(word);
}

void Mover::wait(SessionId id, Moving& moving) {
    loop_.deadlines().cancel(moving.due);
    moving.due = loop_.deadlines().add(moving.move.due(), [this, id] {
        const auto it = moving_.find(id);
        if (it != moving_.end()) carry_out(id, it->second.move.on_time(loop_.now()));
    });
}

void Mover::tell(SessionId id, Input input) {
    const auto it = moving_.find(id);
    if (it != moving_.end()) carry_out(id, it->second.move.on(input, loop_.now()));
}

void Mover::carry_out(SessionId id, const std::vector<Order>& orders) {
    const auto it = moving_.find(id);
    if (it == moving_.end()) return;
    for (const Order order : orders) say(id, it->second, order);
    if (is_over(it->second.move.step())) return settle(id);
    wait(id, it->second);
}

void Mover::settle(SessionId id) {
    const auto it = moving_.find(id);
    const Moving moving = it->second;
    loop_.deadlines().cancel(moving.due);
    moving_.erase(it);
    Step step = moving.move.step();
    if (step == Step::Stayed && moving.source_lost) step = Step::Ended;
    const bool target_failed = step == Step::Stayed && !moving.source_denied;
    planner_.over(id, step, target_failed, loop_.now());
    log_.info("handover", {{"session", codec::to_hex(id)},
                           {"end", std::string(name_of(step))},
                           {"from", std::to_string(moving.source)},
                           {"to", std::to_string(moving.target)}});
    if (step == Step::Moved) sessions_.moved(id, moving.target, moving.rung);
    if (step == Step::Ended) sessions_.lost(id, moving.end_as);
}

void Mover::handed(SessionId id, ServerNumber from, const HandoverReply& reply) {
    const auto it = moving_.find(id);
    if (it == moving_.end() || reply.answer.epoch != it->second.epoch) return;
    Moving& moving = it->second;
    const bool source = from == moving.source;
    if (!source && from != moving.target) return;
    switch (reply.answer.verb) {
        case Verb::Prepared:
            return tell(id, Input::Prepared);
        case Verb::Yielded:
            moving.at_ms = reply.at_ms;
            return tell(id, Input::Yielded);
        case Verb::Activated:
            return tell(id, Input::Activated);
        case Verb::Confirmed:
            return tell(id, Input::Confirmed);
        case Verb::Resumed:
            return tell(id, Input::Resumed);
        case Verb::Denied:
            if (!source) return tell(id, Input::TargetDenied);
            moving.source_denied = true;
            return tell(
                id, reply.answer.why == handover::Why::Unknown ? Input::SourceUnknown : Input::SourceDenied);
        default:
            return;
    }
}

// The target has the session and says that it is over: by itself, or because its probation was.
void Mover::ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, Ending how) {
    const auto it = moving_.find(id);
    if (it == moving_.end() || epoch != it->second.epoch || from != it->second.target) return;
    if (how != Ending::Delivered) return tell(id, Input::TargetDenied);
    it->second.end_as = how;
    carry_out(id, it->second.move.on(Input::Cancelled, loop_.now()));
}

void Mover::process_gone(ServerNumber server) {
    std::vector<std::pair<SessionId, Input>> told;
    for (auto& [id, moving] : moving_) {
        if (moving.source == server) told.emplace_back(id, Input::SourceGone);
        if (moving.target == server) told.emplace_back(id, Input::TargetGone);
    }
    for (const auto& [id, input] : told) tell(id, input);
}

void Mover::cancel(SessionId id) {
    planner_.forget(id);
    const auto it = moving_.find(id);
    if (it == moving_.end()) return;
    const Moving moving = it->second;
    handover::Move move = moving.move;
    loop_.deadlines().cancel(moving.due);
    moving_.erase(it);
    planner_.over(id, Step::Ended, false, loop_.now());
    for (const Order order : move.on(Input::Cancelled, loop_.now())) {
        if (order != Order::FinishSource) say(id, moving, order);
    }
}

std::vector<Mover::UnderWay> Mover::under_way() const {
    std::vector<UnderWay> list;
    for (const auto& [id, moving] : moving_)
        list.push_back({id, moving.source, moving.target, moving.move.step()});
    return list;
}

bool Mover::source_ended(SessionId id) {
    const auto it = moving_.find(id);
    if (it == moving_.end()) {
        planner_.forget(id);
        return false;
    }
    it->second.source_lost = true;
    const Step step = it->second.move.step();
    if (step == Step::Activating || step == Step::Confirming) return true;
    cancel(id);
    return false;
}

}  // namespace jasperspread::agent
