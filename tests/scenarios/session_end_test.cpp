// A server that can't tell of a session's end on the connections that it has: the viewer hears within 8 s.
#include <doctest/doctest.h>

#include <string>

#include "scenario.h"

using scenario::play;

namespace {

// Within so long, s, an end must be told: the rule's 8 s, and 2 s for a busy machine.
const std::string rule = "10";

std::string repeated(int times, const std::string& lines) {
    std::string all;
    for (int i = 0; i < times; ++i) all += lines;
    return all;
}

// Session 5 stands at a server that breaks all connections, and does the same on each new one from then on.
std::string told_though_each_new_connection(const std::string& does, const std::string& settings,
                                            const std::string& expected = "cause=41") {
    return play("agent send start " + settings + "\nstands 5\ns1 always " + does + "\ns1 reset\nv1 within " +
                rule + " expect release 5 " + expected + "\n");
}

}  // namespace

TEST_CASE("server that held a release back: a new connection comes in time though it speaks on the old one") {
    CHECK_EQ(play("agent send start told=0.4\nstands 5\n" +
                  repeated(19, "s1 send NOTICE 5 note=local value=0.1\nwait 0.4\n") + R"(
        s1 expect connection 0.4
        s1 send FINISH 5 rc=16
        v1 expect release 5 cause=16
        agent expect log=held_releases_came
    )"),
             "");
}

TEST_CASE(
    "session without a connection of its own: a new one comes though its server speaks on another one") {
    CHECK_EQ(play(R"(
        agent send start told=0.4 streams=1
        stands 5
        s1 expect nothing 0.1
        s1 send text=unreadable                # session 5 has no connection of its own from here on
        s1 expect connection
        v1 send setup 6 home=0 copies=1
        s1 expect START 6
        s1 send STARTED 6
        v1 expect answer 6
    )" + repeated(19, "s1 send NOTICE 6 note=local value=0.1\nwait 0.4\n") +
                  R"(
        s1 expect connection 0.4
        s1 send FINISH 5 rc=16
        v1 expect release 5 cause=16
    )"),
             "");
}

TEST_CASE("release right behind a line that can't be read: its viewer hears of it") {
    CHECK_EQ(play(R"(
        agent send start
        stands 5
        agent send stop                        # so that it reads both lines at once
        s1 send text=unreadable
        s1 send FINISH 5 rc=16
        agent send go
        v1 expect release 5 cause=16
    )"),
             "");
}

TEST_CASE("server whose new connections bring garbage: its sessions end in time") {
    CHECK_EQ(told_though_each_new_connection("garbage", "told=0.3"), "");
}

TEST_CASE("server whose new connections bring half a line: its sessions end in time") {
    CHECK_EQ(told_though_each_new_connection("half", "told=0.3"), "");
}

TEST_CASE("server without notes and probes whose new connections bring garbage: its sessions end in time") {
    CHECK_EQ(told_though_each_new_connection("garbage", "probes=false"), "");
}

TEST_CASE("server without notes and probes whose new connections are reset: its sessions end in time") {
    CHECK_EQ(told_though_each_new_connection("reset", "probes=false"), "");
}

TEST_CASE("server without notes and probes whose new connections are closed: its sessions end in time") {
    CHECK_EQ(told_though_each_new_connection("close", "probes=false"), "");
}

TEST_CASE("release written slowly: it is read though its line takes over 0.5 s") {
    CHECK_EQ(told_though_each_new_connection("pieces=0.3 FINISH 5 rc=16", "told=0.3", "cause=16"), "");
}

// Guards against a release that is cut off on each connection, as the server pauses for longer than an answer
// may.
TEST_CASE("release written with long pauses: it is read all the same") {
    CHECK_EQ(told_though_each_new_connection("pieces=0.7 FINISH 5 rc=16", "told=0.3", "cause=16"), "");
}

// Guards against set-ups that wait on a connection on which a line has stopped short.
TEST_CASE("line that stops short where a session stands: set-ups there fail, and the session stays") {
    CHECK_EQ(play(R"(
        agent send start
        stands 4
        v1 send setup 5 class=paid wait=60000
        s1 expect START 5
        s1 send part={"verb":"STARTED","tag":"00
        v1 within 1 expect release 5 cause=41
        s1 expect FINISH 5 rc=16
        s1 send text=00000000000005","opts":{},"blob":"late"}
        s1 expect FINISH 5 rc=16               # what stands there now is ended
        s1 send FINISH 4 rc=16
        v1 expect release 4 cause=16
        v1 send heard 4
        v1 expect nothing 0.2
    )"),
             "");
}

// Guards against ends that wait behind a line that never goes on: its server tells them on the next
// connection.
TEST_CASE("line that stops short where a session stands: another connection comes at once") {
    CHECK_EQ(play(R"(
        agent send start
        stands 4
        s1 send part={"verb":"NOTICE","tag":
        s1 expect connection 2
        s1 send FINISH 4 rc=16
        v1 expect release 4 cause=16
    )"),
             "");
}

// Guards against a connection that is kept for a line that never ends.
TEST_CASE("line that never goes on where a session stands: its connection is closed") {
    CHECK_EQ(play(R"(
        agent send start
        stands 4
        s1 send part={"verb":"FINISH","tag":"00
        agent within 7 expect log=short
    )"),
             "");
}

TEST_CASE("sessions handed in at a silent server again and again: they are no sign of life of it") {
    std::string lines = R"(
        agent send start told=0.3
        v1 send test 1
        v1 expect result 1
        v1 send setup 5 at=s-00000001
        s1 expect connection
    )";
    for (int id = 10; id < 26; ++id)
        lines += "wait 0.5\nv2 send setup " + std::to_string(id) + " at=s-00000001\n";
    CHECK_EQ(play(lines + "v1 within 2 expect release 5 cause=41\n"), "");
}
