// Which way the poller asks for readiness, what each way costs, and that all ways report the same.
#include <doctest/doctest.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <map>

#include "stage.h"

using namespace net_test;

namespace {

constexpr double settle_s = 0.05;

Poller::Ready only(std::span<const Poller::Ready> ready) {
    REQUIRE_EQ(ready.size(), 1U);
    return ready.front();
}

// Watches all near ends for input.
void watch_all(Poller& poller, const std::vector<Stage::Ends>& ends, Poller::Serial first_serial = 1) {
    for (const Stage::Ends& one : ends) poller.watch(one.near.get(), POLLIN, first_serial++);
}

}  // namespace

TEST_CASE("the poller reports what is ready, by descriptor, for as long as it is") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(100);
        Poller poller(stage.kernel(), stage.loop().poller().thresholds());
        watch_all(poller, ends);
        CHECK(poller.wait(0).empty());
        for (std::size_t i = ends.size(); i-- > 0;) stage.far_send(ends[i].far, "x");
        stage.sleep(settle_s);
        for (int look = 0; look < 2; ++look) {
            const auto ready = poller.wait(0);
            REQUIRE_EQ(ready.size(), ends.size());
            for (std::size_t i = 0; i < ready.size(); ++i) {
                CHECK_EQ(ready[i].fd, ends[i].near.get());
                CHECK_EQ(ready[i].serial, i + 1);
                CHECK_EQ(ready[i].events, POLLIN);
            }
        }
    });
}

TEST_CASE("a changed or forgotten watch counts from the next wait on") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(2);
        Poller poller(stage.kernel(), stage.loop().poller().thresholds());
        watch_all(poller, ends);
        poller.wait(0);
        poller.watch(ends[0].near.get(), POLLIN | POLLOUT, 1);
        CHECK_EQ(only(poller.wait(0)).events, POLLOUT);
        poller.forget(ends[0].near.get());
        CHECK(poller.wait(0).empty());
        poller.watch(ends[0].near.get(), POLLOUT, 7);
        const auto again = only(poller.wait(0));
        CHECK_EQ(again.fd, ends[0].near.get());
        CHECK_EQ(again.serial, 7U);
        poller.forget(ends[0].near.get());
        poller.forget(ends[0].near.get());
        poller.forget(-1);
        CHECK_EQ(poller.watched(), 1U);
        CHECK(poller.wait(0).empty());
    });
}

TEST_CASE("a number that was closed and given again is a new watch, also if its end was not told") {
    on_every_stage([](Stage& stage) {
        auto ends = stage.connected(3);
        Poller poller(stage.kernel(), stage.loop().poller().thresholds());
        watch_all(poller, ends);
        poller.wait(0);
        for (const bool told : {true, false}) {
            CAPTURE(told);
            const int number = ends[1].near.get();
            if (told) poller.forget_closing(number);
            if (!told) poller.forget(number);
            ends[1].near.reset();
            ends[1].near = stage.open_at(number);
            poller.watch(number, POLLIN, told ? 10 : 20);
            CHECK(poller.wait(0).empty());
            const Address to = stage.kernel().local_address(number);
            Fd sender(stage.far().open_datagram(stage.listen_at()), &stage.far());
            stage.far().send_to(sender.get(), "x", 1, to);
            stage.sleep(settle_s);
            CHECK_EQ(only(poller.wait(0)).serial, told ? 10U : 20U);
            char byte = 0;
            Address from;
            stage.kernel().receive_from(number, &byte, 1, from);
            CHECK(poller.wait(0).empty());
        }
    });
}

TEST_CASE("changes to and fro within a turn cost no call, a close none at all") {
    for (const bool simulated : {false, true}) {
        CAPTURE(simulated);
        Stage stage(simulated, by_interest_list);
        auto ends = stage.connected(10);
        Poller poller(stage.kernel(), by_interest_list.thresholds);
        watch_all(poller, ends);
        poller.wait(0);
        CHECK_EQ(stage.kernel().counts.list_changes, 10U);
        for (std::size_t i = 0; i < ends.size(); ++i) {
            const auto serial = static_cast<Poller::Serial>(i + 1);
            poller.watch(ends[i].near.get(), POLLIN | POLLOUT, serial);
            poller.watch(ends[i].near.get(), POLLIN, serial);
        }
        poller.wait(0);
        for (Stage::Ends& one : ends) {
            poller.forget_closing(one.near.get());
            one.near.reset();
        }
        poller.wait(0);
        CHECK_EQ(stage.kernel().counts.list_changes, 10U);
    }
}

