// Servers whose connections stay open and silent: sessions end in time, and their releases arrive.
#include <doctest/doctest.h>

#include <string>

#include "scenario.h"

using scenario::play;

namespace {

std::string stands(int session, const std::string& server, const std::string& fields = "",
                   const std::string& viewer = "v1") {
    const std::string id = std::to_string(session);
    return viewer + " send setup " + id + " " + fields + "\n" + server + " expect START " + id + "\n" +
           server + " send STARTED " + id + "\n" + viewer + " expect answer " + id + "\n";
}

// Sessions 1 to 4 of v1 to v4 at s1 to s4: as many servers as sockets=32 has connections for.
std::string stand_at_four() {
    std::string lines;
    for (int i = 1; i <= 4; ++i) {
        const std::string number = std::to_string(i);
        lines += stands(i, "s" + number, "home=" + std::to_string(i - 1) + " copies=1", "v" + number);
    }
    return lines;
}

constexpr const char* released_on_a_new_connection = R"(
        s1 expect connection
        s1 send FINISH 1 rc=16
        v1 expect release 1 cause=16
    )";

}  // namespace

TEST_CASE("silent server: its sessions end though its new connections come up") {
    CHECK_EQ(play(R"(
        agent send start told=0.3
        stands 5
        v1 expect release 5 cause=41
    )"),
             "");
}

TEST_CASE("silent server without notes: its sessions end though its new connections come up") {
    CHECK_EQ(play(R"(
        agent send start
        stands 5
        v1 expect release 5 cause=41
    )"),
             "");
}

TEST_CASE("silent server: a session that was handed in ends too") {
    CHECK_EQ(play(R"(
        agent send start told=0.3
        v1 send test 1
        v1 expect result 1
        v1 send setup 5 at=s-00000001
        s1 expect connection
        v1 expect release 5 cause=41
    )"),
             "");
}

TEST_CASE("silent server: it is told of the sessions' end once it speaks again") {
    CHECK_EQ(play(R"(
        agent send start told=0.3 probes=false
        stands 5
        v1 expect release 5 cause=41
        s1 close                               # what was written to it so far is lost
        s1 expect FINISH 5 rc=31
    )"),
             "");
}

TEST_CASE("vanished server without notes: its sessions end") {
    CHECK_EQ(play(R"(
        agent send start
        stands 5
        s1 deaf
        v1 expect release 5 cause=41
    )"),
             "");
}

TEST_CASE("forgotten idle connection: a new one brings the release of its session") {
    CHECK_EQ(play(R"(
        agent send start idle=1.5
        stands 5
        s1 expect connection                   # s1 has forgotten the first one and says nothing on it
        s1 send FINISH 5 rc=16
        v1 expect release 5 cause=16
    )"),
             "");
}

TEST_CASE("silent connection beside one that speaks: a new one brings the release of its session") {
    std::string lines = "agent send start told=0.3 streams=1\nstands 5\n" + stands(6, "s1");
    for (int i = 0; i < 20; ++i) lines += "s1 send NOTICE 6 note=local value=0.1\nwait 0.4\n";
    CHECK_EQ(play(lines + R"(
        s1 expect connection 0.5               # it has come while s1 spoke on the other one
        s1 send FINISH 5 rc=16
        v1 expect release 5 cause=16
    )"),
             "");
}

TEST_CASE("silent connection where no further one may be opened: a new one takes its place") {
    const std::string lines = "agent send start sockets=32 told=0.3\n" + stand_at_four();
    CHECK_EQ(play(lines + released_on_a_new_connection), "");
}

TEST_CASE("server that speaks again after its silent connection was closed: one more new one comes") {
    const std::string lines = "agent send start sockets=32 told=4\n" + stand_at_four();
    CHECK_EQ(play(lines + R"(
        s1 expect connection
        s1 send NOTICE 1 note=local value=0.1
        s1 expect connection 4.5               # s1 wrote its release to the first one, which was closed
        s1 send FINISH 1 rc=16
        v1 expect release 1 cause=16
    )"),
             "");
}

TEST_CASE("silent connection beside its replacement: it gives way to a server that has none") {
    std::string lines = "agent send start sockets=32 told=2 probes=false\n";  // four connections to servers
    for (int i = 1; i <= 3; ++i)
        lines += stands(i, "s" + std::to_string(i), "home=" + std::to_string(i - 1) + " copies=1");
    for (int i = 0; i < 10; ++i) {
        lines += "s2 send NOTICE 2 note=local value=0.1\ns3 send NOTICE 3 note=local value=0.1\nwait 0.4\n";
    }
    CHECK_EQ(play(lines + R"(
        s1 expect connection
        v1 send setup 5 class=paid wait=5000 home=0 copies=1
        s1 expect START 5
        v1 send setup 9 at=s-00000004
        s4 expect connection 2
    )"),
             "");
}

TEST_CASE("silent connections up to the most to one server: a new one takes the place of one") {
    std::string lines = "agent send start told=0.3 streams=1\n";
    for (int i = 1; i <= 6; ++i) lines += stands(i, "s1", "home=0 copies=1");
    CHECK_EQ(play(lines + released_on_a_new_connection), "");
}

TEST_CASE("release written to a connection that breaks unread: it is sent on the next one") {
    CHECK_EQ(play(R"(
        agent send start
        stands 5
        s1 close
        v1 send release 5 cause=16
        s1 expect connection
        s1 reset
        s1 expect FINISH 5
    )"),
             "");
}
