// Messages that are sent again until they are acknowledged.
#include <doctest/doctest.h>

#include <map>
#include <random>

#include "agent/retransmit_queue.h"

using jasperspread::agent::RetransmitQueue;
using Ids = std::vector<RetransmitQueue::SessionId>;

namespace {
constexpr RetransmitQueue::Times times{8, 0.25};
}

TEST_CASE("a message is due at once, then after pauses that double, until it is acknowledged") {
    RetransmitQueue queue(times);
    queue.add(7, "bytes", 100);
    CHECK_EQ(queue.due(100), Ids{7});
    CHECK_EQ(queue.send(7, 3, 100), "bytes");
    CHECK_EQ(queue.sent_on(7), 3U);
    CHECK(queue.due(100.2).empty());
    CHECK_EQ(queue.due(100.25), Ids{7});
    queue.send(7, 4, 100.25);
    CHECK(queue.due(100.74).empty());
    CHECK_EQ(queue.due(100.75), Ids{7});
    CHECK(queue.acknowledge(7));
    CHECK_FALSE(queue.acknowledge(7));
    CHECK(queue.empty());
    CHECK(queue.due(200).empty());
}

TEST_CASE("what was sent last on a connection that is lost is due at once, and nothing else") {
    RetransmitQueue queue(times);
    for (const RetransmitQueue::SessionId id : {9, 5, 7}) {
        queue.add(id, "x", 100);
        queue.send(id, id == 7 ? 2 : 1, 100);
    }
    queue.connection_lost(1, 100.1);
    CHECK_EQ(queue.due(100.1), Ids{5, 9});
    CHECK_EQ(queue.sent_on(5), 0U);
    CHECK_EQ(queue.sent_on(7), 2U);
    queue.connection_lost(0, 100.2);
    CHECK_EQ(queue.due(100.2), Ids{5, 9});
}

TEST_CASE("a message goes after its time, and a later one on the session takes its place") {
    RetransmitQueue queue(times);
    queue.add(1, "first", 100);
    queue.add(2, "other", 101);
    queue.add(1, "second", 104);
    queue.drop_expired(108.9);
    CHECK_EQ(queue.size(), 2U);
    queue.drop_expired(109);
    CHECK_EQ(queue.due(109), Ids{1});
    CHECK_EQ(queue.send(1, 1, 109), "second");
    queue.drop_expired(112);
    CHECK(queue.empty());
}

TEST_CASE("the queue gives what a look at all messages gives") {
    struct Message {
        double added = 0, due = 0, pause = 0;
        RetransmitQueue::ConnectionNumber on = 0;
    };
    std::mt19937_64 random(5);
    RetransmitQueue queue(times);
    std::map<RetransmitQueue::SessionId, Message> all;
    double now = 100;
    for (int step = 0; step < 20000; ++step) {
        now += static_cast<double>(random() % 100) / 1000;
        const RetransmitQueue::SessionId id = random() % 30;
        const RetransmitQueue::ConnectionNumber on = 1 + random() % 5;
        switch (random() % 5) {
            case 0:
                queue.add(id, "x", now);
                all[id] = {now, now, times.first_pause_s, 0};
                break;
            case 1:
                CHECK_EQ(queue.acknowledge(id), all.erase(id) > 0);
                break;
            case 2:
                if (!all.contains(id)) break;
                queue.send(id, on, now);
                all[id] = {all[id].added, now + all[id].pause, 2 * all[id].pause, on};
                break;
            case 3:
                queue.connection_lost(on, now);
                for (auto& [other, message] : all) {
                    if (message.on == on) message.due = now, message.on = 0;
                }
                break;
            default:
                queue.drop_expired(now);
                std::erase_if(all,
                              [&](const auto& one) { return now >= one.second.added + times.give_up_s; });
        }
        Ids due;
        for (const auto& [other, message] : all) {
            if (message.due <= now) due.push_back(other);
        }
        REQUIRE_EQ(queue.due(now), due);
        REQUIRE_EQ(queue.size(), all.size());
    }
}

// Guards against releases that are lost, or kept too long, where a server takes over from another one.
TEST_CASE("messages of another queue are due at once, and given up when they would have been there") {
    RetransmitQueue queue(times), other(times);
    other.add(7, "theirs", 100);
    other.add(8, "theirs", 103);
    other.send(8, 3, 103);
    queue.add(7, "ours", 104);
    queue.take_all(std::move(other), 104);
    CHECK_EQ(queue.due(104), Ids{7, 8});
    CHECK_EQ(queue.send(7, 1, 104), "ours");
    CHECK_EQ(queue.sent_on(8), 0U);
    queue.drop_expired(111);
    CHECK_EQ(queue.size(), 1U);
    CHECK(queue.acknowledge(7));
}
