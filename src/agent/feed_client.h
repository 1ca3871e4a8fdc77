// Follows the control feed: resumes after the last event told, and connects again when the feed breaks off or
// falls silent.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "agent/directory.h"
#include "agent/log.h"
#include "codec/feed_codec.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/loop.h"

namespace jasperspread::agent {

class FeedClient : public net::Connection::Owner {
public:
    using Told = std::function<void(const ListChange&)>;
    struct Start {
        net::Address feed;
        std::uint64_t last = 0;      // number of the last event told
        std::uint64_t revision = 0;  // of the list then; 0: not told
    };
    FeedClient(net::Loop& loop, net::BufferPool& pool, Log& log, const Start& start, const Profile& profile,
               Told told);

    // The feed is to be had elsewhere from now on. The numbers of its events continue.
    void move_to(const net::Address& feed);

    void opened(net::Connection&) override;
    std::size_t received(net::Connection&, std::string_view bytes) override;
    void ended(net::Connection&, net::Connection::End why) override;

private:
    void connect();
    void lost(const std::string& why);
    void hang_up();
    void take(const codec::FeedEvent& event);
    void wait_for_words();

    net::Loop& loop_;
    net::BufferPool& pool_;
    Log& log_;
    net::Address feed_;
    const Profile& profile_;
    std::uint64_t last_, revision_;
    Told told_;
    std::optional<codec::FeedParser> parser_;
    std::shared_ptr<net::Connection> connection_;
    net::Timer silence_, again_;
    std::mt19937_64 random_;
    double pause_, connected_ = 0;
};

}  // namespace jasperspread::agent