TEST_CASE("the interest list is taken above the threshold and given back well below it") {
    for (const bool simulated : {false, true}) {
        CAPTURE(simulated);
        const Poller::Thresholds thresholds{20, 10};
        Stage stage(simulated, {"", thresholds});
        auto ends = stage.connected(21);
        Poller poller(stage.kernel(), thresholds);
        const auto watch_first = [&](std::size_t count) {
            for (std::size_t i = 0; i < ends.size(); ++i) {
                if (i < count) poller.watch(ends[i].near.get(), POLLIN, 1);
                if (i >= count) poller.forget(ends[i].near.get());
            }
            poller.wait(0);
            return poller.uses_interest_list();
        };
        CHECK_FALSE(watch_first(20));
        CHECK_EQ(stage.kernel().counts.lists, 0U);
        CHECK(watch_first(21));
        for (int swing = 0; swing < 5; ++swing) {
            CHECK(watch_first(11));
            CHECK(watch_first(21));
        }
        CHECK_EQ(stage.kernel().counts.lists, 1U);
        CHECK_FALSE(watch_first(10));
        CHECK_FALSE(watch_first(20));
        CHECK(watch_first(21));
        CHECK_EQ(stage.kernel().counts.lists, 2U);
    }
}

TEST_CASE("with the usual thresholds, a few hundred descriptors never leave poll(2)") {
    Stage stage(true, {"", {}});
    auto ends = stage.connected(512);
    Poller poller(stage.kernel());
    watch_all(poller, ends);
    poller.wait(0);
    CHECK_EQ(stage.kernel().counts.lists, 0U);
    auto one_more = stage.connected(1);
    watch_all(poller, one_more, 1000);
    poller.wait(0);
    CHECK(poller.uses_interest_list());
}

TEST_CASE("where interest lists are refused, poll(2) stays, and few tries are made") {
    for (const int error : {ENOSYS, EPERM, EMFILE}) {
        CAPTURE(error);
        Stage stage(true, {"", {10, 5}, error});
        auto ends = stage.connected(200);
        Poller poller(stage.kernel(), {10, 5});
        for (const Stage::Ends& one : ends) {
            poller.watch(one.near.get(), POLLIN, 1);
            poller.wait(0);
        }
        CHECK_FALSE(poller.uses_interest_list());
        CHECK_EQ(stage.kernel().counts.lists, 5U);  // at 11, 23, 47, 95 and 191
        stage.far_send(ends[150].far, "x");
        stage.sleep(settle_s);
        CHECK_EQ(only(poller.wait(0)).fd, ends[150].near.get());
    }
}

TEST_CASE("a list that can take no more is given up for poll(2) within the same wait") {
    for (const bool simulated : {false, true}) {
        CAPTURE(simulated);
        Stage stage(simulated, by_interest_list);
        auto ends = stage.connected(5);
        Poller poller(stage.kernel(), by_interest_list.thresholds);
        watch_all(poller, ends);
        poller.wait(0);
        REQUIRE(poller.uses_interest_list());
        auto more = stage.connected(1);
        stage.kernel().refuse_adds = ENOSPC;
        watch_all(poller, more, 100);
        stage.far_send(more[0].far, "x");
        stage.sleep(settle_s);
        CHECK_EQ(only(poller.wait(0)).serial, 100U);
        CHECK_FALSE(poller.uses_interest_list());
    }
}

TEST_CASE("a descriptor that was closed while a duplicate stays open is not reported on and on") {
    Stage stage(false, by_interest_list);
    auto ends = stage.connected(3);
    Poller poller(stage.kernel(), by_interest_list.thresholds);
    watch_all(poller, ends);
    poller.wait(0);
    const Fd duplicate(::dup(ends[1].near.get()));
    poller.forget_closing(ends[1].near.get());
    ends[1].near.reset();
    stage.far_send(ends[1].far, "x");
    stage.sleep(settle_s);
    CHECK(poller.wait(0).empty());
    const std::size_t entries = stage.kernel().counts.entries;
    for (int look = 0; look < 10; ++look) CHECK(poller.wait(0).empty());
    CHECK(poller.uses_interest_list());
    CHECK_EQ(stage.kernel().counts.entries, entries);
    stage.far_send(ends[2].far, "x");
    stage.sleep(settle_s);
    CHECK_EQ(only(poller.wait(0)).fd, ends[2].near.get());
}

TEST_CASE("a wait costs what is ready, whatever is watched") {
    for (const bool simulated : {false, true}) {
        CAPTURE(simulated);
        std::map<std::size_t, CountingKernel::Counts> by_watched;
        for (const std::size_t resting : {200, 400}) {
            Stage stage(simulated, by_interest_list);
            auto ends = stage.connected(resting);
            Poller poller(stage.kernel(), by_interest_list.thresholds);
            watch_all(poller, ends);
            poller.wait(0);
            stage.kernel().counts = {};
            for (int event = 0; event < 50; ++event) {
                stage.far_send(ends[17].far, "x");
                stage.sleep(0.001);
                CHECK_EQ(only(poller.wait(1)).fd, ends[17].near.get());
            }
            by_watched[resting] = stage.kernel().counts;
        }
        CHECK_EQ(by_watched[200].entries, 50U);
        CHECK_EQ(by_watched[400].entries, 50U);
        CHECK_EQ(by_watched[200].calls(), 50U);
        CHECK_EQ(by_watched[400].calls(), 50U);
    }
}
