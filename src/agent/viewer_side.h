// The viewers' connections: their set-ups, what answers them, and the ends of sessions that they are told.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "agent/connection_ranking.h"
#include "agent/log.h"
#include "agent/retransmit_queue.h"
#include "agent/seam.h"
#include "codec/viewer_codec.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/listener.h"

namespace jasperspread::agent {

class ViewerSide : public ViewerPort {
public:
    // At most `connections` viewers' connections are held, and `closing` more that wait for the viewer's
    // close.
    struct Bounds {
        std::size_t connections = 0, closing = 0;
    };
    ViewerSide(net::Loop& loop, net::BufferPool& pool, Log& log, ViewerEvents& events, const Profile& profile,
               const net::Address& listen, const Bounds& most);
    ~ViewerSide();

    net::Address address() const { return listener_.address(); }
    std::size_t connections() const { return peers_.size(); }
    void accept_no_more() { listener_.close(); }  // but those who wait already
    // Closes all connections in order, once what is kept for them is written. `WhereRead`: but for those on
    // which something has come that was not read yet; to be called again after the next turn.
    enum class Finish : std::uint8_t { WhereRead, All };
    void finish(Finish which);

    void answered(SessionId id, const std::string& description) override;
    void refused(SessionId id, double stay_away_s) override;
    void failed(SessionId id) override;
    void over(SessionId id, SessionEnd how) override;
    void moved(SessionId id) override;

private:
    class Peer;

    void accepted(net::Fd fd);
    void rerank(Peer& peer);
    bool make_room();
    void note(std::string_view event, SessionId id, const char* why);
    void take(Peer& peer, const codec::ViewerMessage& message, std::string_view behind);
    void take_set_up(Peer& peer, const codec::ViewerMessage& message, bool wanted);
    void take_handed_over(Peer& peer, const SetUp& set_up);
    void turn_away(Peer& peer, SessionId id, std::uint8_t cause, const char* why);
    bool remember(SessionId id);
    void peer_ended(Peer& peer);
    void break_off(Peer& peer);
    void close(Peer& peer);
    void answer(SessionId id, const codec::ViewerMessage& message);
    void send_until_acknowledged(SessionId id, const codec::ViewerMessage& message);
    void send_on(Peer& peer, SessionId id);
    void retransmit();
    Peer* most_trusted_peer(ConnectionRanking::Number not_this);  // null: there is none

    net::Loop& loop_;
    net::BufferPool& pool_;
    Log& log_;
    ViewerEvents& events_;
    const Profile& profile_;
    const Bounds most_;
    std::size_t closing_ = 0;
    std::map<std::uint64_t, std::shared_ptr<Peer>> peers_;  // in the order in which they came
    std::uint64_t came_ = 0;
    ConnectionRanking ranking_;
    std::unordered_map<SessionId, Peer*> asked_on_;  // of open set-ups and of sessions that stand
    std::unordered_set<SessionId> seen_;             // ids of set-ups taken lately
    std::deque<SessionId> seen_order_;
    RetransmitQueue unacknowledged_;  // of sessions that stood: the words on their end
    net::Timer retransmit_;           // while there are any
    net::Listener listener_;
};

}  // namespace jasperspread::agent
