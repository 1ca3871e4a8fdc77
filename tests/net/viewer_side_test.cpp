// The viewers' side at its bounds: who is closed, and that it takes no look at all connections for that.
#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "agent/config.h"
#include "agent/viewer_side.h"
#include "codec/viewer_codec.h"
#include "lab/model/world.h"
#include "stage.h"

using namespace net_test;
using namespace jasperspread;
using codec::ViewerMessage;
using codec::ViewerType;

namespace {

constexpr double soon_s = 2;

class NoLog final : public agent::Log {
public:
    void write(agent::Level, std::string_view, std::initializer_list<agent::Field>) override {}
};

class Asked final : public agent::ViewerEvents {
public:
    void set_up(const agent::SetUp& set_up) override { set_ups.push_back(set_up.request.id); }
    void given_up(agent::SessionId id) override { given.push_back(id); }
    bool may_have_run(agent::SessionId) override { return false; }
    bool may_take_over(const agent::SetUp&) override { return true; }
    std::vector<agent::SessionId> set_ups, given;
};

agent::Config config() {
    lab::WorldPlan plan;
    const Address nowhere = *net::parse_address("127.0.0.1:1");
    const nlohmann::json known = {{"n", 1}, {"events", {lab::feed_event(plan, 1, true, {})}}};
    return agent::read_config(lab::agent_config(plan, 0, nowhere, nowhere, known).dump());
}

ViewerMessage message_of(ViewerType type, std::uint64_t session) {
    ViewerMessage message;
    message.type = static_cast<std::uint8_t>(type);
    message.session = session;
    return message;
}

// A viewers' side with its visitors at the far end.
class Service {
public:
    Service(Stage& stage, std::size_t most, std::size_t closing)
        : stage_(stage),
          config_(config()),
          side(stage.loop(), pool_, log_, asked, config_.profile, stage.listen_at(), {most, closing}) {}

    int come() {
        const int visitor = stage_.far_connect(side.address());
        stage_.pass(0.003);
        return visitor;
    }
    int come_and_test() {
        const int visitor = come();
        stage_.far_send(visitor, encode(message_of(ViewerType::Test, 0)));
        REQUIRE(stage_.pass(soon_s, [&] { return !hear(visitor).empty(); }));
        return visitor;
    }
    void set_up(int visitor, std::uint64_t session) {
        const std::size_t before = asked.set_ups.size();
        send_set_up(visitor, session);
        REQUIRE(stage_.pass(soon_s, [&] { return asked.set_ups.size() > before; }));
        side.answered(session, "");
    }
    // It has come, and no turn of the loop has met it.
    void send_set_up(int visitor, std::uint64_t session) {
        ViewerMessage message = message_of(ViewerType::SetUp, session);
        message.class_name = config_.profile.class_names.front();
        message.title = "a1";
        message.figures = {{"home", "0"}, {"copies", "1"}, {"top", "0"}};
        stage_.far_send(visitor, encode(message));
    }
    std::string hear(int visitor) { return heard_[visitor] = stage_.far_receive(visitor); }
    // The sessions whose release has come to this visitor since it last heard.
    std::set<std::uint64_t> ends_heard(int visitor) {
        std::set<std::uint64_t> sessions;
        const std::string bytes = hear(visitor);
        std::string_view rest = bytes;
        while (const auto decoded = codec::decode_viewer(rest)) {
            if (decoded->message.is(ViewerType::Release)) sessions.insert(decoded->message.session);
            rest.remove_prefix(decoded->size);
        }
        return sessions;
    }

private:
    Stage& stage_;
    net::BufferPool pool_;
    NoLog log_;
    const agent::Config config_;
    std::map<int, std::string> heard_;

public:
    Asked asked;
    agent::ViewerSide side;
};

}  // namespace

TEST_CASE("at the bound, room for a newcomer takes no look at all connections") {
    for (const bool simulated : {false, true}) {
        for (const bool served : {false, true}) {
            CAPTURE(simulated);
            CAPTURE(served);
            constexpr std::size_t most = 200, newcomers = 5;
            Stage stage(simulated, by_interest_list);
            Service service(stage, most, 16);
            std::vector<int> visitors;
            for (std::size_t i = 0; i < most; ++i) {
                visitors.push_back(service.come_and_test());
                if (served) service.set_up(visitors.back(), 1 + i);
            }
            stage.sleep(0.3);  // they rest
            stage.loop().turn(0);
            stage.kernel().counts = {};
            for (std::size_t i = 0; i < newcomers; ++i) {
                visitors.push_back(service.come_and_test());
                stage.pass(0.05);
            }
            // One that is closed is asked for unread bytes before; that takes a try or two for each newcomer.
            constexpr std::size_t tries = 4;
            CHECK_GE(stage.kernel().counts.unreads, newcomers - 1);
            CHECK_LE(stage.kernel().counts.unreads, tries * newcomers);
        }
    }
}

