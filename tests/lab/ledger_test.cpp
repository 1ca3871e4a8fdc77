// The laboratory's judge: each excuse holds for as long as it should, and no longer.
#include "lab/model/ledger.h"

#include <doctest/doctest.h>

using namespace lab;

namespace {

constexpr SessionId first_of_agent_0 = (SessionId{1} << 32) + 1;
constexpr double died_at_s = 100, deadline_s = 110;

struct Stall {
    double from = 0, to = 0;
};

// A set-up that was asked for then, and whose connection ended 50 ms later, after its agent had died.
std::size_t findings(double asked_at, Stall stall) {
    const WorldPlan plan;
    Ledger ledger(plan);
    ledger.agent_died(0, died_at_s);
    if (stall.to > stall.from) ledger.laboratory_stalled(stall.from, stall.to);
    ledger.asked(first_of_agent_0, 0, 0, asked_at, deadline_s);
    ledger.connection_lost(first_of_agent_0, asked_at + 0.05);
    ledger.close(deadline_s);
    return ledger.violations().size();
}

}  // namespace

TEST_CASE("judge: a set-up after its agent's death is excused for what a stall hid, and no longer") {
    const Stall none, stall{died_at_s + 0.05, died_at_s + 0.3};
    CHECK_EQ(findings(died_at_s + 0.09, none), 0);
    CHECK_EQ(findings(died_at_s + 0.35, none), 1);
    CHECK_EQ(findings(died_at_s + 0.35, stall), 0);
    CHECK_EQ(findings(died_at_s + 0.7, stall), 1);
}
