// The loop in its hard cases, on each kernel and in each way of asking for readiness.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/listener.h"
#include "stage.h"

using namespace net_test;
using jasperspread::net::BufferPool;
using jasperspread::net::Connection;
using jasperspread::net::Listener;

namespace {

constexpr double soon_s = 2;  // within which what is expected comes, also on a busy machine

using Told = std::function<void(Watched&, short)>;

std::unique_ptr<Watched> watched(Stage& stage, Stage::Ends& ends, Told told) {
    return std::make_unique<Watched>(stage.loop(), std::move(ends.near), std::move(told));
}

// The service of these tests: connections that say back what they hear.
class EchoService {
public:
    explicit EchoService(Stage& stage, std::size_t most = 100000)
        : stage_(stage),
          listener_(stage.loop(), stage.listen_at(),
                    {[this](Fd fd) { accepted(std::move(fd)); },
                     [this, most] { return peers_.size() < most; }, [this] { ++starved; }}) {}

    class Peer final : public Connection::Owner {
    public:
        Peer(EchoService& service, Fd fd)
            : service_(service), connection(service.stage_.loop(), service.pool_, *this, std::move(fd)) {}
        std::size_t received(Connection&, std::string_view bytes) override {
            ++service_.heard;
            connection.send(bytes);
            return bytes.size();
        }
        void ended(Connection&, Connection::End why) override {
            ++service_.ends[why];
            service_.drop(*this);
        }

    private:
        EchoService& service_;

    public:
        Connection connection;
    };

    Address address() const { return listener_.address(); }
    std::size_t size() const { return peers_.size(); }
    const std::map<Peer*, std::shared_ptr<Peer>>& peers() const { return peers_; }
    void drop(Peer& peer) {
        const auto it = peers_.find(&peer);
        if (it == peers_.end()) return;
        stage_.loop().retire(it->second);
        peers_.erase(it);
    }

    std::size_t heard = 0, starved = 0, accepts = 0;
    std::map<Connection::End, int> ends;

private:
    void accepted(Fd fd) {
        ++accepts;
        auto peer = std::make_shared<Peer>(*this, std::move(fd));
        peers_.emplace(peer.get(), peer);
    }

    Stage& stage_;
    BufferPool pool_;
    std::map<Peer*, std::shared_ptr<Peer>> peers_;
    Listener listener_;
};

// Connects `count` far ends to the service, by batches that any backlog takes.
std::vector<int> visit(Stage& stage, EchoService& service, std::size_t count) {
    constexpr std::size_t batch = 64;
    std::vector<int> visitors;
    while (visitors.size() < count) {
        const std::size_t before = service.size();
        const std::size_t now = std::min(batch, count - visitors.size());
        for (std::size_t i = 0; i < now; ++i) visitors.push_back(stage.far_connect(service.address()));
        REQUIRE(stage.pass(soon_s, [&] { return service.size() == before + now; }));
    }
    return visitors;
}

std::string echo(Stage& stage, int visitor, const std::string& text) {
    stage.far_send(visitor, text);
    std::string got;
    stage.pass(soon_s, [&] { return (got += stage.far_receive(visitor)).size() >= text.size(); });
    return got;
}

// As many connections as both ends in one process have descriptors for, 10,000 at most.
std::size_t many(bool simulated) {
    constexpr std::size_t most = 10000, kept = 200;
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return simulated ? most : std::min<std::size_t>(most, (limit.rlim_cur - kept) / 2);
}

}  // namespace

TEST_CASE("what is ready in one turn is met by order, then by descriptor") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(200);
        std::vector<int> met, expected;
        std::vector<std::unique_ptr<Watched>> all;
        const auto order_of = [](std::size_t i) {
            return i % 3 == 0 ? Order::Late : i % 3 == 1 ? Order::Usual : Order::Early;
        };
        for (const Order order : {Order::Early, Order::Usual, Order::Late}) {
            for (std::size_t i = 0; i < ends.size(); ++i) {
                if (order_of(i) == order) expected.push_back(ends[i].near.get());
            }
        }
        all.reserve(ends.size());
        for (Stage::Ends& one : ends) {
            all.push_back(watched(stage, one, [&](Watched& who, short) { met.push_back(who.fd()); }));
        }
        for (std::size_t i = all.size(); i-- > 0;) all[i]->watch(POLLIN, order_of(i));
        for (const Stage::Ends& one : ends) stage.far_send(one.far, "x");
        stage.sleep(0.05);
        stage.loop().turn(0);
        CHECK_EQ(met, expected);
    });
}

