#include "viewer_side.h"

#include <algorithm>
#include <set>
#include <utility>

#include "agent/log.h"
#include "codec/error.h"

namespace jasperspread::agent {

using codec::ViewerMessage;
using codec::ViewerType;
using net::Connection;

namespace {

constexpr std::uint8_t cause_over = 16, cause_broken = 41, cause_refused = 42, test_passed = 1;
// A viewer hears of an end within so long or never; and so long a word may be lost with its connection, s.
constexpr double owed_for_s = 8, heard_within_s = 1;
// A connection must have rested so long before it may make room for a new one, s.
constexpr double rested_s = 0.25;

ViewerMessage word(ViewerType type, SessionId id, std::optional<std::uint8_t> cause = std::nullopt) {
    ViewerMessage message;
    message.type = static_cast<std::uint8_t>(type);
    message.session = id;
    message.cause = cause;
    return message;
}

const std::string* figure(const ViewerMessage& message, const char* name) {
    const auto it = message.figures.find(name);
    return it == message.figures.end() ? nullptr : &it->second;
}

std::uint32_t small_figure(const ViewerMessage& message, const char* name) {
    const std::string* text = figure(message, name);
    const auto value = text == nullptr ? std::nullopt : codec::parse_number(*text);
    if (!value || *value < 0 || *value > 1e9) codec::malformed(std::string("a set-up has no ") + name);
    return static_cast<std::uint32_t>(*value);
}

// What a set-up asks, as the module takes it. Throws CodecError where something needed is not there.
SetUp read_set_up(const ViewerMessage& message, const Profile& profile, double now) {
    SetUp set_up;
    cinderfront::Request& request = set_up.request;
    request.id = message.session;
    set_up.class_name = message.class_name.value_or("");
    set_up.title = message.title.value_or("");
    set_up.description = message.description.value_or("");
    const auto& classes = profile.class_names;
    const auto cls = std::find(classes.begin(), classes.end(), plain_name(set_up.class_name));
    if (cls == classes.end()) codec::malformed("a set-up names no class of the settings");
    request.cls = static_cast<std::uint32_t>(cls - classes.begin());
    const double deadline = profile.settings.classes[request.cls].deadline;
    request.not_after = now + (message.wait_ms ? std::max(0.0, *message.wait_ms) / 1000 : deadline);
    if (message.hint_ms && *message.hint_ms >= 0) request.hint = *message.hint_ms / 1000;
    request.title = codec::parse_hex(set_up.title);
    if (const std::string* viewer = figure(message, "viewer")) request.key = codec::parse_hex(*viewer);
    request.start_cell = small_figure(message, "home");
    request.holders = small_figure(message, "copies");
    request.ceiling = static_cast<int>(small_figure(message, "top"));
    const std::string* again = figure(message, "again");
    request.repeat = again != nullptr && *again != "0";
    if (const std::string* at = figure(message, "at")) set_up.playing_at = *at;
    return set_up;
}

}  // namespace

// One viewers' connection.
class ViewerSide::Peer : public Connection::Owner {
public:
    Peer(ViewerSide& side, net::Fd fd)
        : used(net::unix_now()), side_(side), connection(side.loop_, side.pool_, *this, std::move(fd)) {}

    std::size_t received(Connection&, std::string_view bytes) override {
        // What crosses our close is sent again on another connection: taken here too, it would count twice.
        if (!connection.is_open()) return bytes.size();
        std::size_t taken = 0;
        used = net::unix_now();
        try {
            while (connection.is_open()) {
                const auto decoded = codec::decode_viewer(bytes.substr(taken));
                if (!decoded) break;
                taken += decoded->size;
                side_.take(*this, decoded->message);
            }
        } catch (const codec::CodecError& error) {
            log_line(std::string("viewer: ") + error.what());
            side_.break_off(*this);
        }
        return taken;
    }
    void ended(Connection&, Connection::End) override { side_.peer_ended(*this); }

