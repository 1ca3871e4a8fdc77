#include "server.h"

#include <algorithm>

#include "codec/error.h"
#include "codec/message.h"

namespace lab {

using jasperspread::codec::ServerMessage;
using jasperspread::codec::ServerVerb;
using jasperspread::handover::Answer;
using jasperspread::handover::ServerSide;
using jasperspread::handover::TicketFault;
using jasperspread::handover::Verb;
using jasperspread::handover::Why;
namespace codec = jasperspread::codec;
using State = ServerSide::State;

namespace {

constexpr int cause_ok = 16, cause_cancelled = 31, cause_full = 34, cause_reset = 41;
constexpr double set_up_least_s = 0.004, set_up_spread_s = 0.016, look_every_s = 0.1;
constexpr double share_seen_s = 1.0;   // over which the told share is smoothed
constexpr double reserve_limit = 0.9;  // of the link, reservations counted: where set-ups stop too
constexpr double short_share = 0.98;

double number_in(const ServerMessage& message, const char* name, double usual) {
    const std::string* text = message.field(name);
    return text == nullptr ? usual : codec::parse_number(*text).value_or(usual);
}

std::uint64_t whole_in(const ServerMessage& message, const char* name) {
    return static_cast<std::uint64_t>(std::max(0.0, number_in(message, name, 0)));
}

ServerMessage word(ServerVerb verb, SessionId id) {
    ServerMessage message;
    message.verb = verb;
    message.session = id;
    return message;
}

}  // namespace

LessonServer::LessonServer(jasperspread::net::Loop& loop, const WorldPlan& plan, int number, Fleet& fleet,
                           Ledger& ledger, std::uint64_t seed)
    : Party(loop),
      plan_(plan),
      number_(number),
      fleet_(fleet),
      ledger_(ledger),
      random_(seed),
      keys_(ticket_key()),
      timer_(loop) {
    notes();
}

LessonServer::~LessonServer() {
    for (auto& [id, held] : sessions_) {
        if (held.due.second != 0) loop_.deadlines().cancel(held.due);
        if (held.lapse.second != 0) loop_.deadlines().cancel(held.lapse);
    }
}

std::uint64_t LessonServer::reservations() const {
    return static_cast<std::uint64_t>(
        std::count_if(sessions_.begin(), sessions_.end(),
                      [](const auto& entry) { return entry.second.side.state() == State::Reserved; }));
}

double LessonServer::rate_of(const Held& held, int rung) const {
    const auto i =
        static_cast<std::size_t>(std::clamp(rung, 0, static_cast<int>(plan_.ladder_kb.size()) - 1));
    return plan_.ladder_kb[i] * plan_.classes[static_cast<std::size_t>(held.cls)].scale;
}

double LessonServer::media_now(const Held& held) const {
    return held.playing ? held.at + (loop_.now() - held.since) : held.at;
}

// A timer of the process: one that falls due while it is frozen is handled when it thaws.
void LessonServer::later(double at, jasperspread::net::Deadlines::Key& key, std::function<void()> what) {
    if (key.second != 0) loop_.deadlines().cancel(key);
    key = loop_.deadlines().add(at, [this, &key, what = std::move(what)] {
        key = {0, 0};
        if (frozen_) return thawing_.push_back(what);
        what();
    });
}

void LessonServer::freeze(bool frozen) {
    if (frozen_ == frozen) return;
    frozen_ = frozen;
    ledger_.server_trouble(number_, frozen, loop_.now());
    if (frozen) {
        for (auto& [id, held] : sessions_) {
            if (!held.playing) continue;
            held.at = media_now(held);
            held.since = loop_.now();
            ledger_.stream_ends(id, number_, loop_.now(), false);
        }
        return;
    }
    // First of all each session's clock is looked at: what has lapsed meanwhile streams no more.
    std::vector<SessionId> ids;
    for (auto& [id, held] : sessions_) {
        if (held.playing) {
            held.since = loop_.now();
            if (held.side.streams(loop_.now()))
                ledger_.stream_begins(id, number_, held.rung, loop_.now(), false);
        }
        ids.push_back(id);
    }
    for (const SessionId id : ids) follow(id);
    for (const auto& what : std::exchange(thawing_, {})) what();
    for (const auto& [from, message] : std::exchange(waiting_, {})) take(from, message);
    notes();
}

void LessonServer::die() {
    ledger_.server_trouble(number_, true, loop_.now());
    for (const std::uint64_t number : dead_)
        ledger_.connections_dead(agent_number(number), number_, false, loop_.now());
    frozen_ = true;
    for (const auto& [from, message] : waiting_) ledger_.attempt_over(message.session, number_, loop_.now());
    for (auto& [id, held] : sessions_) {
        ledger_.attempt_over(id, number_, loop_.now());
        if (held.playing) {
            ledger_.stream_ends(id, number_, loop_.now(), false);
            fleet_.take(number_, rate_of(held, held.rung));
        }
        if (held.reserved) fleet_.hold(number_, -rate_of(held, held.rung));
        if (held.side.state() == State::Standing) ledger_.server_over(id, number_, loop_.now());
    }
}

// ---- Connections ----

void LessonServer::left(std::uint64_t number, Connection::End) {
    const int agent = agent_number(number);
    const bool was_dead = dead_.erase(number) > 0;
    if (was_dead && !has_dead_connection(agent)) ledger_.connections_dead(agent, number_, false, loop_.now());
    agent_of_.erase(number);
    std::vector<SessionId> given_up;
    for (auto& [id, held] : sessions_) {
        if (held.connection == number && held.waits) given_up.push_back(id);
        if (held.connection != number) continue;
        held.connection = 0;
        held.orphan = true;
    }
    for (const SessionId id : given_up) end(id, cause_cancelled, false);
    for (const auto& [from, message] : waiting_) {
        if (from == number && message.verb == ServerVerb::Start)
            ledger_.attempt_over(message.session, number_, loop_.now());
    }
}

std::size_t LessonServer::heard(std::uint64_t number, std::string_view bytes) {
    if (is_dead(number)) return bytes.size();
    std::size_t taken = 0;
    while (const auto decoded = codec::decode_server(bytes.substr(taken))) {
        taken += decoded->size;
        // An attempt is out from its arrival, whether or not the process gets to it.
        const Message& message = decoded->message;
        if (message.verb == ServerVerb::Start) ledger_.set_up_came(message.session, number_, loop_.now());
        if (message.verb == ServerVerb::Finish) ledger_.attempt_over(message.session, number_, loop_.now());
        if (jasperspread::handover::verb_of(message.name) == Verb::Prepare) {
            const auto it = sessions_.find(message.session);
            const bool again = it != sessions_.end() && it->second.side.epoch() == whole_in(message, "epoch");
            if (!again) ledger_.prepare_came(number_, loop_.now());
        }
        if (frozen_)
            waiting_.emplace_back(number, decoded->message);
        else
            take(number, decoded->message);
    }
    return taken;
}

// ---- Messages ----

void LessonServer::take(std::uint64_t from, const Message& message) {
    if (const auto verb = jasperspread::handover::verb_of(message.name))
        return hand_over(from, message, *verb);
    switch (message.verb) {
        case ServerVerb::Start:
            return set_up(from, message);
        case ServerVerb::Finish:
            return finish(from, message);
        case ServerVerb::Rate: {
            const auto it = sessions_.find(message.session);
            if (it == sessions_.end()) return;
            Held& held = it->second;
            const int rung = static_cast<int>(number_in(message, "rung", 0));
            if (held.playing) {
                fleet_.take(number_, rate_of(held, held.rung));
                fleet_.add(number_, rate_of(held, rung));
                ledger_.rung_changed(message.session, number_, rung, loop_.now());
            }
            held.rung = rung;
            return;
        }
        case ServerVerb::Echo: {
            Message back = word(ServerVerb::Echoed, message.session);
            back.cause = 1;
            back.fields["load"] = "x0:" + codec::to_text(fleet_.fill(number_));
            return say_on(from, back);
        }
        default:
            return;
    }
}

void LessonServer::set_up(std::uint64_t from, const Message& message) {
    const SessionId id = message.session;
    if (!agent_of_.contains(from)) return;  // its connection has gone meanwhile, which gives it up
    Message full = word(ServerVerb::Finish, id);
    full.cause = cause_full;
    full.fields["load"] = "x0:" + codec::to_text(fleet_.fill(number_));
    if (sessions_.contains(id) || static_cast<int>(sessions_.size()) >= plan_.places) {
        ledger_.unrun(id, number_);
        return say_on(from, full);
    }
    Held& held = sessions_[id];
    const std::string* name = message.field("class");
    for (std::size_t i = 0; i < plan_.classes.size(); ++i) {
        if (name != nullptr && plan_.classes[i].name == *name) held.cls = static_cast<int>(i);
    }
    held.rung = static_cast<int>(number_in(message, "rung", 0));
    held.wish = read_wish(message.description.value_or(""));
    held.connection = from;
    held.agent = agent_of_.at(from);
    held.waits = true;
    const double spread = static_cast<double>(random_() >> 11) * 0x1p-53;
    later(loop_.now() + set_up_least_s + set_up_spread_s * spread, held.due, [this, id] { answer(id); });
}

void LessonServer::answer(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    Held& held = it->second;
    Message started = word(ServerVerb::Started, id);
    started.description = "played by " + server_id(number_) + " as " + codec::to_hex(id) + "\r\n";
    if (spoils_ && spoil(id, held, started)) return;
    held.waits = false;
    held.side.started();
    ledger_.made(id, *started.description);
    say(held, started);
    follow(id);
    Message note = word(ServerVerb::Notice, id);
    note.fields = {{"note", "local"}, {"value", codec::to_text(fleet_.fill(number_))}};
    say(held, note);
}

// True: the answer itself is not to be sent, and the session is over.
bool LessonServer::spoil(SessionId id, const Held& held, const Message& started) {
    constexpr std::uint64_t ways = 4;
    const std::uint64_t way = random_() % ways;
    if (way == 0) {
        Message foreign = started;
        foreign.session = ~id;
        say(held, foreign);
    } else if (way == 1) {
        constexpr double second_after_s = 0.004;
        second_answers_.push_back(std::make_unique<jasperspread::net::Timer>(loop_));
        second_answers_.back()->set(loop_.now() + second_after_s, [this, started, to = held.connection] {
            if (!frozen_) say_on(to, started);
        });
    } else if (way == 2) {
        if (Connection* own = connection(held.connection)) own->send("{\"verb\":\"STARTED\",\"tag\":\n");
        ledger_.link_reset(static_cast<int>(held.agent) - 1, number_, loop_.now());
        end(id, cause_reset, false);
        return true;
    }
    return false;
}

void LessonServer::finish(std::uint64_t from, const Message& message) {
    say_on(from, word(ServerVerb::Finished, message.session));
    const auto it = sessions_.find(message.session);
    if (it == sessions_.end()) return;
    Held& held = it->second;
    if (held.waits) return end(message.session, cause_cancelled, false);
    if (!held.side.finish(whole_in(message, "epoch"))) return;
    follow(message.session);
}

bool LessonServer::allowed(const Message& message, Verb verb) {
    if (verb != Verb::Prepare && verb != Verb::Yield) return true;
    const std::string* text = message.field("ticket");
    const auto read = keys_.read(text == nullptr ? "" : *text, loop_.now());
    turned_.expired += read.fault == TicketFault::Expired;
    turned_.forged += read.fault == TicketFault::Forged || read.fault == TicketFault::Unreadable;
    if (read.fault != TicketFault::None) return false;
    const std::string& here = verb == Verb::Prepare ? read.ticket.target : read.ticket.source;
    const bool fits = read.ticket.session == message.session &&
                      read.ticket.epoch == whole_in(message, "epoch") && here == server_id(number_);
    turned_.foreign += !fits;
    return fits;
}

void LessonServer::hand_over(std::uint64_t from, const Message& message, Verb verb) {
    if (!plan_.servers_hand_over) return;
    const SessionId id = message.session;
    const bool known = sessions_.contains(id);
    const std::uint64_t epoch = whole_in(message, "epoch");
    ServerSide::Terms terms;
    terms.allowed = allowed(message, verb);
    terms.hold_s = number_in(message, "hold", 0) / 1000;
    terms.probation_s = number_in(message, "probation", 0) / 1000;
    Held& held = sessions_[id];
    if (!known) {
        const auto fence = fences_.find(id);
        if (fence != fences_.end()) held.side.recall(fence->second);
        held.agent = agent_of_.contains(from) ? agent_of_.at(from) : 0;
    }
    if (verb == Verb::Prepare && held.side.state() == State::None) {
        const std::string* name = message.field("class");
        for (std::size_t i = 0; i < plan_.classes.size(); ++i) {
            if (name != nullptr && plan_.classes[i].name == *name) held.cls = static_cast<int>(i);
        }
        held.rung = static_cast<int>(number_in(message, "rung", 0));
        held.wish = read_wish(message.description.value_or(""));
        terms.room = static_cast<int>(sessions_.size()) <= plan_.places &&
                     fleet_.has_room(number_, rate_of(held, held.rung), reserve_limit);
    }
    if (verb == Verb::Activate && held.side.state() == State::Reserved)
        held.at = number_in(message, "at", 0) / 1000;
    held.connection = from;
    const Answer answer = held.side.take(verb, epoch, terms, loop_.now());
    turned_.full += answer.why == Why::Full;
    turned_.stale += answer.why == Why::Stale;
    Message back;
    back.verb = ServerVerb::Unknown;
    back.name = jasperspread::handover::name_of(answer.verb);
    back.session = id;
    back.fields["epoch"] = std::to_string(answer.epoch);
    if (answer.verb == Verb::Denied) back.fields["why"] = jasperspread::handover::name_of(answer.why);
    if (answer.verb == Verb::Yielded) back.fields["at"] = codec::whole_ms(media_now(held));
    follow(id);  // the stream has stopped, or begun, before the answer says so
    say_on(from, back);
    if (answer.verb == Verb::Activated || answer.verb == Verb::Resumed)
        fill_after_move_most_ = std::max(fill_after_move_most_, fleet_.fill(number_));
}

// ---- What a session does of itself ----

// Brings the link, the ledger and the timers in line with the state of the session's hand-over side.
void LessonServer::follow(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second.waits) return;
    Held& held = it->second;
    const bool ended = held.side.lapse(loop_.now());
    const State state = held.side.state();
    const bool streams = held.side.streams(loop_.now());
    const double rate = rate_of(held, held.rung);
    const bool reserved = state == State::Reserved;
    if (reserved != held.reserved) fleet_.hold(number_, reserved ? rate : -rate);
    held.reserved = reserved;
    if (streams && !held.playing) {
        held.playing = true;
        held.since = loop_.now();
        fleet_.add(number_, rate);
        ledger_.stream_begins(id, number_, held.rung, loop_.now(), held.side.fence() > 0);
        const double rest = std::max(0.0, held.wish.length_s - held.at);
        later(loop_.now() + rest, held.due, [this, id] { media_over(id); });
    } else if (!streams && held.playing) {
        held.at = media_now(held);
        held.playing = false;
        fleet_.take(number_, rate);
        ledger_.stream_ends(id, number_, loop_.now(), state == State::Yielded);
        if (held.due.second != 0) loop_.deadlines().cancel(held.due);
        held.due = {0, 0};
    }
    if (state == State::None) {
        if (ended) return end(id, cause_reset, true);
        return erase(id);
    }
    const bool timed = state == State::Reserved || state == State::Probation || state == State::Yielded;
    if (timed) later(held.side.lapses_at(), held.lapse, [this, id] { follow(id); });
}