TEST_CASE("a descriptor closed and its number used again in one turn gets nothing of the former one") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(2);
        const int number = ends[1].near.get();
        std::unique_ptr<Watched> former, newcomer;
        std::vector<std::string> told;
        auto closer = watched(stage, ends[0], [&](Watched& who, short) {
            who.take();
            former.reset();
            newcomer =
                std::make_unique<Watched>(stage.loop(), stage.open_at(number), [&](Watched& other, short) {
                    told.emplace_back("newcomer");
                    other.close();
                });
            newcomer->watch(POLLIN);
        });
        former = watched(stage, ends[1], [&](Watched&, short) { told.emplace_back("former"); });
        closer->watch(POLLIN);
        former->watch(POLLIN);
        stage.far_send(ends[0].far, "x");
        stage.far_send(ends[1].far, "x");
        stage.sleep(0.05);
        stage.loop().turn(0);
        REQUIRE(newcomer);
        CHECK(told.empty());
        stage.pass(0.02);
        CHECK(told.empty());
        Fd sender(stage.far().open_datagram(stage.listen_at()), &stage.far());
        stage.far().send_to(sender.get(), "x", 1, stage.kernel().local_address(number));
        CHECK(stage.pass(soon_s, [&] { return !told.empty(); }));
        CHECK_EQ(told, std::vector<std::string>{"newcomer"});
    });
}

TEST_CASE("a watch that was dropped and taken up again in a turn waits for the next one") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(2);
        std::unique_ptr<Watched> second;
        auto first = watched(stage, ends[0], [&](Watched& who, short) {
            who.forget();
            second->forget();
            second->watch(POLLIN);
        });
        second = watched(stage, ends[1], [&](Watched& who, short) { who.take(); });
        first->watch(POLLIN);
        second->watch(POLLIN);
        stage.far_send(ends[0].far, "x");
        stage.far_send(ends[1].far, "x");
        stage.sleep(0.05);
        stage.loop().turn(0);
        CHECK_EQ(second->calls, 0U);
        stage.loop().turn(0);
        CHECK_EQ(second->calls, 1U);
        CHECK_EQ(first->calls, 1U);
    });
}

TEST_CASE("a callback may close all others and destroy itself") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(50);
        std::vector<std::unique_ptr<Watched>> all;
        std::size_t calls = 0;
        for (Stage::Ends& one : ends) {
            all.push_back(watched(stage, one, [&](Watched&, short) {
                ++calls;
                all.clear();
            }));
            all.back()->watch(POLLIN);
        }
        for (const Stage::Ends& one : ends) stage.far_send(one.far, "x");
        stage.sleep(0.05);
        stage.loop().turn(0);
        CHECK_EQ(calls, 1U);
        CHECK_EQ(stage.loop().poller().watched(), 0U);
        stage.loop().turn(0);
        CHECK_EQ(calls, 1U);
    });
}

TEST_CASE("an owner may drop its connection and others inside their callbacks") {
    on_every_stage([](Stage& stage) {
        EchoService service(stage);
        const auto visitors = visit(stage, service, 20);
        CHECK_EQ(echo(stage, visitors[3], "hello"), "hello");
        // All ends at once: the first one that is told drops the rest, which hear nothing any more.
        for (const int visitor : visitors) stage.far_close(visitor);
        CHECK(stage.pass(soon_s, [&] { return service.size() == 0; }));
        CHECK_EQ(service.ends[Connection::End::PeerClosed], 20);

        class Dropper : public Connection::Owner {
        public:
            std::size_t received(Connection&, std::string_view bytes) override {
                ++calls;
                for (auto& one : *all) {
                    one->close();
                    loop->retire(std::move(one));
                }
                all->clear();
                return bytes.size();
            }
            void ended(Connection&, Connection::End) override { ++calls; }
            Loop* loop = nullptr;
            std::vector<std::shared_ptr<Connection>>* all = nullptr;
            int calls = 0;
        };
        std::vector<std::shared_ptr<Connection>> all;
        std::vector<std::weak_ptr<Connection>> watching;
        BufferPool pool;
        Dropper owner;
        owner.loop = &stage.loop();
        owner.all = &all;
        auto ends = stage.connected(10);
        for (Stage::Ends& one : ends) {
            all.push_back(std::make_shared<Connection>(stage.loop(), pool, owner, std::move(one.near)));
            watching.push_back(all.back());
        }
        for (const Stage::Ends& one : ends) stage.far_send(one.far, "x");
        stage.sleep(0.05);
        stage.loop().turn(0);
        CHECK_EQ(owner.calls, 1);
        for (const auto& one : watching) CHECK(one.expired());
        stage.pass(0.01);
        CHECK_EQ(owner.calls, 1);
    });
}

