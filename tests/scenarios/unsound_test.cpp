// Messages of viewers and servers that are not as the protocol page has them: nobody is served by them.
#include <doctest/doctest.h>

#include "scenario.h"

using scenario::play;

// Guards against serving a bad client: a figure that was no number, or out of its range, was passed over.
TEST_CASE("unsound set-up: a figure that is there but can't be used is refused, and no server hears of it") {
    CHECK_EQ(play(R"(
        agent send start
        v1 send setup 1 class=paid hint=-30000
        v1 expect release 1 cause=42
        v1 send setup 2 class=paid viewer=none
        v1 expect release 2 cause=42
        v1 send setup 3 class=paid viewer=
        v1 expect release 3 cause=42
        v1 send setup 4 class=paid again=maybe
        v1 expect release 4 cause=42
        v1 send setup 5 class=paid home=0.5
        v1 expect release 5 cause=42
        v2 send setup 6 class=paid copies=1.5
        v2 expect release 6 cause=42
        v2 send setup 7 class=paid top=0x1
        v2 expect release 7 cause=42
        v2 send setup 8 class=paid hint=-30000 at=s-00000001
        v2 expect release 8 cause=42
        s1 expect nothing 0.2
    )"),
             "");
}

TEST_CASE("sound set-up: figures at the ends of their ranges are served") {
    CHECK_EQ(play(R"(
        agent send start
        v1 send setup 1 hint=0 viewer=B4D65521 again=0 home=0 copies=8 top=0 later=figure
        s1 expect START 1
        s1 send STARTED 1
        v1 expect answer 1
        v1 send setup 2 hint=0.5 again=1 copies=8.0 top=1
        s1 expect START 2
        s1 send STARTED 2
        v1 expect answer 2
    )"),
             "");
}
