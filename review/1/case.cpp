// A lesson server's machine vanishes, and a new lesson server has its address. What an agent still has to say
// to the old one must not end sessions at the new one.
#include "../standins/world.h"

using namespace review;

namespace {

constexpr double released_within_s = 8.05;  // the longest that the pages give, and 50 ms

int play(const std::string& folder, const std::string& file) {
    Site site;
    site.told_every = 4.6;
    site.told_late = 1.3;
    World world(folder, file, site);
    Server& old = world.add_server("s-00000001", 0, 2);
    world.add_server("s-00000002", 1, 1);
    world.add_server("s-00000003", 2, 1);
    for (const auto& server : world.servers) server->start();
    if (!world.start()) return could_not_run;
    const auto ask = [&](const char* cls, int count) {
        for (int i = 0; i < count; ++i) {
            for (const auto& viewers : world.viewers) viewers->ask(cls, 38);
            world.loop.run_for(0.02);
        }
    };
    world.loop.run_for(1);
    ask("attended-lesson", 1);
    ask("replay", 3);
    // Its last note before it vanishes.
    world.loop.run_until(world.record.began() + site.told_every + 0.05);

    const bool trouble = world.trouble();
    const double vanished = now();
    if (trouble) old.vanish();
    world.loop.run_until(vanished + 2.4);
    Server& fresh = world.add_server("s-00000004", 0, 2, trouble ? old.port : 0);
    if (trouble) old.leave_address();
    fresh.start();
    const double up_since = now();
    world.loop.run_until(vanished + 4.2);
    ask("replay", 6);
    world.loop.run_until(vanished + 4.6);
    world.list([&](int agent) {
        std::vector<Json> members;
        if (trouble) members.push_back(old.entry(agent, "removed"));
        members.push_back(fresh.entry(agent, "up", up_since));
        return members;
    });
    world.loop.run_until(vanished + 28);
    if (!world.all_run()) return broken;

    int wrong = 0, placed = 0;
    for (const auto& server : world.servers) {
        for (const auto& seen : server->seen) {
            if (seen.verb == "START" && server.get() == &fresh) ++placed;
            if (seen.verb != "FINISH" || !seen.stood || now() < seen.at + released_within_s) continue;
            const auto& requests = world.viewers[static_cast<std::size_t>(seen.agent)]->requests;
            const auto it = requests.find(seen.session);
            if (it == requests.end() || it->second.left > 0) continue;
            const double told = it->second.released;
            if (told > 0 && told <= seen.at + released_within_s) continue;
            ++wrong;
            world.record.say("BROKEN: agent %d released %s at %s, where it stood, and its viewer %s",
                             seen.agent, hex(seen.session).c_str(), server->id.c_str(),
                             told > 0 ? "was told late" : "was never told");
        }
    }
    world.record.say("set-ups at the new server: %d, sessions ended unknown to their viewers: %d", placed,
                     wrong);
    std::printf("set-ups at the new server: %d, sessions ended unknown to their viewers: %d\n", placed,
                wrong);
    return wrong > 0 ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
