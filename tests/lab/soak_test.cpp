// A short form of the soak with processes of the program: four seeds that reach every family.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "codec/message.h"
#include "folder.h"
#include "lab/soak/soak_run.h"

using namespace lab;

namespace {

// What the agents logged of the session that a finding names last, as its folder goes with the test.
std::string logged(const std::string& folder, const std::string& finding) {
    const std::string id = finding.substr(finding.rfind(' ') + 1);
    if (id.empty() || id.find_first_not_of("0123456789") != std::string::npos) return "";
    const std::string session = "session=" + jasperspread::codec::to_hex(std::stoull(id));
    std::string lines;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream log(entry.path() / "log");
        for (std::string line; std::getline(log, line);) {
            if (line.find(session) != std::string::npos) lines += "    " + line + "\n";
        }
    }
    return lines;
}

void sound(SoakPlan plan) {
    Folder folder;
    plan.trial.world.slack_s = 0.5;  // CI shares its machine
    const Result result = play_soak(plan, {JASPERSPREAD_SOUND, folder.path, ""});
    std::string found;
    for (const std::string& what : result.violations) found += what + "\n" + logged(folder.path, what);
    INFO("seed " << plan.trial.world.seed << "\n" << found);
    CHECK(result.violations.empty());
}

void sound(std::uint64_t seed, const std::vector<Family>& played) {
    sound(soak_plan(seed, played));
}

}  // namespace

TEST_CASE("soak: 25 seeds in a row reach each family alone, each pair and each three at once") {
    std::set<std::vector<Family>> reached;
    for (std::uint64_t seed = 1; seed <= 25; ++seed) reached.insert(families_of(seed));
    CHECK_EQ(reached.size(), 25);
    CHECK_EQ(families_of(26), families_of(1));
}

TEST_CASE("soak: a plan is the same for its seed, and can be read back from its text") {
    const SoakPlan plan = soak_plan(7, families_of(7));
    CHECK_EQ(to_text(soak_plan(7, families_of(7))), to_text(plan));
    SoakPlan read = plan;
    read.trial.faults = read_faults(to_text(plan));
    CHECK_EQ(to_text(read), to_text(plan));
    CHECK_THROWS(read_faults("1.0s nothing server 0 agent 0 for 1s size 0"));
}

TEST_CASE("soak: shutdowns, discovery and clients") {
    sound(101, {Family::Shutdowns, Family::Discovery, Family::Clients});
}

TEST_CASE("soak: an agent that can't hear half of its servers for longer than ends may wait") {
    SoakPlan plan = soak_plan(103, {Family::Network});
    constexpr double from_s = 6, cut_s = 14;
    plan.trial.faults.clear();
    for (int server = 0; server < plan.trial.world.servers - plan.trial.world.spares; server += 2)
        plan.trial.faults.push_back({from_s, cut_s, Trouble::CutLink, server, 0});
    sound(plan);
}

TEST_CASE("soak: servers that hold releases back, on dead connections too, and garble lines") {
    SoakPlan plan = soak_plan(104, {Family::Network});
    plan.trial.faults.clear();
    plan.trial.world.life_s = 4;
    const int servers = plan.trial.world.servers - plan.trial.world.spares;
    constexpr double every_s = 0.5, hold_s = 3;
    for (double at = 0; at + hold_s < plan.trial.seconds; at += every_s) {
        const int turn = static_cast<int>(at / every_s);
        const int server = turn % servers, agent = turn % plan.trial.world.agents;
        const Trouble what = turn % 3 == 0   ? Trouble::HoldReleases
                             : turn % 3 == 1 ? Trouble::DeadenConnections
                                             : Trouble::GarbleLines;
        plan.trial.faults.push_back({at, hold_s, what, server, agent});
    }
    sound(plan);
}

TEST_CASE("soak: shutdowns, network and bytes") {
    sound(102, {Family::Shutdowns, Family::Network, Family::Bytes});
}
