// Follows the control feed: resumes after the last event told, and calls again when the feed breaks off or
// falls silent. A call that is silent stays for a while beside the next one: a crowded feed answers late.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "agent/directory.h"
#include "agent/log.h"
#include "codec/feed_codec.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/loop.h"

namespace jasperspread::agent {

class FeedClient {
public:
    using Told = std::function<void(const ListChange&)>;
    struct Start {
        net::Address feed;
        std::uint64_t last = 0;      // number of the last event told
        std::uint64_t revision = 0;  // of the list then; 0: not told
    };
    FeedClient(net::Loop& loop, net::BufferPool& pool, Log& log, const Start& start, const Profile& profile,
               Told told);
    ~FeedClient();

    // The feed is to be had elsewhere from now on. The numbers of its events continue.
    void move_to(const net::Address& feed);

private:
    class Call;
    void call();
    void opened(Call& call);
    std::size_t received(Call& call, std::string_view bytes);
    void end(Call& call, const std::string& why);
    void call_again();
    void take(const codec::FeedEvent& event);
    void close_all_but(const Call* call);
    void watch_for_silence();

    net::Loop& loop_;
    net::BufferPool& pool_;
    Log& log_;
    net::Address feed_;
    const Profile& profile_;
    std::uint64_t last_, revision_;
    Told told_;
    std::vector<std::shared_ptr<Call>> calls_;  // that are connecting or open, the oldest first
    net::Timer silence_, again_;
    std::mt19937_64 random_;
    double pause_;
};

}  // namespace jasperspread::agent
