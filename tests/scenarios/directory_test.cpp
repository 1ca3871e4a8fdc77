// What the directory keeps of servers, on a clock of its own.
#include <doctest/doctest.h>

#include "scenario.h"

using scenario::play;

TEST_CASE(
    "a server that has gone is forgotten after a while, unless something there is held or it comes back") {
    CHECK_EQ(play(R"(
        directory send                         # all: s1 s2 s3
        directory send s1=removed s2=removed s3=removed
        directory wait s=1
        directory wait s=30
        directory send s3=up
        directory expect s1=there s2=there s3=there
        directory wait s=31 s2=held
        directory expect s1=gone s2=there s3=there
        directory wait s=1
        directory expect s2=gone s3=there
    )"),
             "");
}
