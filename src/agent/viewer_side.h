// The viewers' connections: their set-ups, what answers them, and the releases that are owed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "agent/log.h"
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
    void finish();  // closes all connections in order, once what is kept for them is written

    void answered(SessionId id, const std::string& description) override;
    void refused(SessionId id, double stay_away_s) override;
    void failed(SessionId id) override;
    void over(SessionId id, SessionEnd how) override;
    void moved(SessionId id) override;

private:
    class Peer;
    struct Owed {  // a word on a session that stood, until a viewer has heard it
        std::string bytes;
        double since = 0;
        const Peer* on = nullptr;  // where it was said last; null: nowhere, or that connection has gone
        double again_at = 0, pause = 0;
    };

    void accepted(net::Fd fd);
    bool make_room();
    void take(Peer& peer, const codec::ViewerMessage& message, std::string_view behind);
    void take_set_up(Peer& peer, const codec::ViewerMessage& message, bool wanted);
    void turn_away(Peer& peer, SessionId id, std::uint8_t cause, const char* why);
    bool remember(SessionId id);
    void peer_ended(Peer& peer);
    void break_off(Peer& peer);
    void close(Peer& peer);
    void answer(SessionId id, const codec::ViewerMessage& message);
    void owe(SessionId id, const codec::ViewerMessage& message);
    void say(Owed& owed, Peer* to);
    void say_again();
    Peer* any_peer(const Peer* but);  // another one than `but`, where there is one

    net::Loop& loop_;
    net::BufferPool& pool_;
    Log& log_;
    ViewerEvents& events_;
    const Profile& profile_;
    const Bounds most_;
    std::size_t closing_ = 0;
    std::map<std::uint64_t, std::shared_ptr<Peer>> peers_;  // in the order in which they came
    std::uint64_t came_ = 0;
    std::unordered_map<SessionId, Peer*> asked_on_;  // of open set-ups and of sessions that stand
    std::unordered_set<SessionId> seen_;             // ids of set-ups taken lately
    std::deque<SessionId> seen_order_;
    std::map<SessionId, Owed> owed_;
    net::Timer again_;  // while something is owed
    net::Listener listener_;
};

}  // namespace jasperspread::agent
