// A lesson server resets a connection that rests, and is at its full allowance of connections for two
// seconds. Its session plays on: the viewer may not be told that it is over.
#include "world.h"

using namespace review;

namespace {

constexpr double full_for_s = 2, plays_s = 14;

}  // namespace

int main(int argc, char** argv) {
    Case the(argc, argv);
    Server s1(the.loop, the.record, "s-00000001");
    s1.note_every_s = 2.75;
    Feed feed(the.loop, the.record);
    feed.add(true, Json::array({Feed::member(s1, "up")}));
    Agent agent(the.root, the.temporary);
    agent.write_config(feed, csis_settings(1));
    agent.start();
    agent.wait_until_ready(the.loop, the.record);

    constexpr SessionId session = 0x1001;
    double ended_at = 0;
    s1.on_start = [&](const Server::ConnectionPtr& on, SessionId id, const Json&) {
        s1.start(on, id, "played by s1");
        the.loop.in(plays_s, [&, id] {
            ended_at = now();
            s1.end(id, 16);
        });
    };
    std::function<void()> notes = [&] {
        s1.note(session);
        the.loop.in(s1.note_every_s, notes);
    };
    the.loop.in(s1.note_every_s, notes);
    Viewers viewers(the.loop, the.record, agent.port, "viewers");
    Ask ask;
    ask.session = session;
    ask.class_name = "attended-lesson";
    ask.wait_ms = "5000";
    viewers.ask(ask);
    the.loop.run_for(4);
    if (viewers.first(session, wire::answer) == nullptr) give_up("the session does not stand");
    if (the.trouble) {
        s1.refuse(true);
        the.record.line("s1 resets its connections, the session plays on");
        s1.reset_all();
        the.loop.in(full_for_s, [&] { s1.refuse(false); });
    }
    the.loop.run_for(plays_s - 4 + 2);
    if (!agent.runs()) return the.verdict(false, "the agent has ended");
    const Word* over = viewers.first(session, wire::release);
    if (over == nullptr) return the.verdict(false, "the session was never released towards its viewer");
    if (ended_at == 0 || over->at < ended_at)
        return the.verdict(false, "its viewer was told that the session is over (cause " +
                                      std::to_string(over->cause) + ") while it played");
    return the.verdict(over->at <= ended_at + 1.05,
                       "released " + std::to_string(over->at - ended_at) + " s after its end");
}
