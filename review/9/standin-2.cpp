// A lesson server's answer arrives with noise in its description, so that the line is no JSON any more: the
// viewer may not be answered 'served' with what no lesson server made for it.
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

    const std::string made = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
    s1.on_start = [&](const Server::ConnectionPtr& on, SessionId id, const Json&) {
        if (!the.trouble) return s1.start(on, id, made);
        Json message = Server::word("STARTED", id);
        message["blob"] = made;
        std::string line = message.dump() + "\n";
        // Noise on the way: four bytes in the middle of the description are others now.
        const std::size_t at = line.find("31000");
        line.replace(at, 4, "\xf8\x9c\xff\x81");
        the.record.line(
            "%s -> agent  [c%d] the answer to %s, four bytes of its description spoilt: f8 9c ff 81",
            s1.id.c_str(), on->number, hex(id).c_str());
        on->stream.send(line);
    };
    Viewers viewers(the.loop, the.record, agent.port, "viewers");
    Ask ask;
    ask.session = 0x1001;
    ask.class_name = "attended-lesson";
    ask.wait_ms = "5000";
    viewers.ask(ask);
    the.loop.run_for(6);
    if (!agent.runs()) return the.verdict(false, "the agent has ended");
    if (s1.starts[ask.session] == 0) give_up("no set-up has come");
    const Word* answer = viewers.first(ask.session, wire::answer);
    const Word* failed = viewers.first(ask.session, wire::release);
    if (answer == nullptr)
        return the.verdict(failed != nullptr, failed != nullptr ? "not served" : "no answer");
    if (answer->description == made) return the.verdict(true, "served with what the server made");
    std::string bytes;
    for (const char c : answer->description) {
        char text[4];
        std::snprintf(text, sizeof text, "%02x ", static_cast<unsigned char>(c));
        bytes += text;
    }
    the.record.line("the description that the viewer has: %s", bytes.c_str());
    return the.verdict(false, "served with a description that no lesson server made");
}
