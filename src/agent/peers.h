// The talk with other agents: datagrams, their seals, and the membership behind them (docs/design/fleet.md).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/log.h"
#include "fleet/membership.h"
#include "fleet/seal.h"
#include "net/datagrams.h"
#include "net/loop.h"

namespace jasperspread::agent {

struct PeerOrder {
    fleet::Settings settings;
    std::string key;  // as fleet::Keys reads it
};

class Peers {
public:
    // Throws fleet::KeyError, or std::system_error where it can't listen.
    Peers(net::Loop& loop, Log& log, const PeerOrder& order, const fleet::Name& name);
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    void change_key(const std::string& key) { seal_.change(fleet::Keys(key)); }  // throws fleet::KeyError
    void leave();
    // Questions of agents that have returned: `holds` tells which of these sessions are held here, and `told`
    // gets the answers to what ask() has asked.
    using Sessions = std::vector<std::uint64_t>;
    void answer_by(std::function<Sessions(const Sessions&)> holds) { holds_ = std::move(holds); }
    using Told = std::function<void(const fleet::Name& by, std::uint64_t number, const Sessions& held)>;
    void hear_answers(Told told) { told_ = std::move(told); }
    void ask(const fleet::Name& whom, std::uint64_t number, const Sessions& sessions);
    // Our status, told to whoever queries it; and what others tell of theirs, in a query or in answer to
    // ours.
    using Heard = std::function<void(const fleet::Name& by, const fleet::Status& status)>;
    void tell_status(std::function<fleet::Status()> status) { status_ = std::move(status); }
    void hear_status(Heard heard) { heard_ = std::move(heard); }
    void query_status(const fleet::Name& whom);
    const fleet::Membership& membership() const { return membership_; }
    const fleet::Seal& seal() const { return seal_; }
    struct Counts {
        std::uint64_t sent = 0, sent_bytes = 0, received = 0, challenges = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Peer {                               // by address
        std::uint64_t token = 0;                // of its process; 0: not known
        std::optional<fleet::Message> pending;  // said last, perhaps under a token that is old
        double challenged = 0;
    };
    Peer& peer_at(const fleet::Address& address);
    void heard(std::string_view bytes);
    void send(const fleet::Outgoing& outgoing);
    void carry_out(const std::vector<fleet::Outgoing>& messages);
    void challenge(const fleet::Seal::Opened& opened);
    void wait();

    net::Loop& loop_;
    Log& log_;
    net::Datagrams socket_;
    fleet::Membership membership_;
    fleet::Seal seal_;
    std::map<fleet::Address, Peer> peers_;
    std::function<Sessions(const Sessions&)> holds_;
    Told told_;
    std::function<fleet::Status()> status_;
    Heard heard_;
    net::Timer timer_;
    Counts counts_;
};

}  // namespace jasperspread::agent