void LessonServer::media_over(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.playing) return;
    end(id, cause_ok, true);
}

void LessonServer::end(SessionId id, int cause, bool tell) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    Held& held = it->second;
    if (tell) {
        Message message = word(ServerVerb::Finish, id);
        message.cause = cause;
        if (held.side.fence() > 0) message.fields["epoch"] = std::to_string(held.side.fence());
        const bool is_troubled = holds_releases_ || has_dead_connection(ledger_.holder(id));
        const bool is_sent = say(held, message);
        ledger_.server_over(id, number_, loop_.now(), is_sent || !is_troubled);
    }
    erase(id);
}

void LessonServer::erase(SessionId id) {
    Held& held = sessions_.at(id);
    ledger_.attempt_over(id, number_, loop_.now());
    if (held.playing) {
        fleet_.take(number_, rate_of(held, held.rung));
        ledger_.stream_ends(id, number_, loop_.now(), false);
    }
    if (held.reserved) fleet_.hold(number_, -rate_of(held, held.rung));
    if (held.side.fence() > 0) fences_[id] = held.side.fence();
    if (held.due.second != 0) loop_.deadlines().cancel(held.due);
    if (held.lapse.second != 0) loop_.deadlines().cancel(held.lapse);
    sessions_.erase(id);
}

