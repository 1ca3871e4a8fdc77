// Bad clients ask with a figure that is out of range, and with one that is no number: they may not be served.
#include "world.h"

using namespace review;

int main(int argc, char** argv) {
    Case the(argc, argv);
    Server s1(the.loop, the.record, "s-00000001");
    Feed feed(the.loop, the.record);
    feed.add(true, Json::array({Feed::member(s1, "up")}));
    Agent agent(the.root, the.temporary);
    agent.write_config(feed, csis_settings(1));
    agent.start();
    agent.wait_until_ready(the.loop, the.record);

    Ask out_of_range, no_number;
    out_of_range.session = 0x1001;
    no_number.session = 0x1002;
    if (the.trouble) {
        out_of_range.hint_ms = "-30000.0";
        no_number.figures = "home:0;copies:1;top:5;viewer:none";
    }
    Viewers first(the.loop, the.record, agent.port, "client-1"),
        second(the.loop, the.record, agent.port, "client-2");
    first.ask(out_of_range);
    second.ask(no_number);
    the.loop.run_for(3);
    if (!agent.runs()) return the.verdict(false, "the agent has ended");
    const int served = (first.first(out_of_range.session, wire::answer) != nullptr ? 1 : 0) +
                       (second.first(no_number.session, wire::answer) != nullptr ? 1 : 0);
    if (!the.trouble)
        return the.verdict(served == 2, std::to_string(served) + " of 2 sound clients were served");
    return the.verdict(served == 0, std::to_string(served) + " of 2 bad clients were served");
}
