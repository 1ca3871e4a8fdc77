#include "lab/scale/likeness.h"

#include <algorithm>
#include <cmath>

namespace lab {
namespace {

struct Used {
    double sent = 0, received = 0, sent_bytes = 0, received_bytes = 0, stream_bytes = 0;
};

Used used_by(ScaleWorld& world, const ScaleOutcome& outcome, int agent) {
    const auto at = static_cast<std::size_t>(agent);
    const Traffic now = world.sample(agent).traffic, before = outcome.at_baseline[at].traffic;
    Used used{static_cast<double>(now.messages_sent - before.messages_sent),
              static_cast<double>(now.messages_received - before.messages_received),
              static_cast<double>(now.bytes_sent - before.bytes_sent),
              static_cast<double>(now.bytes_received - before.bytes_received),
              static_cast<double>(now.stream_bytes - before.stream_bytes)};
    if (!world.plan().is_real(agent)) return used;
    const auto sent = world.sent_by_real(agent), sent_before = outcome.sent_at_baseline[at];
    used.sent = static_cast<double>(sent.messages - sent_before.messages);
    used.sent_bytes = static_cast<double>(sent.bytes - sent_before.bytes);
    return used;
}

// Of what hollow agents sent, the part that somebody received: the rest went to the dead, or over a cut link.
struct Delivered {
    double messages = 1, bytes = 1;
};

Delivered delivered(const ScaleWorld& world, const std::vector<Used>& all) {
    Used sum;
    double hollow_sent = 0, hollow_bytes = 0;
    for (int agent = 0; agent < world.plan().agents(); ++agent) {
        const Used& used = all[static_cast<std::size_t>(agent)];
        const bool real = world.plan().is_real(agent);
        sum.received += used.received - (real ? used.sent : 0);
        sum.received_bytes += used.received_bytes - (real ? used.sent_bytes : 0);
        hollow_sent += real ? 0 : used.sent;
        hollow_bytes += real ? 0 : used.sent_bytes;
    }
    if (hollow_sent <= 0 || hollow_bytes <= 0) return {};
    return {sum.received / hollow_sent, sum.received_bytes / hollow_bytes};
}

struct Spread {
    double sum = 0, squares = 0;
    int count = 0;
    void add(double value) {
        sum += value;
        squares += value * value;
        ++count;
    }
    double mean() const { return count > 0 ? sum / count : 0; }
    double deviation() const {
        return count > 1 ? std::sqrt(std::max(0.0, (squares - sum * mean()) / (count - 1))) : 0;
    }
};

double error_of(const Spread& hollow, const Spread& real) {
    if (hollow.count == 0 || real.count == 0 || hollow.mean() <= 0) return 0;
    const double parts = 1.0 / hollow.count + 1.0 / real.count;
    return hollow.deviation() * std::sqrt(parts) / hollow.mean();
}

}  // namespace

Likeness compare(ScaleWorld& world, const ScaleOutcome& outcome) {
    const ScalePlan& plan = world.plan();
    const std::vector<int> seeds = plan.seeds();
    std::vector<Used> all;
    for (int agent = 0; agent < plan.agents(); ++agent) all.push_back(used_by(world, outcome, agent));
    const Delivered part = delivered(world, all);
    Spread messages[2], bytes[2];
    for (int agent = 0; agent < plan.agents(); ++agent) {
        // All others ask the seeds: they are no measure.
        const bool seed = std::find(seeds.begin(), seeds.end(), agent) != seeds.end();
        if (seed || world.was_killed(agent)) continue;
        const Used& used = all[static_cast<std::size_t>(agent)];
        const bool real = plan.is_real(agent);
        messages[real].add(used.received + used.sent * (real ? 1 : part.messages));
        bytes[real].add(used.received_bytes + used.stream_bytes + used.sent_bytes * (real ? 1 : part.bytes));
    }
    Likeness found;
    found.real = messages[true].count;
    found.hollow = messages[false].count;
    found.messages = messages[false].mean() / std::max(1.0, messages[true].mean());
    found.bytes = bytes[false].mean() / std::max(1.0, bytes[true].mean());
    found.messages_error = error_of(messages[false], messages[true]);
    found.bytes_error = error_of(bytes[false], bytes[true]);
    return found;
}

}  // namespace lab
