// An emulated lesson server and its judge, in virtual time: within how long an end must be told depends on
// whether the server could reach the agent that holds the session.
#include "lab/model/server.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <string_view>

#include "lab/sim/network.h"

using namespace lab;

namespace {

constexpr SessionId session = (SessionId{1} << 32) + 1;  // of agent 0
constexpr double plays_s = 1, told_late_s = 3, told_too_late_s = 9;

// The connections of one agent: it takes all that comes, and says what the test has it say.
class AgentStub final : public Party {
public:
    explicit AgentStub(Host& host) : Party(host.loop()) {}
    std::uint64_t open(const jasperspread::net::Address& server) { return connect(server, 1); }
    void send(std::uint64_t number, std::string_view line) { connection(number)->send(line); }
    void close(std::uint64_t number) { connection(number)->finish(); }

private:
    std::size_t heard(std::uint64_t, std::string_view bytes) override { return bytes.size(); }
};

// Agent 0 holds a session that it set up on a connection which it has closed since, and has another one;
// agent 1 has one too.
struct Stage {
    Network network{1};
    const WorldPlan plan = even_plan(1, 2, 1, 1e6);
    Fleet fleet{plan};
    Ledger ledger{plan};
    Host& server_host = network.add_host();
    Host& agents_host = network.add_host();
    LessonServer server{server_host.loop(), plan, 0, fleet, ledger, 1};
    AgentStub first{agents_host}, second{agents_host};
    std::uint64_t own = 0, other = 0, of_second = 0;

    Stage() {
        server_host.run([] { return true; });
        agents_host.run([] { return true; });
        server.listen(server_host.address(1000), 1);
        server.listen(server_host.address(1001), 2);
        own = first.open(server_host.address(1000));
        other = first.open(server_host.address(1000));
        of_second = second.open(server_host.address(1001));
        wait(0.1);
        ledger.asked(session, 0, 0, network.now(), network.now() + 1);
        const std::string wish = "length=" + std::to_string(plays_s);
        first.send(own, R"({"verb":"START","tag":"0000000100000001","opts":{"class":"replay"},"blob":")" +
                            wish + "\"}\n");
        wait(0.1);
        ledger.answered(session, "played by " + server_id(0) + " as 0000000100000001\r\n", network.now());
        REQUIRE(ledger.streams(session));
    }
    void wait(double seconds) { network.run_until(network.now() + seconds); }
    // The session ends at its server, and its viewer is told so long after it.
    std::size_t findings(double told_after_s) {
        wait(plays_s);
        REQUIRE_FALSE(ledger.streams(session));
        ledger.told_over(session, network.now() + told_after_s);
        return ledger.violations().size();
    }
};

}  // namespace

TEST_CASE("judge: an end is told within 8 s where its agent has but a dead connection, whoever else heard") {
    for (const double told_after_s : {told_late_s, told_too_late_s}) {
        Stage stage;
        stage.server.deaden_connections(0);
        stage.first.close(stage.own);  // the record of the other one, which stays dead, goes on
        stage.wait(0.1);
        CHECK_EQ(stage.findings(told_after_s), told_after_s == told_late_s ? 0 : 1);
    }
}

TEST_CASE("judge: an end is told within 1 s though another agent's connections are dead") {
    Stage stage;
    stage.server.deaden_connections(1);
    stage.first.close(stage.own);
    stage.first.close(stage.other);
    stage.wait(0.1);
    CHECK_EQ(stage.findings(told_late_s), 1);
}
