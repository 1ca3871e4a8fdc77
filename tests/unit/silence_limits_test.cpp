// Whatever the settings, ends are told within the 8 s of the rule, and a sound server's notes come in time.
#include "agent/silence_limits.h"

#include <doctest/doctest.h>

#include <initializer_list>

using jasperspread::agent::silence_limits;
using jasperspread::agent::SilenceLimits;

namespace {

constexpr double rule_s = 8, connect_s = 0.25, look_s = 0.25;

}  // namespace

TEST_CASE("silence limits: a replaced connection, and the end of sessions, come within the rule's time") {
    for (const double note_every : {0.0, 0.3, 2.25, 4.8, 30.0}) {
        for (const bool can_probe : {false, true}) {
            const SilenceLimits limits = silence_limits({note_every, 1.4, 15, can_probe});
            CHECK_LT(limits.replace_after + look_s + connect_s + limits.probe_answer,
                     limits.over_after + look_s);
            CHECK_LT(limits.over_after + 2 * look_s, rule_s);
            CHECK_LE(limits.probe_after, limits.replace_after);
            CHECK_LE(limits.vanished_after, limits.over_after);
        }
    }
}

TEST_CASE("silence limits: notes that come in time keep a connection and its sessions") {
    for (const double note_every : {0.3, 2.25, 4.8}) {
        const SilenceLimits limits = silence_limits({note_every, 1.4, 15, true});
        CHECK_GT(limits.probe_after, note_every);
        CHECK_GT(limits.vanished_after, note_every);
        CHECK(limits.notes_are_due);
    }
}

TEST_CASE("silence limits: where no note is due in time, silence alone ends nothing") {
    CHECK_FALSE(silence_limits({0, 0.2, 15, false}).notes_are_due);
    CHECK_FALSE(silence_limits({30, 0.2, 15, false}).notes_are_due);
}

TEST_CASE("silence limits: a connection is replaced before its server forgets it") {
    CHECK_LT(silence_limits({0, 0, 1.5, true}).idle_after, 1.5);
    CHECK_GT(silence_limits({0, 0, 0, true}).idle_after, 1e9);
}
