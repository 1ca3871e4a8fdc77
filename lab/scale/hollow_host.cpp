#include "lab/scale/hollow_host.h"

#include <algorithm>

namespace lab {
namespace {

constexpr double connects_within_s = 5, events_every_s = 0.02, samples_every_s = 0.5;
// A line fits a buffer of a connection with so many.
constexpr std::size_t samples_in_line = 60, events_in_line = 80;

}  // namespace

HollowHost::HollowHost(int host, const jasperspread::net::Address& at)
    : host_(host),
      loop_(kernel_),
      experiment_(
          loop_, [this](std::uint64_t, std::string_view line) { take(decode_command(line)); },
          [this](std::uint64_t) { over_ = true; }),
      connection_(experiment_.call(at, connects_within_s)),
      events_timer_(loop_),
      samples_timer_(loop_) {}

void HollowHost::run() {
    tell_events();
    tell_samples();
    while (!over_) loop_.turn();
}

HollowAgent& HollowHost::agent(int number) {
    auto& made = agents_[number];
    if (!made) made = std::make_unique<HollowAgent>(number, queue_);
    return *made;
}

void HollowHost::take(const Command& command) {
    std::visit([this](const auto& one) { act(one); }, command);
}

void HollowHost::act(const StartAgent& start) {
    zones_[start.agent] = start.zone;
    agent(start.agent).kernel().block(blocked_[start.zone]);
    agent(start.agent).start(start);
}

void HollowHost::act(const KillAgent& kill) {
    agent(kill.agent).kill();
}

void HollowHost::act(const BlockZones& block) {
    blocked_[block.zone] = block.senders;
    for (const auto& [number, zone] : zones_) {
        if (zone == block.zone) agent(number).kernel().block(block.senders);
    }
}

void HollowHost::say(Report report) {
    report.host = host_;
    report.at = loop_.now();
    experiment_.say(connection_, encode(report));
}

void HollowHost::tell_events() {
    const std::vector<AgentEvent> events = queue_.take();
    for (std::size_t i = 0; i < events.size(); i += events_in_line) {
        Report report;
        const auto from = events.begin() + static_cast<std::ptrdiff_t>(i);
        const auto count = std::min(events_in_line, events.size() - i);
        report.events.assign(from, from + static_cast<std::ptrdiff_t>(count));
        say(std::move(report));
    }
    events_timer_.set(loop_.now() + events_every_s, [this] { tell_events(); });
}

void HollowHost::tell_samples() {
    Report report;
    report.from_reals.resize(real_agents_most);
    for (const auto& [number, one] : agents_) {
        for (int real = 0; real < real_agents_most; ++real) {
            const auto from = one->kernel().from_real(real);
            auto& sum = report.from_reals[static_cast<std::size_t>(real)];
            sum.messages += from.messages;
            sum.bytes += from.bytes;
            sum.lists += from.lists;
            sum.list_bytes += from.list_bytes;
        }
    }
    for (const auto& [number, one] : agents_) {
        report.samples.push_back(one->sample());
        if (report.samples.size() < samples_in_line) continue;
        say(report);
        report.samples.clear();
    }
    say(std::move(report));
    samples_timer_.set(loop_.now() + samples_every_s, [this] { tell_samples(); });
}

}  // namespace lab