TEST_CASE("at the bound, the one that rested longest goes, and those that were served last of all") {
    // In virtual time alone: on a machine that stands still for a moment, others would have rested too.
    Stage stage(true, by_poll);
    Service service(stage, 4, 2);
    const int served = service.come_and_test();
    service.set_up(served, 1);
    stage.pass(0.01);
    const int first = service.come_and_test();
    stage.pass(0.01);
    const int second = service.come_and_test();
    stage.pass(0.01);
    const int third = service.come_and_test();
    stage.pass(0.3);
    const auto is_closed = [&](int visitor) {
        service.hear(visitor);
        char byte = 0;
        return stage.far().receive(visitor, &byte, 1) == 0;
    };
    // Room is made for the newcomer, and for the next one before there is any.
    service.come_and_test();
    stage.pass(0.05);
    CHECK(is_closed(first));
    CHECK(is_closed(second));
    CHECK_FALSE(is_closed(third));
    CHECK_FALSE(is_closed(served));
}

TEST_CASE("ends that nobody acknowledged are told on a connection that stays, when their own has gone") {
    on_every_stage([](Stage& stage) {
        constexpr std::uint64_t sessions = 30;
        Service service(stage, 1000, 100);
        std::vector<int> visitors;
        for (std::uint64_t id = 1; id <= sessions; ++id) {
            visitors.push_back(service.come());
            service.set_up(visitors.back(), id);
        }
        const int stays = service.come();
        service.set_up(stays, sessions + 1);
        stage.pass(0.01);
        service.hear(stays);
        for (std::uint64_t id = 1; id <= sessions; ++id) service.side.over(id, agent::SessionEnd::Broken);
        stage.pass(0.01);
        for (std::uint64_t id = 1; id <= sessions; ++id) {
            CHECK(service.ends_heard(visitors[id - 1]).contains(id));
        }
        for (const int visitor : visitors) stage.far_close(visitor);
        REQUIRE(stage.pass(soon_s, [&] { return service.side.connections() == 1; }));
        stage.pass(0.02);
        const auto heard = service.ends_heard(stays);
        CHECK_EQ(heard.size(), sessions);
        for (const std::uint64_t id : heard)
            stage.far_send(stays, encode(message_of(ViewerType::ReleaseHeard, id)));
        stage.pass(0.05);
        service.hear(stays);
        stage.pass(0.6);
        CHECK(service.ends_heard(stays).empty());
    });
}

TEST_CASE("a side that closes its connections hears a set-up that has come before") {
    Stage stage(false, by_poll);
    Service service(stage, 100, 100);
    const int visitor = service.come_and_test();
    const int other = service.come_and_test();
    service.send_set_up(visitor, 5);
    stage.sleep(0.1);
    service.side.finish(agent::ViewerSide::Finish::WhereRead);
    REQUIRE(stage.pass(soon_s, [&] { return !service.asked.set_ups.empty(); }));
    CHECK_EQ(service.asked.set_ups.front(), 5);
    service.side.refused(5, 0);
    service.side.finish(agent::ViewerSide::Finish::WhereRead);
    stage.far_close(other);
    stage.pass(0.05);
    CHECK(service.ends_heard(visitor).contains(5));
}

TEST_CASE("a set-up that has come as its connection's time ends is heard") {
    Stage stage(false, by_poll);
    Service service(stage, 100, 100);
    const int visitor = service.come();
    constexpr double before_its_end_s = 2.4, past_its_end_s = 2.7;
    stage.loop().deadlines().add(stage.loop().now() + before_its_end_s,
                                 [&] { service.send_set_up(visitor, 5); });
    stage.sleep(past_its_end_s);  // both are due in one turn
    REQUIRE(stage.pass(soon_s, [&] { return !service.asked.set_ups.empty(); }));
    CHECK_EQ(service.asked.set_ups.front(), 5);
}

// Guards against clients at full speed that keep all others waiting, and against losing what they have left.
TEST_CASE("a viewer that sends much at once gets a part of each turn, and all is heard though it leaves") {
    on_every_stage([](Stage& stage) {
        constexpr std::uint64_t messages = 1000, most_a_turn = 64;
        Service service(stage, 100, 100);
        const int busy = service.come_and_test();
        std::string all;
        for (std::uint64_t id = 1; id <= messages; ++id) all += encode(message_of(ViewerType::Release, id));
        stage.far_send(busy, all);
        stage.sleep(0.05);
        stage.loop().turn(0);
        CHECK_GT(service.asked.given.size(), 0);
        CHECK_LE(service.asked.given.size(), most_a_turn);
        stage.far_close(busy);
        REQUIRE(stage.pass(soon_s, [&] { return service.side.connections() == 0; }));
        CHECK_EQ(service.asked.given.size(), messages);
    });
}