TEST_CASE("a paused reader hears of a hang-up within 0.1 s, once, and does not spin") {
    for (const bool reset : {false, true}) {
        CAPTURE(reset);
        on_every_stage([reset](Stage& stage) {
            auto ends = stage.connected(1);
            bool left = false;
            // As a reader does that is to take no more for now: it waits for the end alone, and for nothing
            // once that is known.
            auto reader = watched(stage, ends[0], [&](Watched& who, short events) {
                CHECK_NE(events & (POLLRDHUP | POLLHUP | POLLERR), 0);
                left = true;
                who.forget();
            });
            reader->watch(POLLRDHUP);
            stage.far_send(ends[0].far, "unread");
            stage.pass(0.05);
            CHECK_EQ(reader->calls, 0U);
            if (reset) {
                REQUIRE_EQ(stage.kernel().send(reader->fd(), "x", 1), 1);
                stage.sleep(0.02);
                stage.far_reset(ends[0].far);
            } else {
                stage.far_close(ends[0].far);
            }
            CHECK(stage.pass(0.1, [&] { return left; }));
            const std::size_t entries = stage.kernel().counts.entries;
            const std::size_t waits = stage.kernel().counts.waits;
            stage.loop().turn(0.05);  // nothing wakes it
            CHECK_EQ(stage.kernel().counts.entries, entries);
            CHECK_LE(stage.kernel().counts.waits, waits + 2);
            CHECK_EQ(reader->calls, 1U);
            // What came before the end is there when it reads again.
            if (!reset) CHECK_EQ(reader->take(), "unread");
        });
    }
}

TEST_CASE("a paused listener does not spin, and takes those who waited") {
    on_every_stage([](Stage& stage) {
        EchoService service(stage, 1);
        const auto first = visit(stage, service, 1);
        const int second = stage.far_connect(service.address());
        stage.pass(0.05);
        CHECK_EQ(service.size(), 1U);
        stage.kernel().counts = {};
        stage.pass(0.2);
        // Looked at again each 20 ms, and asked for no accept while there is no room.
        CHECK_EQ(stage.kernel().counts.others, 0U);
        stage.far_close(first[0]);
        CHECK(stage.pass(soon_s, [&] { return service.accepts == 2; }));
        CHECK_EQ(echo(stage, second, "late"), "late");
    });
}

TEST_CASE("a process that stood still meets what came in time before the deadlines that passed") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(1);
        std::vector<std::string> met;
        auto reader = watched(stage, ends[0], [&](Watched& who, short) { met.push_back(who.take()); });
        reader->watch(POLLIN);
        stage.loop().turn(0);
        jasperspread::net::Timer deadline(stage.loop());
        // In its wait: the kernel had found nothing when the process was stopped.
        deadline.set(stage.loop().now() + 0.05, [&] { met.emplace_back("deadline"); });
        stage.kernel().during_wait = [&] {
            stage.far_send(ends[0].far, "in time");
            stage.sleep(0.2);
        };
        stage.loop().turn(0.1);
        REQUIRE_GE(met.size(), 1U);
        CHECK_EQ(met[0], "in time");
        // Between two turns.
        stage.pass(soon_s, [&] { return met.size() == 2; });
        met.clear();
        deadline.set(stage.loop().now() + 0.05, [&] { met.emplace_back("deadline"); });
        stage.far_send(ends[0].far, "in time");
        stage.sleep(0.2);
        stage.loop().turn(0.1);
        CHECK_EQ(met, std::vector<std::string>{"in time", "deadline"});
    });
}

