#include "viewer_side.h"

#include <algorithm>
#include <set>
#include <utility>

#include "agent/set_up_reader.h"
#include "codec/error.h"

namespace jasperspread::agent {

using codec::ViewerMessage;
using codec::ViewerType;
using net::Connection;

namespace {

constexpr std::uint8_t cause_over = 16, cause_broken = 41, cause_refused = 42, test_passed = 1;
// A viewer hears of an end within so long or never, s. What is not heard is said again after a first pause,
// which doubles: twice within the second in which it is due, and few times to viewers that never say so.
constexpr RetransmitQueue::Times retransmit_times{8, 0.25};
constexpr double look_every_s = 0.05;
// A connection must have rested so long before it may make room for a new one, s; one on which nothing has
// come yet, so long.
constexpr double rested_s = 0.25, unheard_s = 0.1;
// A message must be whole so long after its first byte, and the first one so long after the connection came,
// s: whoever sends what can't be read is owed a word or a close within 3 s.
constexpr double whole_within_s = 2.5;
// Set-ups on one connection that nobody can serve, before it is taken for one that asks no more in earnest.
constexpr int most_faults = 8;
// Of one connection, so that those with much to say keep nobody waiting.
constexpr int messages_a_turn = 16;
constexpr std::size_t seen_most = 4096;  // set-ups whose ids are remembered

ViewerMessage word(ViewerType type, SessionId id, std::optional<std::uint8_t> cause = std::nullopt) {
    ViewerMessage message;
    message.type = static_cast<std::uint8_t>(type);
    message.session = id;
    message.cause = cause;
    return message;
}

}  // namespace

// One viewers' connection.
class ViewerSide::Peer final : public Connection::Owner {
public:
    Peer(ViewerSide& side, std::uint64_t came, net::Fd fd)
        : number(came),
          used(side.loop_.now()),
          side_(side),
          patience_(side.loop_),
          connection(side.loop_, side.pool_, *this, std::move(fd)) {
        wait_for_whole();
    }

    std::size_t received(Connection&, std::string_view bytes) override {
        // What crosses our close is sent again on another connection: taken here too, it would count twice.
        if (!connection.is_open()) {
            side_.log_.debug("bytes_dropped", {{"why", "the connection is being closed from here"}});
            return bytes.size();
        }
        std::size_t taken = 0;
        used = side_.loop_.now();
        side_.rerank(*this);
        try {
            for (int messages = 0; connection.is_open(); ++messages) {
                const auto decoded = codec::decode_viewer(bytes.substr(taken));
                if (!decoded) break;
                if (messages >= messages_a_turn && !connection.peer_left()) {
                    connection.resume_later();
                    return taken;
                }
                taken += decoded->size;
                if (!std::exchange(spoke, true)) side_.rerank(*this);
                patience_.cancel();
                side_.take(*this, decoded->message, bytes.substr(taken));
            }
        } catch (const codec::CodecError& error) {
            side_.log_.warn("viewer_unreadable", {{"why", error.what()}});
            side_.break_off(*this);
        }
        if (connection.is_open() && taken < bytes.size() && !patience_.is_set()) wait_for_whole();
        return taken;
    }
    void ended(Connection&, Connection::End) override { side_.peer_ended(*this); }

    ConnectionRanking::Rank rank() const {
        using Trust = ConnectionRanking::Trust;
        const Trust trust = closing  ? Trust::Closing
                            : !spoke ? Trust::Silent
                            : proven ? (faults == 0 ? Trust::Served : Trust::ServedFaulty)
                                     : (faults == 0 ? Trust::Spoken : Trust::Faulty);
        return {trust, !open.empty(), used, number};
    }

    const ConnectionRanking::Number number;
    ConnectionRanking::Rank ranked;  // as the ranking has it
    double used;                     // last traffic
    bool closing = false;            // from here: it waits for the viewer's close
    bool spoke = false;              // a whole message has come
    bool proven = false;             // and what only a viewer does: it was served, or has heard of an end
    int faults = 0;                  // set-ups that nobody can serve
    std::set<SessionId> open;        // set-ups that are owed an answer here
    std::set<SessionId> known;       // these and the sessions that were set up here

private:
    // Guards against messages that never end and connections that never speak: each holds a descriptor.
    void wait_for_whole() {
        patience_.set(side_.loop_.now() + whole_within_s, [this] { look_once_more(); });
    }
    // What has come meanwhile is read in the next turn, before its deadlines.
    void look_once_more() {
        if (!connection.has_unread()) return side_.break_off(*this);
        patience_.set(side_.loop_.now(), [this] { side_.break_off(*this); });
    }