    double used;                // last traffic
    std::set<SessionId> open;   // set-ups that are owed an answer here
    std::set<SessionId> known;  // these and the sessions that were set up here
    std::deque<Owed> said;      // words on ended sessions that may be lost if this connection breaks now

private:
    ViewerSide& side_;

public:
    Connection connection;  // last: it may not call back before the rest is there
};

ViewerSide::ViewerSide(net::Loop& loop, net::BufferPool& pool, ViewerEvents& events, const Profile& profile,
                       const net::Address& listen, std::size_t connections)
    : loop_(loop),
      pool_(pool),
      events_(events),
      profile_(profile),
      most_(connections),
      listener_(loop, listen,
                {[this](net::Fd fd) { accepted(std::move(fd)); }, [this] { return make_room(); },
                 [this] {
                     log_line("out of descriptors");
                     make_room();
                 }}) {}

ViewerSide::~ViewerSide() = default;

void ViewerSide::finish() {
    for (const auto& [key, peer] : peers_) peer->connection.finish();
}

void ViewerSide::accepted(net::Fd fd) {
    auto peer = std::make_shared<Peer>(*this, std::move(fd));
    Peer& fresh = *peer;
    peers_.emplace(&fresh, std::move(peer));
    const double now = net::unix_now();
    for (const Owed& owed : std::exchange(owed_, {})) {
        if (now < owed.since + owed_for_s) say(fresh, owed);
    }
}

// Keeps the viewers' part of the descriptors: at the bound, the connection that rested longest and on which
// no set-up is open is closed for a new one.
bool ViewerSide::make_room() {
    if (peers_.size() < most_) return true;
    Peer* oldest = nullptr;
    for (const auto& [key, peer] : peers_) {
        if (!peer->open.empty() || !peer->connection.is_open()) continue;
        if (oldest == nullptr || peer->used < oldest->used) oldest = peer.get();
    }
    if (oldest != nullptr && oldest->used < net::unix_now() - rested_s) oldest->connection.finish();
    return false;
}

void ViewerSide::take(Peer& peer, const ViewerMessage& message) {
    if (message.is(ViewerType::SetUp)) {
        take_set_up(peer, message);
    } else if (message.is(ViewerType::Release)) {
        peer.connection.send(encode(word(ViewerType::ReleaseHeard, message.session)));
        const auto it = asked_on_.find(message.session);
        if (it != asked_on_.end()) {
            it->second->open.erase(message.session);
            it->second->known.erase(message.session);
            asked_on_.erase(it);
        }
        events_.given_up(message.session);
    } else if (message.is(ViewerType::ReleaseHeard)) {
        std::erase_if(peer.said, [&](const Owed& owed) { return owed.id == message.session; });
    } else if (message.is(ViewerType::Test)) {
        // `known` was taken in before the first connection could come: this agent is ready.
        peer.connection.send(encode(word(ViewerType::TestResult, message.session, test_passed)));
    }
}

void ViewerSide::take_set_up(Peer& peer, const ViewerMessage& message) {
    SetUp set_up;
    try {
        set_up = read_set_up(message, profile_, net::unix_now());
    } catch (const codec::CodecError& error) {
        // The message is whole but asks what nobody can do: refused, as nothing has run.
        log_line(std::string("viewer: ") + error.what());
        return peer.connection.send(encode(word(ViewerType::Release, message.session, cause_refused)));
    }
    if (!set_up.playing_at) {
        Peer*& on = asked_on_[message.session];
        if (on != nullptr) {  // sent again after its connection was closed: answered on the new one
            on->open.erase(message.session);
            on->known.erase(message.session);
        }
        on = &peer;
        peer.open.insert(message.session);
        peer.known.insert(message.session);
    }
    events_.set_up(set_up);
}

// Ends a connection that can't be read. Its open set-ups get their answer first: they failed.
void ViewerSide::break_off(Peer& peer) {
    for (const SessionId id : std::set<SessionId>(peer.open)) {
        failed(id);
        events_.given_up(id);
    }
    peer.connection.finish();
}

void ViewerSide::peer_ended(Peer& peer) {
    const auto it = peers_.find(&peer);
    if (it == peers_.end()) return;
    loop_.retire(it->second);
    peers_.erase(it);
    for (const SessionId id : peer.known) asked_on_.erase(id);
    // Guards against a word that crossed the viewer's close and was never read: it is said once more.
    const double now = net::unix_now();
    for (const Owed& owed : std::exchange(peer.said, {})) {
        if (now <= owed.since + heard_within_s) say_soon(any_peer(owed.id), owed);
    }
    for (const SessionId id : std::set<SessionId>(peer.open)) events_.given_up(id);
}

// The final answer to a set-up, on the connection that it came by. It goes out at once.
void ViewerSide::answer(SessionId id, const ViewerMessage& message) {
    const auto it = asked_on_.find(id);
    if (it == asked_on_.end()) return;  // the viewer has gone
    Peer& peer = *it->second;
    peer.open.erase(id);
    peer.used = net::unix_now();
    if (!message.is(ViewerType::Answer)) {
        peer.known.erase(id);
        asked_on_.erase(it);
    }
    peer.connection.send(encode(message));
}

void ViewerSide::answered(SessionId id, const std::string& description) {
    ViewerMessage message = word(ViewerType::Answer, id);
    message.description = description;
    answer(id, message);
}

void ViewerSide::refused(SessionId id, double stay_away_s) {
    ViewerMessage message = word(ViewerType::Release, id, cause_refused);
    if (stay_away_s > 0) message.stay_away_ms = static_cast<double>(static_cast<long>(stay_away_s * 1000));
    answer(id, message);
}

void ViewerSide::failed(SessionId id) {
    answer(id, word(ViewerType::Release, id, cause_broken));
}

void ViewerSide::over(SessionId id, SessionEnd how) {
    if (how == SessionEnd::ViewerLeft) {  // it knows
        if (const auto it = asked_on_.find(id); it != asked_on_.end()) {
            it->second->known.erase(id);
            asked_on_.erase(it);
        }
        return;
    }
    owe(id, word(ViewerType::Release, id, how == SessionEnd::Completed ? cause_over : cause_broken));
}

void ViewerSide::moved(SessionId id) {
    owe(id, word(ViewerType::Move, id));
}

ViewerSide::Peer* ViewerSide::any_peer(SessionId id) {
    const auto it = asked_on_.find(id);
    if (it != asked_on_.end() && it->second->connection.is_open()) return it->second;
    Peer* best = nullptr;
    for (const auto& [key, peer] : peers_) {
        // The one used last is the least likely to be closing now.
        if (peer->connection.is_open() && (best == nullptr || peer->used > best->used)) best = peer.get();
    }
    return best;
}

// Says that a session is over, on its own connection, any other one, or the next.
void ViewerSide::owe(SessionId id, const ViewerMessage& message) {
    Peer* peer = any_peer(id);
    if (const auto it = asked_on_.find(id); it != asked_on_.end()) {
        it->second->known.erase(id);
        asked_on_.erase(it);
    }
    say_soon(peer, Owed{id, encode(message), net::unix_now()});
}

void ViewerSide::say_soon(Peer* peer, const Owed& owed) {
    if (peer != nullptr) return say(*peer, owed);
    std::erase_if(owed_, [&](const Owed& old) { return old.since < owed.since - owed_for_s; });
    owed_.push_back(owed);
}

void ViewerSide::say(Peer& peer, const Owed& owed) {
    while (!peer.said.empty() && peer.said.front().since < net::unix_now() - heard_within_s) {
        peer.said.pop_front();
    }
    peer.said.push_back(owed);
    peer.said.back().since = net::unix_now();
    peer.connection.send(owed.bytes);
}

}  // namespace jasperspread::agent