namespace {

// What is open is served while no descriptor is left, and newcomers when there is room again.
void run_out_of_descriptors(bool simulated) {
    for (const Way& way : ways) {
        CAPTURE(way.name);
        constexpr std::size_t few = 24;
        Stage stage(simulated, way, simulated ? few : 25000);
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        EchoService service(stage);
        const auto first = visit(stage, service, 8);
        std::vector<int> waiting;
        waiting.reserve(6);
        for (int i = 0; i < 6; ++i) waiting.push_back(stage.far_connect(service.address()));
        // Both ends are of this process: only one more can be opened.
        const Fd next(stage.kernel().open_stream(), &stage.kernel());
        rlimit low = limit;
        low.rlim_cur = static_cast<rlim_t>(next.get());
        std::vector<Fd> spare;
        if (!simulated) setrlimit(RLIMIT_NOFILE, &low);
        while (simulated) {
            spare.emplace_back(stage.kernel().open_stream(), &stage.kernel());
            if (!spare.back()) break;
        }
        stage.pass(0.06);
        const std::size_t starved = service.starved;
        CHECK_GE(starved, 1U);
        CHECK_LE(starved, 8U);  // one try each 20 ms
        CHECK_EQ(service.size(), 8U);
        CHECK_EQ(echo(stage, first[2], "still here"), "still here");
        spare.clear();
        if (!simulated) setrlimit(RLIMIT_NOFILE, &limit);
        CHECK(stage.pass(soon_s, [&] { return service.size() == 14; }));
        CHECK_EQ(echo(stage, waiting[5], "come at last"), "come at last");
    }
}

}  // namespace

TEST_CASE("out of descriptors in the simulated network, what is open is served, and newcomers later") {
    run_out_of_descriptors(true);
}

TEST_CASE("out of descriptors on loopback, what is open is served, and newcomers later") {
    run_out_of_descriptors(false);
}

TEST_CASE("an interest list that gets no descriptor leaves the loop with poll(2), and is tried again later") {
    Stage stage(true, {"", {8, 4}}, 15);
    auto ends = stage.connected(14);
    const Fd last(stage.kernel().open_stream(), &stage.kernel());
    REQUIRE(last);
    std::vector<std::unique_ptr<Watched>> all;
    for (Stage::Ends& one : ends) {
        all.push_back(watched(stage, one, [&](Watched& who, short) { who.take(); }));
        all.back()->watch(POLLIN);
    }
    stage.far_send(ends[13].far, "x");
    CHECK(stage.pass(soon_s, [&] { return all[13]->calls == 1; }));
    CHECK_FALSE(stage.loop().poller().uses_interest_list());
    all.resize(4);
    stage.loop().turn(0);
    auto more = stage.connected(6);
    for (Stage::Ends& one : more) {
        all.push_back(watched(stage, one, [&](Watched& who, short) { who.take(); }));
        all.back()->watch(POLLIN);
    }
    stage.loop().turn(0);
    CHECK(stage.loop().poller().uses_interest_list());
}

TEST_CASE("ten thousand connections come, go and come back at once") {
    for (const bool simulated : {false, true}) {
        for (const Way& way : {by_poll, by_interest_list, Way{"usual thresholds", {}}}) {
            CAPTURE(simulated);
            CAPTURE(way.name);
            if (!simulated && way.name == by_poll.name) continue;  // it can, but takes its time
            Stage stage(simulated, way);
            EchoService service(stage);
            const std::size_t count = many(simulated);
            auto visitors = visit(stage, service, count);
            for (int round = 0; round < 2; ++round) {
                for (const int visitor : visitors) stage.far_send(visitor, "here");
                REQUIRE(stage.pass(10, [&] { return service.heard == count; }));
                const int one = visitors[count / 2];
                stage.far_receive(one);
                CHECK_EQ(echo(stage, one, "e"), "e");
                service.heard = 0;
                for (const int visitor : visitors) stage.far_close(visitor);
                REQUIRE(stage.pass(10, [&] { return service.size() == 0; }));
                CHECK_EQ(stage.loop().poller().watched(), 1U);
                if (round == 0) visitors = visit(stage, service, count);
            }
        }
    }
}