void LessonServer::tick(double seconds) {
    if (frozen_) return;
    const double share = fleet_.share(number_);
    for (auto& [id, held] : sessions_) {
        if (held.playing) ledger_.delivers(id, number_, share, seconds);
    }
}

// Note 3 every told_every and of told_late ago, on one session of each agent; note 1 each second while the
// share is short, smoothed, and once more after.
void LessonServer::notes() {
    const double now = loop_.now();
    if (frozen_) return timer_.cancel();
    fills_.emplace_back(now, fleet_.fill(number_));
    while (fills_.size() > 1 && fills_[1].first <= now - plan_.told_late) fills_.pop_front();
    smooth_share_ += (fleet_.share(number_) - smooth_share_) * std::min(1.0, look_every_s / share_seen_s);
    const bool tell_link = now >= noted_ + plan_.told_every, tell_share = now >= shared_ + 1;
    if (tell_link) noted_ = now;
    if (tell_share) shared_ = now;
    std::set<std::uint64_t> told;
    for (const auto& [id, held] : sessions_) {
        if (!held.playing || !told.insert(held.agent).second) continue;
        Message note = word(ServerVerb::Notice, id);
        if (tell_link) {
            note.fields = {{"note", "local"}, {"value", codec::to_text(fills_.front().second)}};
            say(held, note);
        }
        const bool is_short = smooth_share_ < short_share;
        if (tell_share && (is_short || was_short_[held.agent])) {
            note.fields = {{"note", "fill"}, {"value", codec::to_text(smooth_share_)}};
            say(held, note);
            was_short_[held.agent] = is_short;
        }
    }
    if (garbles_) garble();
    timer_.set(now + look_every_s, [this] { notes(); });
}

}  // namespace lab
