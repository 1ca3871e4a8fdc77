// What talking costs one agent against how many talk, in virtual time: messages, bytes, processor time,
// memory, how long until all agree on who is there, and who is called dead though it lives.
#include "lab/sim/talk_world.h"
#include "lab/slopes/heap.h"
#include "lab/slopes/parts.h"
#include "lab/slopes/process_cost.h"

namespace lab {
namespace {

constexpr int fleets[] = {50, 150, 300, 450, 600, 900};
constexpr double longest_s = 120, step_s = 0.25, quiet_s = 30;
constexpr double longest_processor_s = 90;  // of one part: larger fleets are left out after that, and said so

struct Talk {
    double messages_per_s = 0, bytes_per_s = 0, processor_us_per_s = 0;  // of one agent
    double agree_s = 0, false_deaths = 0;
    double heap_bytes = 0;  // of one agent, the simulator's part with it
    bool agrees = false;
};

Talk measure(int agents, std::uint64_t seed, const Lossy& lossy) {
    Talk talk;
    const auto heap = static_cast<double>(heap_bytes());
    TalkWorld world(agents, seed, {}, lossy);
    while (!world.all_agree() && talk.agree_s < longest_s) {
        world.run_for(step_s);
        talk.agree_s += step_s;
    }
    talk.agrees = world.all_agree();
    const auto sent = world.sent(), bytes = world.sent_bytes();
    const double processor = thread_time_s();
    world.run_for(quiet_s);
    const double shares = quiet_s * agents;
    talk.messages_per_s = static_cast<double>(world.sent() - sent) / shares;
    talk.bytes_per_s = static_cast<double>(world.sent_bytes() - bytes) / shares;
    talk.processor_us_per_s = (thread_time_s() - processor) * 1e6 / shares;
    talk.false_deaths = static_cast<double>(world.false_deaths());
    talk.heap_bytes = (static_cast<double>(heap_bytes()) - heap) / agents;
    return talk;
}

void add_numbers(SlopeSet& set, const std::string& mark, const std::string& links) {
    set.add(mark + "messages_per_s", "messages a second", "agent", "sent by one agent, " + links);
    set.add(mark + "bytes_per_s", "B a second", "agent", "sent by one agent, headers not counted, " + links);
    set.add(mark + "cpu_us_per_s", "us a second", "agent",
            "of one agent, with the simulator's own work: an upper bound, " + links);
    set.add(mark + "agree_s", "s", "agent",
            "from a start of all at once until each knows just who is there, " + links);
    set.add(mark + "false_deaths", "reports", "agent",
            "agents that live called dead, over all who said so, until 30 s after agreement, " + links);
}

void measure_fleets(const Ask& ask, Result& result, const std::string& part, const Lossy& lossy) {
    const bool sound = lossy.lost == 0;
    const std::string mark = sound ? "membership_calm_" : "membership_lossy_";
    SlopeSet set;
    add_numbers(set, mark, sound ? "sound links" : "a fifth of datagrams lost, some repeated, some late");
    if (sound) set.add("member_process_bytes", "B", "agent", "heap of one agent's talk for each agent known");
    const double began = thread_time_s();
    for (const int agents : fleets) {
        if (thread_time_s() - began > longest_processor_s) {
            result.figures.emplace_back(mark + "left_out_at_" + std::to_string(agents), 1);
            continue;
        }
        const Talk talk = measure(agents, ask.seed, lossy);
        set.point(mark + "messages_per_s", agents, talk.messages_per_s);
        set.point(mark + "bytes_per_s", agents, talk.bytes_per_s);
        set.point(mark + "cpu_us_per_s", agents, talk.processor_us_per_s);
        set.point(mark + "agree_s", agents, talk.agree_s);
        set.point(mark + "false_deaths", agents, talk.false_deaths);
        if (sound) set.point("member_process_bytes", agents, talk.heap_bytes);
        if (!talk.agrees) result.figures.emplace_back(mark + "never_agreed_at_" + std::to_string(agents), 1);
    }
    set.finish(result, command_of(ask, part));
}

}  // namespace

void measure_membership_calm(const Ask& ask, Result& result) {
    measure_fleets(ask, result, "membership-calm", {});
}

void measure_membership_lossy(const Ask& ask, Result& result) {
    measure_fleets(ask, result, "membership-lossy", {0.2, 0.05, 0.05, 1.0});
}

}  // namespace lab