TEST_CASE("a slow reader among many is given up, and the others get all that is theirs") {
    on_every_stage([](Stage& stage) {
        EchoService service(stage);
        const auto visitors = visit(stage, service, 60);
        const int slow = visitors[20];
        const std::string block(16000, 'b');
        std::map<int, std::size_t> got;
        std::size_t rounds = 0;
        while (service.ends[Connection::End::Overflow] == 0 && rounds < 2000) {
            ++rounds;
            while (stage.far().send(slow, block.data(), block.size()) > 0) {
            }
            for (const int visitor : {visitors[0], visitors[59]}) stage.far_send(visitor, "message");
            stage.pass(0.003);
            for (const int visitor : {visitors[0], visitors[59]})
                got[visitor] += stage.far_receive(visitor).size();
        }
        CHECK_EQ(service.ends[Connection::End::Overflow], 1);
        CHECK_EQ(service.size(), 59U);
        stage.pass(0.05);
        for (const int visitor : {visitors[0], visitors[59]}) {
            got[visitor] += stage.far_receive(visitor).size();
            CHECK_EQ(got[visitor], rounds * std::string("message").size());
        }
    });
}

TEST_CASE("a slow reader wakes nobody while it reads nothing") {
    on_every_stage([](Stage& stage) {
        EchoService service(stage);
        const auto visitors = visit(stage, service, 5);
        const std::string block(16000, 'b');
        auto& slow = service.peers().begin()->second->connection;
        // More than the kernel keeps, and less than the connection's own bound.
        while (slow.offer(block)) {
        }
        REQUIRE(slow.is_open());
        stage.pass(0.05);
        const std::size_t others = stage.kernel().counts.others;
        stage.pass(0.05);
        CHECK_EQ(stage.kernel().counts.others, others);
    });
}

TEST_CASE("work per event does not grow with the connections held") {
    for (const bool simulated : {false, true}) {
        CAPTURE(simulated);
        std::map<std::size_t, std::size_t> calls, entries;
        const std::size_t few = 300, lots = simulated ? 3000 : std::min<std::size_t>(1500, many(false));
        for (const std::size_t resting : {few, lots}) {
            Stage stage(simulated, by_interest_list);
            EchoService service(stage);
            const auto visitors = visit(stage, service, resting);
            stage.loop().turn(0);
            stage.kernel().counts = {};
            for (int event = 0; event < 20; ++event) {
                const int visitor = visitors[static_cast<std::size_t>(event) * 7];
                stage.far_send(visitor, "x");
                stage.sleep(0.002);
                stage.loop().turn(0);
            }
            calls[resting] = stage.kernel().counts.calls();
            entries[resting] = stage.kernel().counts.entries;
            CHECK_EQ(service.heard, 20U);
        }
        CHECK_EQ(entries[few], 20U);
        CHECK_EQ(entries[lots], 20U);
        CHECK_EQ(calls[few], calls[lots]);
    }
}

TEST_CASE("an accept and a close cost the same calls beside few connections and many") {
    for (const bool simulated : {false, true}) {
        CAPTURE(simulated);
        std::map<std::size_t, std::size_t> calls, entries;
        for (const std::size_t resting : {300, 1200}) {
            Stage stage(simulated, by_interest_list);
            EchoService service(stage);
            visit(stage, service, resting);
            stage.loop().turn(0);
            stage.kernel().counts = {};
            for (int event = 0; event < 10; ++event) {
                const int visitor = stage.far_connect(service.address());
                stage.sleep(0.002);
                stage.loop().turn(0);
                CHECK_EQ(service.size(), resting + 1);
                stage.far_close(visitor);
                stage.sleep(0.002);
                stage.loop().turn(0);
                CHECK_EQ(service.size(), resting);
            }
            calls[resting] = stage.kernel().counts.calls();
            entries[resting] = stage.kernel().counts.entries;
        }
        CHECK_EQ(calls[300], calls[1200]);
        CHECK_EQ(entries[300], entries[1200]);
        CHECK_EQ(entries[300], 20U);
    }
}
