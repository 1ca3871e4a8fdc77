#include "peers.h"

#include <stdexcept>

namespace jasperspread::agent {
namespace {

using fleet::Kind;
using fleet::Message;
using fleet::Outgoing;
using fleet::SealFault;

// One challenge for an address in so long, s: nobody makes us talk.
constexpr double challenge_every_s = 0.2;
// Addresses of which something is kept; beyond, all is forgotten and learned anew.
constexpr std::size_t peers_most = 4096;

net::Address bound_to(const fleet::Settings& settings) {
    const auto address = net::parse_address(settings.listen);
    if (!address) throw std::runtime_error("fleet.listen: expected an address as 127.0.0.1:2910");
    return *address;
}

fleet::MemberRecord own_record(const fleet::Settings& settings, const fleet::Name& name,
                               const net::Address& bound, std::uint64_t token) {
    const std::string at = settings.advertise.empty() ? net::to_text(bound) : settings.advertise;
    return {name, at, {1, token}, fleet::Health::Alive};
}

}  // namespace

// The configuration's seed won't do for the token: several agents may be given one seed, and each start of an
// agent the same. Windows of counters are kept by token, so that two who share one silence each other.
Peers::Peers(net::Loop& loop, Log& log, const PeerOrder& order, const fleet::Name& name)
    : loop_(loop),
      log_(log),
      socket_(loop, bound_to(order.settings),
              [this](std::string_view bytes, const net::Address&) { heard(bytes); }),
      membership_(order.settings,
                  own_record(order.settings, name, socket_.address(), loop.kernel().random() | 1U),
                  loop.kernel().random(), loop.now()),
      seal_(fleet::Keys(order.key), name, membership_.self().address, membership_.self().incarnation),
      timer_(loop) {
    log_.info("fleet_listening", {{"at", net::to_text(socket_.address())}});
    wait();
}

void Peers::wait() {
    if (membership_.retired()) return timer_.cancel();
    timer_.set(membership_.due(), [this] { carry_out(membership_.on_time(loop_.now())); });
}

Peers::Peer& Peers::peer_at(const fleet::Address& address) {
    if (peers_.size() >= peers_most && !peers_.contains(address)) peers_.clear();
    return peers_[address];
}

void Peers::send(const Outgoing& outgoing) {
    const auto to = net::parse_address(outgoing.to);
    if (!to) return;
    Peer& peer = peer_at(outgoing.to);
    // Gossip names a member's token before the first datagram to it: it need not be challenged for.
    if (peer.token == 0) peer.token = outgoing.token;
    seal_.set_incarnation(membership_.self().incarnation);
    const std::string bytes = seal_.close(peer.token, encode(outgoing.message));
    socket_.send(bytes, *to);
    ++counts_.sent;
    counts_.sent_bytes += bytes.size();
    if (outgoing.message.kind != Kind::Challenge) peer.pending = outgoing.message;
}

void Peers::carry_out(const std::vector<Outgoing>& messages) {
    for (const Outgoing& message : messages) send(message);
    for (const fleet::Event& event : membership_.take_events()) {
        log_.info("fleet", {{"what", std::string(name_of(event.what))},
                            {"name", event.who.name},
                            {"at", event.who.address},
                            {"incarnation", std::to_string(event.who.incarnation.number)}});
    }
    for (const std::uint64_t token : membership_.take_forgotten()) seal_.forget(token);
    wait();
}

// Who does not know our process's token is told it, and nothing else comes of what it said.
void Peers::challenge(const fleet::Seal::Opened& opened) {
    Peer& peer = peer_at(opened.at);
    if (loop_.now() < peer.challenged + challenge_every_s) return;
    peer.challenged = loop_.now();
    peer.token = opened.incarnation.token;
    ++counts_.challenges;
    Message message;
    message.kind = Kind::Challenge;
    send({opened.at, message});
}

void Peers::heard(std::string_view bytes) {
    ++counts_.received;
    const auto opened = seal_.open(bytes);
    if (opened.fault == SealFault::Unknown) return challenge(opened);
    if (opened.fault != SealFault::None) return;
    const auto message = fleet::decode(opened.body);
    if (!message) return;
    Peer& peer = peer_at(opened.at);
    peer.token = opened.incarnation.token;
    if (message->kind == Kind::Challenge) {
        // What we said last went out under no token, or under an old one: once more.
        if (const auto pending = std::exchange(peer.pending, std::nullopt)) send({opened.at, *pending});
        return;
    }
    carry_out(membership_.heard(opened.from, opened.at, opened.incarnation, *message, loop_.now()));
    if (membership_.retired()) return;
    if (message->kind == Kind::SessionQuery && holds_) {
        Message answer;
        answer.kind = Kind::SessionReply;
        answer.number = message->number;
        answer.sessions = holds_(message->sessions);
        send({opened.at, answer});
    } else if (message->kind == Kind::SessionReply && told_) {
        told_(opened.from, message->number, message->sessions);
    } else if (message->status) {
        if (heard_) heard_(opened.from, *message->status);
        if (message->kind != Kind::StatusQuery || !status_) return;
        Message answer;
        answer.kind = Kind::StatusReply;
        answer.status = status_();
        send({opened.at, answer});
    }
}

void Peers::query_status(const fleet::Name& whom) {
    const auto member = membership_.members().find(whom);
    if (member == membership_.members().end() || !status_) return;
    Message query;
    query.kind = Kind::StatusQuery;
    query.status = status_();
    send({member->second.record.address, query});
}

void Peers::ask(const fleet::Name& whom, std::uint64_t number, const Sessions& sessions) {
    const auto member = membership_.members().find(whom);
    if (member == membership_.members().end()) return;
    Message query;
    query.kind = Kind::SessionQuery;
    query.number = number;
    query.sessions = sessions;
    send({member->second.record.address, query});
}

void Peers::leave() {
    carry_out(membership_.leave());
}

}  // namespace jasperspread::agent
