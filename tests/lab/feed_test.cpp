// Many agents and one control feed, in virtual time.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "agent/feed_client.h"
#include "lab/sim/network.h"
#include "net/listener.h"

using namespace lab;
namespace net = jasperspread::net;
namespace agent = jasperspread::agent;

namespace {

struct NoLog final : agent::Log {
    void write(agent::Level, std::string_view, std::initializer_list<agent::Field>) override {}
};

}  // namespace

TEST_CASE("agents that lost the feed at one moment do not come back to it at one moment") {
    constexpr int agents = 100;
    Network network(1);
    NoLog log;
    net::BufferPool pool;
    const agent::Profile profile;
    Host& feed = network.add_host();
    feed.run([] { return true; });
    std::vector<std::unique_ptr<agent::FeedClient>> clients;
    for (int i = 0; i < agents; ++i) {
        Host& host = network.add_host();
        host.run([] { return true; });
        clients.push_back(std::make_unique<agent::FeedClient>(
            host.loop(), pool, log, agent::FeedClient::Start{feed.address(4222), 1, 1}, profile,
            [](const agent::ListChange&) {}));
    }
    network.run_until(network.now() + 10.1);  // it refuses all that time
    std::vector<double> came;
    std::vector<net::Fd> kept;
    net::Listener listener(feed.loop(), feed.address(4222),
                           {[&](net::Fd fd) {
                                came.push_back(network.now());
                                kept.push_back(std::move(fd));
                            },
                            [] { return true; }, [] {}});
    feed.wake();
    network.run_until(network.now() + 1.5);
    CHECK_EQ(came.size(), agents);  // all are back within the longest pause
    std::size_t most = 0;
    for (const double from : came) {
        const auto within = [&](double at) { return at >= from && at < from + 0.1; };
        most = std::max(most, static_cast<std::size_t>(std::count_if(came.begin(), came.end(), within)));
    }
    CHECK_LT(most, agents / 2);
    clients.clear();
}
