// What is seen of the agents of a scale run: reports of hosts, logs of processes, counters of relays.
#include <algorithm>

#include "lab/scale/scale_world.h"

namespace lab {
namespace {

constexpr double logs_every_s = 0.05, samples_every_s = 0.5;

}  // namespace

void ScaleWorld::note_reachable(int agent) {
    const int zone = plan_.placement.zone_of(agent);
    const Slot& own = agents_[index(agent)];
    changes_.reachable(agent, own.talks && feeds_[index(zone)].is_up && source_reaches(zone), now());
}

void ScaleWorld::hear(const Report& report) {
    if (!report.from_reals.empty()) from_reals_[index(report.host)] = report.from_reals;
    for (const AgentEvent& event : report.events) hear(event);
    for (const AgentSample& one : report.samples) note(one);
}

void ScaleWorld::hear(const AgentEvent& event) {
    Slot& own = agents_[index(event.agent)];
    switch (event.what) {
        case AgentEvent::What::Talks:
            if (!own.runs) return;
            own.talks = true;
            own.talks_at = event.name;
            deaths_.token(event.agent, event.token);
            note_reachable(event.agent);
            break;
        case AgentEvent::What::ListInForce:
            if (own.runs) changes_.in_force(event.agent, event.number, event.at);
            break;
        case AgentEvent::What::Died:
            deaths_.report(event.agent, std::stoi(event.name.substr(1)), event.token, event.at);
            break;
    }
}

void ScaleWorld::note(const AgentSample& sample) {
    Slot& own = agents_[index(sample.agent)];
    own.sample = sample;
    UsageSample used{now(), sample.cpu_s, static_cast<double>(sample.traffic.messages()),
                     static_cast<double>(sample.traffic.bytes()),
                     static_cast<double>(sample.traffic.list_bytes())};
    if (own.real) {
        const auto sent = sent_by_real(sample.agent);
        used.messages += static_cast<double>(sent.messages);
        used.bytes += static_cast<double>(sent.bytes);
    }
    own.usage.add(used);
}

CountingKernel::FromReal ScaleWorld::sent_by_real(int agent) {
    const auto held = relays_.hold();
    CountingKernel::FromReal sum;
    for (const auto& some : from_reals_) {
        sum.messages += some[index(agent)].messages;
        sum.bytes += some[index(agent)].bytes;
        sum.lists += some[index(agent)].lists;
        sum.list_bytes += some[index(agent)].list_bytes;
    }
    return sum;
}

void ScaleWorld::look_at_logs() {
    if (looked_ > 0) latest_look_s_ = std::max(latest_look_s_, now() - looked_ - logs_every_s);
    looked_ = now();
    for (Slot& own : agents_) {
        if (!own.real) continue;
        for (const AgentEvent& event : own.real->take_events()) hear(event);
    }
    logs_timer_.set(now() + logs_every_s, [this] { look_at_logs(); });
}

void ScaleWorld::sample_reals() {
    for (Slot& own : agents_) {
        if (own.real) note(own.real->sample());
    }
    samples_timer_.set(now() + samples_every_s, [this] { sample_reals(); });
}

int ScaleWorld::running() const {
    return static_cast<int>(
        std::count_if(agents_.begin(), agents_.end(), [](const Slot& own) { return own.runs; }));
}

std::vector<int> ScaleWorld::in_doubt() const {
    const auto there = static_cast<std::uint64_t>(running());
    std::vector<int> found;
    for (int agent = 0; agent < plan_.agents(); ++agent) {
        const Slot& own = agents_[index(agent)];
        if (own.runs && (!own.talks || own.sample.present != there)) found.push_back(agent);
    }
    return found;
}

}  // namespace lab
