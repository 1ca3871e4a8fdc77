// The viewers' connections: their set-ups, what answers them, and the releases that are owed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "agent/seam.h"
#include "codec/viewer_codec.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/listener.h"

namespace jasperspread::agent {

class ViewerSide : public ViewerPort {
public:
    // At most `connections` viewers' connections are held.
    ViewerSide(net::Loop& loop, net::BufferPool& pool, ViewerEvents& events, const Profile& profile,
               const net::Address& listen, std::size_t connections);
    ~ViewerSide();

    net::Address address() const { return listener_.address(); }
    std::size_t connections() const { return peers_.size(); }
    void finish();  // closes all connections in order, once what is kept for them is written

    void answered(SessionId id, const std::string& description) override;
    void refused(SessionId id, double stay_away_s) override;
    void failed(SessionId id) override;
    void over(SessionId id, SessionEnd how) override;
    void moved(SessionId id) override;

private:
    class Peer;
    struct Owed {  // a word on a session that stood, until a viewer has heard it
        SessionId id = 0;
        std::string bytes;
        double since = 0;
    };

    void accepted(net::Fd fd);
    bool make_room();
    void take(Peer& peer, const codec::ViewerMessage& message);
    void take_set_up(Peer& peer, const codec::ViewerMessage& message);
    void peer_ended(Peer& peer);
    void break_off(Peer& peer);
    void answer(SessionId id, const codec::ViewerMessage& message);
    void owe(SessionId id, const codec::ViewerMessage& message);
    void say(Peer& peer, const Owed& owed);
    void say_soon(Peer* peer, const Owed& owed);  // on the next connection where there is none
    Peer* any_peer(SessionId id);

    net::Loop& loop_;
    net::BufferPool& pool_;
    ViewerEvents& events_;
    const Profile& profile_;
    const std::size_t most_;
    std::map<const Peer*, std::shared_ptr<Peer>> peers_;
    std::unordered_map<SessionId, Peer*> asked_on_;  // of open set-ups and of sessions that stand
    std::deque<Owed> owed_;                          // no connection was there to say it on
    net::Listener listener_;
};

}  // namespace jasperspread::agent
