// What a set-up, an accept and a close cost the agent in processor time beside connections that rest.
#include <fstream>

#include "codec/viewer_codec.h"
#include "lab/model/party.h"
#include "lab/run/common.h"
#include "lab/run/socket_world.h"

namespace lab {
namespace {

using jasperspread::codec::ViewerMessage;
using jasperspread::codec::ViewerType;

// Viewers that have passed a test, and then rest.
class RestingViewers final : public Party {
public:
    RestingViewers(jasperspread::net::Loop& loop, const jasperspread::net::Address& agent)
        : Party(loop), agent_(agent) {}
    ~RestingViewers() override { drop_all(); }

    std::uint64_t come() { return connect(agent_, connect_within_s); }
    void go(std::uint64_t number) {
        if (Connection* one = connection(number)) one->finish();
    }
    std::size_t passed() const { return passed_; }
    std::size_t here() const { return connections_.size(); }

private:
    static constexpr double connect_within_s = 5;
    void opened(Connection& connection) override {
        ViewerMessage test;
        test.type = static_cast<std::uint8_t>(ViewerType::Test);
        connection.send(encode(test));
    }
    std::size_t heard(std::uint64_t, std::string_view bytes) override {
        ++passed_;
        return bytes.size();
    }

    const jasperspread::net::Address agent_;
    std::size_t passed_ = 0;
};

// Processor time of a process up to now, s, finer than the ticks of its `stat`.
double cpu_s(const AgentProcess& process) {
    std::ifstream in("/proc/" + std::to_string(process.id()) + "/schedstat");
    double nanoseconds = 0;
    return in >> nanoseconds ? nanoseconds * 1e-9 : process.cpu_s();
}

std::size_t resident_kb(const AgentProcess& process) {
    std::ifstream in("/proc/" + std::to_string(process.id()) + "/status");
    for (std::string word; in >> word;) {
        if (word == "VmRSS:" && in >> word) return std::stoul(word);
    }
    return 0;
}

struct Costs {
    double set_up_us = 0, come_us = 0, go_us = 0, resident_kb = 0;
};

Costs beside(const Ask& ask, std::size_t resting, Result& result) {
    constexpr double longest_s = 60;
    constexpr std::size_t at_once = 100, visits = 400;
    constexpr std::uint64_t warm = 100, set_ups = 500;
    WorldPlan plan;
    plan.seed = ask.seed;
    plan.agents = 1;
    plan.servers = plan.cells = 8;
    plan.link_kb = 1e7;
    plan.places = 100000;
    plan.arrivals_per_s = 0;
    plan.agent_descriptors = 2 * (resting + visits + at_once) + 256;
    SocketWorld world(plan, {ask.program, ask.folder});
    const auto all = [&](const std::function<bool()>& done) {
        if (!world.run_until(done, longest_s)) result.violations.emplace_back("the agent did not keep up");
    };
    AgentProcess& agent = world.process(0);
    RestingViewers rests(world.loop(), world.agent_address(0));
    while (rests.here() < resting) {
        for (std::size_t i = 0; i < at_once && rests.here() < resting; ++i) rests.come();
        all([&] { return rests.passed() >= rests.here(); });
    }
    Costs costs;
    costs.resident_kb = static_cast<double>(resident_kb(agent));

    Viewers& viewers = world.viewers(0);
    viewers.leave_at_once = true;
    std::uint64_t asked = 0;
    const auto ask_up_to = [&](std::uint64_t most) {
        all([&] {
            if (viewers.open() == 0 && asked < most) viewers.ask(1, 60), ++asked;
            return viewers.answers() >= most;
        });
    };
    ask_up_to(warm);
    double began = cpu_s(agent);
    ask_up_to(warm + set_ups);
    costs.set_up_us = (cpu_s(agent) - began) * 1e6 / static_cast<double>(set_ups);

    std::vector<std::uint64_t> came;
    began = cpu_s(agent);
    for (std::size_t i = 0; i < visits; ++i) {
        came.push_back(rests.come());
        all([&] { return rests.passed() >= resting + came.size(); });
    }
    costs.come_us = (cpu_s(agent) - began) * 1e6 / static_cast<double>(visits);
    began = cpu_s(agent);
    for (const std::uint64_t number : came) {
        const std::size_t left = rests.here() - 1;
        rests.go(number);
        all([&] { return rests.here() <= left; });
    }
    costs.go_us = (cpu_s(agent) - began) * 1e6 / static_cast<double>(visits);
    add_ledger(result, world.ledger(), std::to_string(resting) + " resting");
    return costs;
}

}  // namespace

Result run_resting(const Ask& ask) {
    Result result;
    double memory_beside_none = 0;
    std::vector<std::size_t> sizes = {0, 1000, 5000, 9000, 18000};
    if (ask.resting) sizes = {*ask.resting};
    for (const std::size_t resting : sizes) {
        const Costs costs = beside(ask, resting, result);
        const std::string at = "_beside_" + std::to_string(resting);
        result.figures.emplace_back("set_up_us" + at, costs.set_up_us);
        result.figures.emplace_back("accept_us" + at, costs.come_us);
        result.figures.emplace_back("close_us" + at, costs.go_us);
        result.figures.emplace_back("resident_kb" + at, costs.resident_kb);
        if (resting == 0) memory_beside_none = costs.resident_kb;
        if (memory_beside_none == 0 || resting == 0) continue;
        const double each = (costs.resident_kb - memory_beside_none) * 1024 / static_cast<double>(resting);
        result.figures.emplace_back("bytes_each" + at, each);
    }
    return result;
}

}  // namespace lab
