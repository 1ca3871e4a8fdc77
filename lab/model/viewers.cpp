#include "viewers.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "codec/message.h"

namespace lab {

using jasperspread::codec::ViewerType;
namespace codec = jasperspread::codec;

namespace {

constexpr double connect_timeout_s = 0.5, connect_again_s = 0.3;
constexpr double back_least_s = 0.5, back_spread_s = 2.5;
constexpr int most_agains = 6;
// Its time and the slack, so that a late answer is still seen; and longer where the slack is wide, so that
// stalls of the laboratory don't excuse one that never comes.
constexpr double waits_beyond_s = 0.3, waits_in_slacks = 2;
constexpr double front_notices_s = 1.0;    // that an agent is not there
constexpr double asks_after_term_s = 0.5;  // set-ups keep coming so long after SIGTERM
constexpr std::uint8_t cause_gone = 16;
// A set-up that crosses the agent's close within 50 ms is sent again; beside it what relays and turns of the
// laboratory's loop add.
constexpr double crosses_within_s = 0.1;

}  // namespace

Viewers::Viewers(jasperspread::net::Loop& loop, const WorldPlan& plan, int agent, Ledger& ledger,
                 std::uint64_t seed)
    : Party(loop), plan_(plan), agent_(agent), ledger_(ledger), random_(seed) {
    rate_ = plan.arrivals_per_s / plan.agents;
}

Viewers::~Viewers() {
    for (const auto& key : timers_) loop_.deadlines().cancel(key);
    for (auto& [id, asked] : asked_) loop_.deadlines().cancel(asked.due);
    for (auto* all : {&watching_, &claims_}) {
        for (auto& [id, watched] : *all) loop_.deadlines().cancel(watched.asked.due);
    }
}

void Viewers::after(double seconds, std::function<void()> what) {
    auto slot = std::make_shared<jasperspread::net::Deadlines::Key>();
    *slot = loop_.deadlines().add(loop_.now() + seconds, [this, slot, what = std::move(what)] {
        timers_.erase(*slot);
        what();
    });
    timers_.insert(*slot);
}

void Viewers::start(const jasperspread::net::Address& agent) {
    to_ = agent;
    connection_ = connect(to_, connect_timeout_s);
}

void Viewers::opened(Connection& connection) {
    Message test;
    test.type = static_cast<std::uint8_t>(ViewerType::Test);
    test.session = 1;
    test.cause = 0;
    connection.send(encode(test));
}

void Viewers::left(std::uint64_t number, Connection::End) {
    if (number != connection_) return;
    connection_ = 0;
    ready_ = leaving_ = false;
    ledger_.viewers_cut_off(agent_, true, loop_.now());
    for (auto& [id, asked] : std::exchange(asked_, {})) {
        loop_.deadlines().cancel(asked.due);
        if (asks_on_ && loop_.now() < asked.sent + crosses_within_s) {
            ledger_.crossed_close(id, loop_.now());
            after(0, [this, asked = asked] { send_set_up(asked); });
            continue;
        }
        ledger_.connection_lost(id, loop_.now());
        come_again(asked);
    }
    asks_on_ = false;
    after(connect_again_s, [this] {
        if (connection_ == 0) connection_ = connect(to_, connect_timeout_s);
    });
}

void Viewers::say(const Message& message) {
    if (Connection* to = connection(connection_)) to->send(encode(message));
}

std::size_t Viewers::heard(std::uint64_t, std::string_view bytes) {
    std::size_t taken = 0;
    while (const auto decoded = codec::decode_viewer(bytes.substr(taken))) {
        taken += decoded->size;
        take(decoded->message);
    }
    return taken;
}

void Viewers::arrive() {
    if (!arriving_ || rate_ <= 0) return;
    {
        Asked asked;
        asked.cls = uniform() < plan_.paid_part ? 0 : 1;
        const auto tops = plan_.ladder_kb.size();
        asked.top = static_cast<int>(uniform() < 0.25 ? random_() % tops : tops - 1);
        asked.wish.length_s = -plan_.life_s * std::log(1 - uniform() * 0.999);
        asked.wish.top = asked.top;
        asked.title = random_() % static_cast<std::uint64_t>(plan_.titles);
        send_set_up(asked);
    }
    ++arrivals_;
    after(-std::log(1 - uniform() * 0.999) / rate_, [this] { arrive(); });
}

SessionId Viewers::ask(int cls, double length_s) {
    Asked asked;
    asked.cls = cls;
    asked.top = static_cast<int>(plan_.ladder_kb.size()) - 1;
    asked.wish = {length_s, asked.top};
    asked.title = random_() % static_cast<std::uint64_t>(plan_.titles);
    return send_set_up(asked);
}

SessionId Viewers::send_set_up(Asked asked) {
    if (takes_new()) return send_here(asked);
    Viewers* other = elsewhere_ ? elsewhere_() : nullptr;
    if (other != nullptr && other->takes_new()) return other->send_here(asked);
    wait_for_somebody(asked);
    return 0;
}

// Nobody is there to be asked: the viewer looks again after a while, and is unserved till then.
void Viewers::wait_for_somebody(Asked asked) {
    if (!arriving_) return;
    const std::uint64_t number = ++waits_;
    waiting_.emplace(number, asked);
    after(back_least_s + back_spread_s * uniform(), [this, number, asked] {
        waiting_.erase(number);
        send_set_up(asked);
    });
}

void Viewers::agent_ends() {
    after(asks_after_term_s, [this] { leaving_ = true; });
}

void Viewers::agent_gone(bool by_itself) {
    for (auto& [id, watched] : std::exchange(watching_, {})) {
        if (by_itself)
            ledger_.violate("an agent ended and left its viewer untold " + std::to_string(id), loop_.now());
        if (!by_itself && plan_.claimed_part > 0 && uniform() < plan_.claimed_part) {
            loop_.deadlines().cancel(std::exchange(watched.asked.due, {0, 0}));
            claims_[id] = watched;
            continue;
        }
        loop_.deadlines().cancel(watched.asked.due);
        Asked asked = watched.asked;
        asked.wish.length_s -= loop_.now() - watched.since;
        if (asked.wish.length_s > 1) come_again(asked);
    }
    claimed_.clear();
    if (!claims_.empty()) after(front_notices_s, [this] { claim_elsewhere(); });
}

// A set-up with `at` wants no answer: its viewer watches on. What has ended meanwhile is asked for anew.
void Viewers::claim_here(SessionId id, const Watched& watched) {
    const int server = ledger_.claims(id, agent_);
    if (server < 0) {
        Asked asked = watched.asked;
        asked.wish.length_s -= loop_.now() - watched.since;
        if (asked.wish.length_s > 1) come_again(asked);
        return;
    }
    ++claims_made_;
    claimed_.insert(id);
    Message message = set_up_message(id, watched.asked);
    message.figures["at"] = server_id(server);
    say(message);
    Watched& here = watching_[id] = watched;
    const double stays = here.leaves_at - loop_.now();
    here.asked.due = loop_.deadlines().add(loop_.now() + std::max(0.0, stays), [this, id] { leave(id); });
}

void Viewers::claim() {
    for (auto& [id, watched] : std::exchange(claims_, {})) claim_here(id, watched);
}

// The front has noticed that the agent is not there, and brings its viewers to others.
void Viewers::claim_elsewhere() {
    if (claims_.empty() || takes_new()) return;
    Viewers* other = elsewhere_ ? elsewhere_() : nullptr;
    if (other == nullptr || !other->takes_new()) return after(front_notices_s, [this] { claim_elsewhere(); });
    for (auto& [id, watched] : std::exchange(claims_, {})) other->claim_here(id, watched);
}

Viewers::Message Viewers::set_up_message(SessionId id, const Asked& asked) const {
    const ClassPlan& cls = plan_.classes[static_cast<std::size_t>(asked.cls)];
    Message message;
    message.type = static_cast<std::uint8_t>(ViewerType::SetUp);
    message.session = id;
    message.class_name = cls.name;
    message.title = codec::to_hex(asked.title + 1);
    message.wait_ms = cls.deadline * 1000;
    message.hint_ms = asked.wish.length_s * 1000;
    message.description = describe(asked.wish);
    const auto home = asked.title % static_cast<std::uint64_t>(plan_.cells);
    message.figures = {{"home", std::to_string(home)},
                       {"copies", std::to_string(plan_.copies)},
                       {"top", std::to_string(asked.top)},
                       {"viewer", codec::to_hex(id)}};
    if (asked.again > 0) message.figures["again"] = "1";
    return message;
}

SessionId Viewers::send_here(Asked asked) {
    const SessionId id = (static_cast<SessionId>(agent_) + 1) << 32 | ++serial_;
    const ClassPlan& cls = plan_.classes[static_cast<std::size_t>(asked.cls)];
    const Message message = set_up_message(id, asked);
    ledger_.asked(id, asked.cls, asked.top, loop_.now(), loop_.now() + cls.deadline);
    asked.sent = loop_.now();
    const double waits = plan_.gives_up_part > 0 && uniform() < plan_.gives_up_part
                             ? cls.deadline * uniform()
                             : cls.deadline + (1 + waits_in_slacks) * plan_.slack_s + waits_beyond_s;
    asked.due = loop_.deadlines().add(loop_.now() + waits, [this, id] {
        const auto it = asked_.find(id);
        if (it == asked_.end()) return;
        ledger_.gave_up(id, loop_.now());
        Message gone;
        gone.type = static_cast<std::uint8_t>(ViewerType::Release);
        gone.session = id;
        gone.cause = cause_gone;
        say(gone);
        asked_.erase(it);
    });
    asked_.emplace(id, asked);
    say(message);
    return id;
}

void Viewers::come_again(Asked asked, double not_before_s) {
    if (!arriving_ || ++asked.again > most_agains || uniform() >= plan_.again_part) return;
    const double own = back_least_s + back_spread_s * uniform();
    after(std::max(own, not_before_s), [this, asked] { send_set_up(asked); });
}

void Viewers::take(const Message& message) {
    const SessionId id = message.session;
    if (message.is(ViewerType::TestResult)) {
        ready_ = true;
        ledger_.viewers_cut_off(agent_, false, loop_.now());
        if (!std::exchange(started_, true)) arrive();
        return claim();
    }
    const auto asked = asked_.find(id);
    if (message.is(ViewerType::Answer)) {
        ledger_.answered(id, message.description.value_or(""), loop_.now());
        ++answers_;
        if (asked == asked_.end()) return;
        loop_.deadlines().cancel(asked->second.due);
        Watched& watched = watching_[id] = Watched{asked->second, loop_.now()};
        asked_.erase(asked);
        if (leave_at_once) return leave(id);
        // Some leave before the title is over.
        constexpr double leave_part = 0.2;
        const double stays = uniform() < leave_part ? watched.asked.wish.length_s * uniform() : 1e6;
        watched.leaves_at = loop_.now() + stays;
        watched.asked.due = loop_.deadlines().add(watched.leaves_at, [this, id] { leave(id); });
    } else if (message.is(ViewerType::Release)) {
        Message heard;
        heard.type = static_cast<std::uint8_t>(ViewerType::ReleaseHeard);
        heard.session = id;
        if (asked == asked_.end()) {
            say(heard);
            return over(id, message.cause != cause_gone);
        }
        constexpr int refused[] = {34, 42, 102};
        const bool harmless = std::ranges::find(refused, message.cause.value_or(0)) != std::end(refused);
        ledger_.turned_away(id, harmless, loop_.now());
        ++refusals_;
        loop_.deadlines().cancel(asked->second.due);
        const Asked again = asked->second;
        asked_.erase(asked);
        const bool heeds = plan_.heeds_part > 0 && uniform() < plan_.heeds_part;
        come_again(again, heeds ? message.stay_away_ms.value_or(0) / 1000 : 0);
    } else if (message.is(ViewerType::Move)) {
        over(id, true);
    }
}

void Viewers::over(SessionId id, bool broken) {
    const auto it = watching_.find(id);
    if (it == watching_.end()) return;
    ledger_.told_over(id, loop_.now());
    if (claimed_.erase(id) > 0 && broken && ledger_.streams(id)) ++claims_lost_;
    loop_.deadlines().cancel(it->second.asked.due);
    Asked asked = it->second.asked;
    asked.wish.length_s -= loop_.now() - it->second.since;
    watching_.erase(it);
    if (broken && asked.wish.length_s > 1) come_again(asked);
}

void Viewers::leave_all() {
    while (!watching_.empty()) leave(watching_.begin()->first);
}

void Viewers::leave(SessionId id) {
    const auto it = watching_.find(id);
    if (it == watching_.end()) return;
    ledger_.viewer_left(id, loop_.now());
    if (it->second.asked.due.second != 0) loop_.deadlines().cancel(it->second.asked.due);
    watching_.erase(it);
    Message gone;
    gone.type = static_cast<std::uint8_t>(ViewerType::Release);
    gone.session = id;
    gone.cause = cause_gone;
    say(gone);
}

void Viewers::tick(double seconds) {
    for (const auto& [id, watched] : watching_) ledger_.wants(id, seconds);
    for (const auto& [id, asked] : asked_) ledger_.wants(id, seconds);
    for (const auto& [number, asked] : waiting_) ledger_.finds_nobody(asked.cls, asked.top, seconds);
}

// ---- The control feed ----

Feed::Feed(jasperspread::net::Loop& loop, const WorldPlan& plan) : Party(loop), plan_(plan), timer_(loop) {
    comment();
}

nlohmann::json Feed::known() const {
    return {{"n", 1}, {"events", {feed_event(plan_, 1, true, members_)}}};
}

void Feed::change(int server, const std::string& phase, double up_since) {
    for (Member& member : members_) {
        if (member.server != server) continue;
        member.phase = phase;
        member.up_since = up_since;
        const std::uint64_t number = events_.size() + 2;
        events_.push_back("id: " + std::to_string(number) +
                          "\ndata: " + feed_event(plan_, number, false, {member}).dump() + "\n\n");
    }
    tell_last();
}

void Feed::start_at(int server, const jasperspread::net::Address& address, double up_since) {
    std::erase_if(members_, [&](const Member& member) { return member.server == server; });
    members_.push_back({server, address, "removed", 0});
    change(server, "up", up_since);
}

void Feed::tell_last() {
    for (const std::uint64_t number : listening_) {
        Connection* to = muted_.contains(number) ? nullptr : connection(number);
        if (to != nullptr) to->send(events_.back());
    }
}

std::size_t Feed::heard(std::uint64_t number, std::string_view bytes) {
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos) return 0;
    const std::string_view name = "Last-Event-ID: ";
    const std::size_t at = bytes.find(name);
    std::uint64_t last = 1;
    if (at != std::string_view::npos) last = std::stoull(std::string(bytes.substr(at + name.size(), 20)));
    Connection* to = connection(number);
    to->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    for (std::size_t i = last > 0 ? last - 1 : 0; i < events_.size(); ++i) to->send(events_[i]);
    listening_.insert(number);
    return end + 4;
}

void Feed::loses_power() {
    dark_ = true;
    stop_listening();
    drop_all();
    listening_.clear();
}

void Feed::comment() {
    for (const std::uint64_t number : listening_) {
        const bool mute = silent_ || muted_.contains(number);
        if (Connection* to = mute ? nullptr : connection(number)) to->send(": still here\n\n");
    }
    timer_.set(loop_.now() + 1, [this] { comment(); });
}

}  // namespace lab
