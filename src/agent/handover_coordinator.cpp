#include "handover_coordinator.h"

#include <algorithm>

#include "codec/message.h"

namespace jasperspread::agent {

using cinderfront::Ending;
using cinderfront::NoteKind;
using handover::Input;
using handover::Order;
using handover::Step;
using handover::Verb;

HandoverCoordinator::HandoverCoordinator(net::Loop& loop, Log& log, const ServerDirectory& directory,
                                         MovableSessions& sessions, ServerPort& servers,
                                         const HandoverOrder& order, double spread_s, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      directory_(directory),
      sessions_(sessions),
      servers_(servers),
      settings_(order.settings),
      keys_(order.key),
      planner_(order.settings, spread_s, seed),
      timer_(loop) {
    plan();
}

HandoverCoordinator::~HandoverCoordinator() {
    for (auto& [id, ongoing] : ongoing_) loop_.deadlines().cancel(ongoing.due);
}

void HandoverCoordinator::change(const HandoverOrder& order) {
    keys_ = handover::TicketKeys(order.key);
    settings_ = order.settings;
    planner_.change(order.settings);
}

// ---- What is to be moved ----

void HandoverCoordinator::noted(ServerNumber server, NoteKind kind, double value) {
    if (kind == NoteKind::Delivered) planner_.noted(server, value, loop_.now());
    if (kind == NoteKind::Link) planner_.noted(server, 1 / std::max(1.0, value), loop_.now());
}

void HandoverCoordinator::plan() {
    std::vector<handover::Standing> standing;
    for (const auto& one : sessions_.movable()) {
        const KnownServer* server = directory_.find(one.server);
        if (server == nullptr || !servers_.hands_over(one.server)) continue;
        standing.push_back({one.id, one.server, !server->may_take_new()});
    }
    for (const SessionId id : planner_.look(standing, loop_.now())) sessions_.seek(id);
    timer_.set(loop_.now() + settings_.look_every_s, [this] { plan(); });
}

void HandoverCoordinator::offered(const cinderfront::Offer& offer) {
    const auto session = sessions_.movable(offer.id);
    const KnownServer* target = directory_.find(offer.server);
    if (!session || ongoing_.contains(offer.id) || target == nullptr || !target->may_take_new()) return;
    const double now = loop_.now();
    const handover::Offer asked{offer.id, session->server, offer.server, offer.gain, session->points};
    if (!planner_.accept(asked, now)) return;
    planner_.began(asked, now);
    // Larger than all that this agent or an earlier incarnation of it can have given to this session.
    last_epoch_ = std::max(last_epoch_ + 1, static_cast<std::uint64_t>(now * 1000));
    constexpr double ticket_s = 30;
    handover::Ticket ticket{offer.id, last_epoch_, directory_.find(session->server)->id, target->id,
                            static_cast<std::uint64_t>((now + ticket_s) * 1000)};
    OngoingHandover& ongoing = ongoing_
                                   .emplace(offer.id, OngoingHandover{handover::Move(settings_, now),
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
    servers_.set_epoch(offer.id, ongoing.epoch);
    carry_out(offer.id, ongoing.move.begin(now));
}

// ---- One hand-over ----

void HandoverCoordinator::send(SessionId id, const OngoingHandover& ongoing, Order order) {
    HandoverMessage message;
    message.session = id;
    message.epoch = ongoing.epoch;
    const bool to_source = order == Order::Yield || order == Order::Resume || order == Order::FinishSource;
    message.server = to_source ? ongoing.source : ongoing.target;
    switch (order) {
        case Order::Prepare: {
            const auto session = sessions_.movable(id);
            if (!session) return;
            message.verb = Verb::Prepare;
            message.ticket = ongoing.ticket;
            message.class_name = session->asked->class_name;
            message.title = session->asked->title;
            message.description = session->asked->description;
            message.rung = ongoing.rung;
            message.hold_s = ongoing.move.settings().hold_s;
            message.probation_s = ongoing.move.settings().probation_s;
            break;
        }
        case Order::Yield:
            message.verb = Verb::Yield;
            message.ticket = ongoing.ticket;
            message.hold_s = ongoing.move.source_hold_s();
            break;
        case Order::Activate:
            message.verb = Verb::Activate;
            message.at_ms = ongoing.at_ms;
            break;
        case Order::Confirm:
            message.verb = Verb::Confirm;
            break;
        case Order::Resume:
            message.verb = Verb::Resume;
            break;
        case Order::Withdraw:
            message.verb = Verb::Withdraw;
            break;
        default:
            return servers_.end_at(id, message.server, ongoing.epoch);
    }
    servers_.hand_over(message);
}

void HandoverCoordinator::wait(SessionId id, OngoingHandover& ongoing) {
    loop_.deadlines().cancel(ongoing.due);
    ongoing.due = loop_.deadlines().add(ongoing.move.due(), [this, id] {
        const auto it = ongoing_.find(id);
        if (it != ongoing_.end()) carry_out(id, it->second.move.on_time(loop_.now()));
    });
}

void HandoverCoordinator::tell(SessionId id, Input input) {
    const auto it = ongoing_.find(id);
    if (it != ongoing_.end()) carry_out(id, it->second.move.on(input, loop_.now()));
}

void HandoverCoordinator::carry_out(SessionId id, const std::vector<Order>& orders) {
    const auto it = ongoing_.find(id);
    if (it == ongoing_.end()) return;
    for (const Order order : orders) send(id, it->second, order);
    if (is_over(it->second.move.step())) return settle(id);
    wait(id, it->second);
}

void HandoverCoordinator::settle(SessionId id) {
    const auto it = ongoing_.find(id);
    const OngoingHandover ongoing = it->second;
    loop_.deadlines().cancel(ongoing.due);
    ongoing_.erase(it);
    Step step = ongoing.move.step();
    if (step == Step::Stayed && ongoing.source_lost) step = Step::Ended;
    const bool target_failed = step == Step::Stayed && !ongoing.source_denied;
    planner_.over(id, step, target_failed, loop_.now());
    log_.info("handover", {{"session", codec::to_hex(id)},
                           {"end", std::string(name_of(step))},
                           {"from", std::to_string(ongoing.source)},
                           {"to", std::to_string(ongoing.target)}});
    if (step == Step::Moved) sessions_.moved(id, ongoing.target, ongoing.rung);
    if (step == Step::Ended) sessions_.lost(id, ongoing.end_as);
}

void HandoverCoordinator::handed(SessionId id, ServerNumber from, const HandoverReply& reply) {
    const auto it = ongoing_.find(id);
    if (it == ongoing_.end() || reply.answer.epoch != it->second.epoch) return;
    OngoingHandover& ongoing = it->second;
    const bool source = from == ongoing.source;
    if (!source && from != ongoing.target) return;
    switch (reply.answer.verb) {
        case Verb::Prepared:
            return tell(id, Input::Prepared);
        case Verb::Yielded:
            ongoing.at_ms = reply.at_ms;
            return tell(id, Input::Yielded);
        case Verb::Activated:
            return tell(id, Input::Activated);
        case Verb::Confirmed:
            return tell(id, Input::Confirmed);
        case Verb::Resumed:
            return tell(id, Input::Resumed);
        case Verb::Denied:
            if (!source) return tell(id, Input::TargetDenied);
            ongoing.source_denied = true;
            return tell(
                id, reply.answer.why == handover::Why::Unknown ? Input::SourceUnknown : Input::SourceDenied);
        default:
            return;
    }
}

// The target has the session and says that it is over: by itself, or because its probation was.
void HandoverCoordinator::ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, Ending how) {
    const auto it = ongoing_.find(id);
    if (it == ongoing_.end() || epoch != it->second.epoch || from != it->second.target) return;
    if (how != Ending::Delivered) return tell(id, Input::TargetDenied);
    it->second.end_as = how;
    carry_out(id, it->second.move.on(Input::Cancelled, loop_.now()));
}

void HandoverCoordinator::process_gone(ServerNumber server) {
    std::vector<std::pair<SessionId, Input>> told;
    for (auto& [id, ongoing] : ongoing_) {
        if (ongoing.source == server) told.emplace_back(id, Input::SourceGone);
        if (ongoing.target == server) told.emplace_back(id, Input::TargetGone);
    }
    for (const auto& [id, input] : told) tell(id, input);
}

void HandoverCoordinator::cancel(SessionId id) {
    planner_.forget(id);
    const auto it = ongoing_.find(id);
    if (it == ongoing_.end()) return;
    const OngoingHandover ongoing = it->second;
    handover::Move move = ongoing.move;
    loop_.deadlines().cancel(ongoing.due);
    ongoing_.erase(it);
    planner_.over(id, Step::Ended, false, loop_.now());
    for (const Order order : move.on(Input::Cancelled, loop_.now())) {
        if (order != Order::FinishSource) send(id, ongoing, order);
    }
}

std::vector<HandoverCoordinator::UnderWay> HandoverCoordinator::under_way() const {
    std::vector<UnderWay> list;
    for (const auto& [id, ongoing] : ongoing_)
        list.push_back({id, ongoing.source, ongoing.target, ongoing.move.step()});
    return list;
}

bool HandoverCoordinator::source_ended(SessionId id) {
    const auto it = ongoing_.find(id);
    if (it == ongoing_.end()) {
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