    ViewerSide& side_;
    net::Timer patience_;

public:
    Connection connection;  // last: it may not call back before the rest is there
};

ViewerSide::ViewerSide(net::Loop& loop, net::BufferPool& pool, Log& log, ViewerEvents& events,
                       const Profile& profile, const net::Address& listen, const Bounds& most)
    : loop_(loop),
      pool_(pool),
      log_(log),
      events_(events),
      profile_(profile),
      most_(most),
      unacknowledged_(retransmit_times),
      retransmit_(loop),
      listener_(loop, listen,
                {[this](net::Fd fd) { accepted(std::move(fd)); }, [this] { return make_room(); },
                 [this] {
                     log_.warn("out_of_descriptors");
                     make_room();
                 }}) {}

ViewerSide::~ViewerSide() = default;

// Guards against closing on a set-up that came while the process stood still: viewers send again only what
// crosses a close within a moment.
void ViewerSide::finish(Finish which) {
    for (const auto& [key, peer] : peers_) {
        if (which == Finish::All || !peer->connection.has_unread()) close(*peer);
    }
}

void ViewerSide::accepted(net::Fd fd) {
    const std::uint64_t number = ++came_;
    Peer& peer = *peers_.emplace(number, std::make_shared<Peer>(*this, number, std::move(fd))).first->second;
    peer.ranked = peer.rank();
    ranking_.add(peer.ranked);
}

// To be called after each change of what the ranking goes by.
void ViewerSide::rerank(Peer& peer) {
    const auto rank = peer.rank();
    ranking_.change(peer.ranked, rank);
    peer.ranked = rank;
}

// Keeps the viewers' part of the descriptors. At the bound, connections on which nothing has come yet go at
// once, all of them: they may come by the hundred. Else one that rests and has no set-up open is closed for a
// new one: first the one that rested longest of those on which nobody was served.
bool ViewerSide::make_room() {
    // Those that are closing are not counted, so that newcomers need not wait for the last word of the
    // others; but each still holds a descriptor.
    const bool full = peers_.size() - closing_ >= most_.connections;
    if (closing_ < most_.closing && !full) return true;
    using Trust = ConnectionRanking::Trust;
    const double now = loop_.now();
    std::vector<Peer*> gone;  // at once: nobody was served there, or it has had its time to close
    ranking_.each_rested(Trust::Closing, now - unheard_s, [&](ConnectionRanking::Number number) {
        gone.push_back(peers_.at(number).get());
        return true;
    });
    // Guards against closing on a set-up that has come but was not read yet: where the program gets a part of
    // a core, it may stand still for longer than a connection must rest.
    const auto has_unread = [&](ConnectionRanking::Number number) {
        return peers_.at(number)->connection.has_unread();
    };
    if (full) {
        ranking_.each_rested(Trust::Silent, now - unheard_s, [&](ConnectionRanking::Number number) {
            if (!has_unread(number)) gone.push_back(peers_.at(number).get());
            return true;
        });
    }
    if (gone.empty() && full) {
        Peer* first = nullptr;
        const auto take_first = [&](ConnectionRanking::Number number) {
            if (!has_unread(number)) first = peers_.at(number).get();
            return first == nullptr;
        };
        ranking_.each_rested(Trust::Faulty, Trust::Spoken, now - rested_s, take_first);
        if (first != nullptr) gone.push_back(first);
        if (first == nullptr && closing_ < most_.closing) {
            ranking_.each_rested(Trust::ServedFaulty, Trust::Served, now - rested_s, take_first);
            if (first != nullptr) close(*first);
        }
    }
    std::sort(gone.begin(), gone.end(), [](const Peer* a, const Peer* b) { return a->number < b->number; });
    for (Peer* peer : gone) {
        log_.debug("viewers_connection_closed", {{"why", "room for a newcomer"}});
        peer->connection.close();
        peer_ended(*peer);
    }
    return closing_ < most_.closing && peers_.size() - closing_ < most_.connections;
}

void ViewerSide::close(Peer& peer) {
    if (!peer.connection.is_open()) return;
    peer.closing = true;
    peer.used = loop_.now();
    rerank(peer);
    ++closing_;
    peer.connection.finish();
}

void ViewerSide::note(std::string_view event, SessionId id, const char* why) {
    if (log_.wants(Level::Debug)) log_.debug(event, {{"session", codec::to_hex(id)}, {"why", why}});
}

void ViewerSide::take(Peer& peer, const ViewerMessage& message, std::string_view behind) {
    if (message.is(ViewerType::SetUp)) {
        // Guards against set-ups that were called off before they were read, by a close or a release right
        // behind: the program may have stood still, or the connection waited to be accepted. Nobody wants the
        // answer, and no server is to hear of it.
        const bool wanted = !peer.connection.peer_left() && !codec::releases(behind, message.session);
        if (!wanted) note("request_passed_over", message.session, "its viewer has left");
        take_set_up(peer, message, wanted);
    } else if (message.is(ViewerType::Release)) {
        peer.connection.send(encode(word(ViewerType::ReleaseHeard, message.session)));
        const auto it = asked_on_.find(message.session);
        if (it != asked_on_.end()) {
            it->second->open.erase(message.session);
            it->second->known.erase(message.session);
            rerank(*it->second);
            asked_on_.erase(it);
        }
        events_.given_up(message.session);
    } else if (message.is(ViewerType::ReleaseHeard)) {
        if (unacknowledged_.acknowledge(message.session)) peer.proven = true;
        rerank(peer);
    } else if (message.is(ViewerType::Test)) {
        // `known` was taken in before the first connection could come: this agent is ready.
        peer.connection.send(encode(word(ViewerType::TestResult, message.session, test_passed)));
    } else if (!codec::is_known(message.type)) {
        codec::malformed("a message of a type that there is not");
    }
}

void ViewerSide::take_set_up(Peer& peer, const ViewerMessage& message, bool wanted) {
    const SessionId id = message.session;
    SetUp set_up;
    try {
        set_up = read_set_up(message, profile_, loop_.now());
    } catch (const codec::CodecError& error) {
        // The message is whole but asks what nobody can do: refused, as nothing has run.
        return turn_away(peer, id, cause_refused, error.what());
    }
    // What plays already wants no answer, and belongs to no connection.
    if (!wanted && !set_up.playing_at) return;
    const bool fresh = remember(id) && !events_.may_have_run(id);
    if (set_up.playing_at) return take_handed_over(peer, set_up);
    // Guards against a set-up under the number of another one that is open or stands: its answer must go
    // where it was asked for, not to whoever uses its number.
    if (asked_on_.contains(id)) codec::malformed("two set-ups under one number");
    // Ids never come twice. It failed, whatever became of the first: an attempt of that may have run.
    if (!fresh) return turn_away(peer, id, cause_broken, "a set-up comes again");
    asked_on_[id] = &peer;
    peer.open.insert(id);
    peer.known.insert(id);
    rerank(peer);
    events_.set_up(set_up);
}

// A session that there is no room for is over for its viewer.
void ViewerSide::take_handed_over(Peer& peer, const SetUp& set_up) {
    if (events_.may_take_over(set_up)) return events_.set_up(set_up);
    note("session_not_taken_over", set_up.request.id, "there is no room");
    peer.connection.send(encode(word(ViewerType::Release, set_up.request.id, cause_broken)));
}

// False when it was there already.
bool ViewerSide::remember(SessionId id) {
    if (!seen_.insert(id).second) return false;
    seen_order_.push_back(id);
    if (seen_order_.size() > seen_most) {
        seen_.erase(seen_order_.front());
        seen_order_.pop_front();
    }
    return true;
}

// Guards against clients that ask again, at full speed, the moment they are turned away: the module never
// hears of them, so that they do not count as viewers who want something, and in the end they are closed.
void ViewerSide::turn_away(Peer& peer, SessionId id, std::uint8_t cause, const char* why) {
    ++peer.faults;
    rerank(peer);
    if (peer.faults > most_faults) codec::malformed(why);
    if (peer.faults == 1) log_.warn("set_up_turned_away", {{"why", why}});
    peer.connection.send(encode(word(ViewerType::Release, id, cause)));
}

// Ends a connection that can't be read. Its open set-ups get their answer first: they failed.
void ViewerSide::break_off(Peer& peer) {
    for (const SessionId id : std::set<SessionId>(peer.open)) {
        failed(id);
        events_.given_up(id);
    }
    close(peer);
}

void ViewerSide::peer_ended(Peer& peer) {
    const auto it = peers_.find(peer.number);
    if (it == peers_.end()) return;
    loop_.retire(it->second);
    peers_.erase(it);
    ranking_.remove(peer.ranked);
    closing_ -= peer.closing ? 1 : 0;
    for (const SessionId id : peer.known) asked_on_.erase(id);
    // Guards against a message that crossed the viewer's close and was never read: it is sent once more.
    unacknowledged_.connection_lost(peer.number, loop_.now());
    retransmit();
    for (const SessionId id : std::set<SessionId>(peer.open)) events_.given_up(id);
}

// The final answer to a set-up, on the connection that it came by. It goes out at once.
void ViewerSide::answer(SessionId id, const ViewerMessage& message) {
    const auto it = asked_on_.find(id);
    if (it == asked_on_.end()) return note("answer_not_sent", id, "its viewer has left");
    Peer& peer = *it->second;
    peer.open.erase(id);
    peer.used = loop_.now();
    rerank(peer);
    if (!message.is(ViewerType::Answer)) {
        peer.known.erase(id);
        asked_on_.erase(it);
    }
    peer.connection.send(encode(message));
}

void ViewerSide::answered(SessionId id, const std::string& description) {
    ViewerMessage message = word(ViewerType::Answer, id);
    message.description = description;
    if (const auto it = asked_on_.find(id); it != asked_on_.end()) it->second->proven = true;
    answer(id, message);  // ranks it anew
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
    send_until_acknowledged(
        id, word(ViewerType::Release, id, how == SessionEnd::Completed ? cause_over : cause_broken));
}

void ViewerSide::moved(SessionId id) {
    send_until_acknowledged(id, word(ViewerType::Move, id));
}

// One on which a viewer was served before one that has only spoken: a client that never was would take what
// it is told for an answer of its own, and one that has only just connected passes it over. Of these the one
// used last, as the least likely to be closing now.
ViewerSide::Peer* ViewerSide::most_trusted_peer(ConnectionRanking::Number not_this) {
    // A silent one that has only just come is about to speak.
    const auto number = ranking_.most_trusted(not_this, loop_.now() - unheard_s);
    return number ? peers_.at(*number).get() : nullptr;
}

// Says that a session is over, on its own connection or any other one.
void ViewerSide::send_until_acknowledged(SessionId id, const ViewerMessage& message) {
    Peer* to = nullptr;
    if (const auto it = asked_on_.find(id); it != asked_on_.end()) {
        to = it->second->connection.is_open() ? it->second : nullptr;
        it->second->known.erase(id);
        asked_on_.erase(it);
    }
    if (to == nullptr) to = most_trusted_peer(0);
    unacknowledged_.add(id, encode(message), loop_.now());
    if (to != nullptr) send_on(*to, id);
    if (!retransmit_.is_set()) retransmit_.set(loop_.now() + look_every_s, [this] { retransmit(); });
}

void ViewerSide::send_on(Peer& peer, SessionId id) {
    peer.connection.send(unacknowledged_.send(id, peer.number, loop_.now()));
}

// Guards against an end that nobody heard: it is sent again, on another connection where there is one.
void ViewerSide::retransmit() {
    const double now = loop_.now();
    unacknowledged_.drop_expired(now);
    // With nobody to hear them, any number may be due.
    if (most_trusted_peer(0) != nullptr) {
        for (const SessionId id : unacknowledged_.due(now)) {
            if (Peer* to = most_trusted_peer(unacknowledged_.sent_on(id))) send_on(*to, id);
        }
    }
    if (!unacknowledged_.empty()) retransmit_.set(now + look_every_s, [this] { retransmit(); });
}

}  // namespace jasperspread::agent
