// When a server can no longer tell of ends, and its sessions are over.
#include "agent/end_watch.h"

#include <doctest/doctest.h>

#include <optional>

using jasperspread::agent::EndWatch;
using jasperspread::agent::silence_limits;
using jasperspread::agent::SilenceLimits;

namespace {

constexpr double began_s = 100;  // when the server was last heard
constexpr double rule_s = 8;     // in which an end must be told

SilenceLimits limits_of(bool has_notes, bool can_probe) {
    return silence_limits({has_notes ? 2.25 : 0, 1.4, 15, can_probe});
}

}  // namespace

TEST_CASE("server that can't be asked as no connection comes up: its sessions are over in time") {
    for (const bool has_notes : {true, false}) {
        const SilenceLimits limits = limits_of(has_notes, true);
        EndWatch watch(limits);
        watch.heard(began_s);
        watch.connections_are_open(std::nullopt);
        CHECK_FALSE(watch.sessions_are_over(began_s + 5));
        CHECK(watch.sessions_are_over(began_s + rule_s));
    }
}

TEST_CASE("server that answers its probes: its sessions go on however long it has nothing to say") {
    const SilenceLimits limits = limits_of(false, true);
    EndWatch watch(limits);
    for (double now = began_s; now < began_s + 60; now += 0.25) {
        if (watch.probe_is_due(now)) watch.heard(now);
        if (now == began_s) watch.heard(now);
        watch.connections_are_open(now - began_s);
        CHECK_FALSE(watch.sessions_are_over(now));
    }
}

TEST_CASE("server without notes and probes: its sessions go on beside a connection that stays open") {
    const SilenceLimits limits = limits_of(false, false);
    EndWatch watch(limits);
    watch.heard(began_s);
    for (double now = began_s; now < began_s + 60; now += 0.25) {
        watch.connection_was_fruitless(now);
        watch.connections_are_open(now - began_s + 1);
        CHECK_FALSE(watch.sessions_are_over(now));
    }
}

TEST_CASE("server without notes and probes: two connects that time out after a long silence end nothing") {
    const SilenceLimits limits = limits_of(false, false);
    EndWatch watch(limits);
    watch.heard(began_s);
    watch.connect_timed_out(began_s + 60);
    watch.connect_timed_out(began_s + 61);
    CHECK_FALSE(watch.has_vanished(began_s + 61));
    CHECK(watch.has_vanished(began_s + 60 + rule_s));
}
