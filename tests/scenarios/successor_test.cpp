// A new server at the address of one that has gone: nothing that concerns the one is taken for the other's.
#include <doctest/doctest.h>

#include "scenario.h"

using scenario::play;

// Guards against ending sessions that play at the successor, with releases kept for the server before it.
TEST_CASE("a set-up that may have run at a server is not sent to the one that has its address now") {
    CHECK_EQ(play(R"(
        agent send start
        feed expect after=1
        v1 send setup 5 home=2 copies=7        # s1 and s3 may serve it, s2 not
        s1 expect START 5
        feed send n=2 s1=removed s3=at:s1
        v1 expect release 5 cause=42
        s1 expect FINISH 5 rc=16               # in case that it was the new one that has taken it
        s1 expect nothing 0.5
    )"),
             "");
}

// Guards against releases that are passed over on a connection that was opened for the server before.
TEST_CASE("a connection opened for a server whose address another one has now is given up for a new one") {
    CHECK_EQ(play(R"(
        agent send start
        feed expect after=1
        stands 4
        s1 reset                               # its process dies; another one listens there at once
        v1 send setup 6 home=0 copies=1
        s1 expect START 6
        s1 send STARTED 6
        v1 expect answer 6
        feed send n=2 s1=removed s3=at:s1
        v1 expect release 4 cause=41
        v1 send heard 4
        v1 expect release 6 cause=41
        v1 send heard 6
        s1 expect FINISH 4 rc=31
        s1 expect FINISH 6 rc=31
        v1 send setup 5 home=2 copies=1
        s1 expect START 5
        s1 send STARTED 5
        v1 expect answer 5
        s1 oldest
        s1 send FINISH 5 rc=16
        v1 expect release 5 cause=16
    )"),
             "");
}

// Guards against a session that stands for ever: its server went before the viewer handed it over.
TEST_CASE("a session handed over at a server whose address another one has is over at once") {
    CHECK_EQ(play(R"(
        agent send start
        feed expect after=1
        feed send n=2 s1=removed s3=at:s1
        agent expect log=listening
        wait 0.2
        v1 send test 1
        v1 expect result 1
        v1 send setup 7 at=s-00000001
        v1 within 2 expect release 7 cause=41
        s1 expect nothing 0.3
    )"),
             "");
}

// Guards against a release that is lost where the server's address was taken before it was acknowledged.
TEST_CASE("a release that no server has acknowledged is sent to the one that has the address now") {
    CHECK_EQ(play(R"(
        agent send start
        feed expect after=1
        stands 4
        s1 reset
        s1 expect connection                   # to the new one, which has taken the next set-up
        v1 send setup 5 home=0 copies=1
        s1 expect START 5
        v1 send release 5 cause=16
        s1 expect FINISH 5 rc=16
        feed send n=2 s1=removed s3=at:s1
        s1 expect FINISH 4 rc=31
        s1 expect FINISH 5 rc=16
    )"),
             "");
}
