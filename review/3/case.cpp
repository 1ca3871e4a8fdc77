// A new configuration moves an agent to a control feed that is crowded: each call waits 3 s for its turn. A
// server that is listed as draining there must get nothing new from 4.3 s after SIGHUP on.
#include "../standins/world.h"

using namespace review;

namespace {

constexpr double waits_s = 3;
// Told 4 s after SIGHUP at the latest, or when the event is there; then the grace of the settings, and 50 ms.
constexpr double told_within_s = 4, grace_s = 0.25 + 0.05;

int play(const std::string& folder, const std::string& file) {
    World world(folder, file, Site{});
    Server& drained = world.add_server("s-00000001", 0, 2);
    world.add_server("s-00000002", 1, 1);
    world.add_server("s-00000003", 2, 1);
    for (const auto& server : world.servers) server->start();
    if (!world.start()) return could_not_run;
    const auto ask_until = [&](double end) {
        for (int i = 0; now() < end; ++i) {
            for (const auto& viewers : world.viewers) {
                const std::uint64_t id = viewers->ask(i % 3 == 0 ? "attended-lesson" : "replay", 30).id;
                Viewers* of = viewers.get();
                world.loop.after(4, [of, id] { of->leave(id); });
            }
            world.loop.run_until(std::min(end, now() + 0.4));
        }
    };
    ask_until(now() + 2);
    std::vector<std::unique_ptr<Feed>> fresh;
    for (int agent = 0; agent < world.site.agents; ++agent) {
        Feed& old = *world.feeds[static_cast<std::size_t>(agent)];
        fresh.push_back(std::make_unique<Feed>(world.loop, world.record, agent, free_port(1)));
        fresh.back()->copy_events(old);
        if (world.trouble()) fresh.back()->answers_after = waits_s;
        fresh.back()->start();
    }
    const double hung_up = now();
    for (std::size_t agent = 0; agent < fresh.size(); ++agent) {
        world.agents[agent]->move_feed(fresh[agent]->port());
        world.feeds[agent]->retire();
    }
    ask_until(hung_up + 1);
    for (std::size_t agent = 0; agent < fresh.size(); ++agent)
        fresh[agent]->add(false, {drained.entry(static_cast<int>(agent), "draining")});
    const double told = hung_up + told_within_s;
    ask_until(hung_up + 15);
    if (!world.all_run()) return broken;

    int late = 0, before = 0;
    for (const auto& seen : drained.seen) {
        if (seen.verb != "START") continue;
        if (seen.at <= told + grace_s) {
            ++before;
            continue;
        }
        ++late;
        world.record.say("BROKEN: agent %d sent %s to %s, which drains, %.2f s after SIGHUP", seen.agent,
                         hex(seen.session).c_str(), drained.id.c_str(), seen.at - hung_up);
    }
    world.record.say("set-ups at the drained server: %d in time, %d late", before, late);
    std::printf("set-ups at the drained server: %d in time, %d late\n", before, late);
    return late > 0 ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
