// Clients that name ever new sessions: what they claim is bounded, and nothing runs twice for them.
#include <doctest/doctest.h>

#include <string>

#include "scenario.h"

using scenario::play;

namespace {

std::string handed_over(int first, int count) {
    std::string lines;
    for (int id = first; id < first + count; ++id)
        lines += "v1 send setup " + std::to_string(id) + " at=s-00000001\n";
    return lines;
}

}  // namespace

// Guards against memory that grows with each session that a client says it has.
TEST_CASE("sessions handed over at a server beyond twice what it can run are over for their viewer") {
    CHECK_EQ(play("agent send start\nv1 send test 1\nv1 expect result 1\n" + handed_over(1000, 80) + R"(
        v1 send setup 1000 at=s-00000001       # held already: nothing is said
        v1 send setup 2000 at=s-00000001
        v1 expect release 2000 cause=41
        s1 expect connection
        s1 send FINISH 1000 rc=16              # it makes room
        v1 expect release 1000 cause=16
        v1 send heard 1000
        v1 send setup 2001 at=s-00000001
        v1 send setup 2002 at=s-00000001
        v1 expect release 2002 cause=41
    )"),
             "");
}

// Guards against sessions past the memory of the process, whatever a server can run.
TEST_CASE("sessions beyond the memory that the configuration names are refused") {
    CHECK_EQ(play("agent send start memory=1 runs=100000\nv1 send test 1\nv1 expect result 1\n" +
                  handed_over(1000, 300) + R"(
        v1 send setup 5 home=0 copies=1
        s1 expect START 5
        s1 send STARTED 5
        v1 expect answer 5
    )" + handed_over(2000, 100) +
                  R"(
        wait 0.5                               # until they are read
        v2 send setup 6 home=1 copies=1
        v2 expect release 6 cause=42
        s2 expect nothing 0.1
        v2 send test 2
        v2 expect result 2
    )"),
             "");
}

// Guards against running a set-up twice: its id was remembered until a number of others had come.
TEST_CASE("an id that has run comes again after thousands of others: it is not sent again") {
    std::string others;
    for (int id = 10'000; id < 15'000; ++id)
        others += "v2 send setup " + std::to_string(id) + " home=7 copies=1\n";  // nobody holds this title
    CHECK_EQ(play("agent send start\nv1 send setup 5\ns1 expect START 5\nv1 close\ns1 expect FINISH 5\n" +
                  others + R"(
        wait 1                                 # until they are read
        v3 send setup 5
        v3 expect release 5 cause=41
        s1 expect nothing 0.3
    )"),
             "");
}
