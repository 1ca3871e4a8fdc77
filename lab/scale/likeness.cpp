#include "lab/scale/likeness.h"

#include <algorithm>
#include <cmath>

namespace lab {
namespace {

struct Flow {  // of messages, or of bytes
    double sent = 0, received = 0;
};

struct Used {
    Flow messages, bytes, lists, list_bytes;
    double stream_bytes = 0;
};

double less(std::uint64_t now, std::uint64_t before) {
    return static_cast<double>(now - before);
}

Used used_by(ScaleWorld& world, const ScaleOutcome& outcome, int agent) {
    const auto at = static_cast<std::size_t>(agent);
    const Traffic now = world.sample(agent).traffic, before = outcome.at_baseline[at].traffic;
    Used used;
    used.messages = {less(now.messages_sent, before.messages_sent),
                     less(now.messages_received, before.messages_received)};
    used.bytes = {less(now.bytes_sent, before.bytes_sent), less(now.bytes_received, before.bytes_received)};
    used.lists = {less(now.lists_sent, before.lists_sent), less(now.lists_received, before.lists_received)};
    used.list_bytes = {less(now.list_bytes_sent, before.list_bytes_sent),
                       less(now.list_bytes_received, before.list_bytes_received)};
    used.stream_bytes = less(now.stream_bytes, before.stream_bytes);
    if (!world.plan().is_real(agent)) return used;
    const auto sent = world.sent_by_real(agent), sent_before = outcome.sent_at_baseline[at];
    used.messages.sent = less(sent.messages, sent_before.messages);
    used.bytes.sent = less(sent.bytes, sent_before.bytes);
    used.lists.sent = less(sent.lists, sent_before.lists);
    used.list_bytes.sent = less(sent.list_bytes, sent_before.list_bytes);
    return used;
}

Flow without(const Flow& all, const Flow& part) {
    return {all.sent - part.sent, all.received - part.received};
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

class Comparison {
public:
    Comparison(ScaleWorld& world, const ScaleOutcome& outcome) : plan_(world.plan()) {
        const std::vector<int> seeds = plan_.seeds();
        for (int agent = 0; agent < plan_.agents(); ++agent) {
            used_.push_back(used_by(world, outcome, agent));
            // All others ask the seeds: they are no measure.
            const bool seed = std::find(seeds.begin(), seeds.end(), agent) != seeds.end();
            counts_.push_back(!seed && !world.was_killed(agent));
        }
    }

    // `flow` gives what is compared, `more` what comes to it and arrives for certain.
    template <typename FlowOf, typename More>
    Ratio ratio(const FlowOf& flow, const More& more) const {
        const double part = delivered(flow);
        Spread real, hollow;
        for (std::size_t agent = 0; agent < used_.size(); ++agent) {
            if (!counts_[agent]) continue;
            const Flow own = flow(used_[agent]);
            const bool is_real = plan_.is_real(static_cast<int>(agent));
            const double arrived = own.sent * (is_real ? 1 : part);
            (is_real ? real : hollow).add(own.received + arrived + more(used_[agent]));
        }
        if (real.count == 0 || hollow.count == 0 || real.mean() <= 0 || hollow.mean() <= 0) return {};
        const double parts = 1.0 / hollow.count + 1.0 / real.count;
        return {hollow.mean() / real.mean(), hollow.deviation() * std::sqrt(parts) / hollow.mean()};
    }
    int compared(bool real) const {
        int count = 0;
        for (std::size_t agent = 0; agent < counts_.size(); ++agent)
            count += counts_[agent] && plan_.is_real(static_cast<int>(agent)) == real ? 1 : 0;
        return count;
    }

private:
    // Of what hollow agents sent, the part that somebody received: the rest went to the dead, over a cut
    // link, or to a socket that was full.
    template <typename FlowOf>
    double delivered(const FlowOf& flow) const {
        double received = 0, sent = 0;
        for (std::size_t agent = 0; agent < used_.size(); ++agent) {
            const Flow own = flow(used_[agent]);
            const bool is_real = plan_.is_real(static_cast<int>(agent));
            received += own.received - (is_real ? own.sent : 0);
            sent += is_real ? 0 : own.sent;
        }
        return sent > 0 ? received / sent : 1;
    }

    const ScalePlan& plan_;
    std::vector<Used> used_;
    std::vector<bool> counts_;  // lived through it all, and is no seed
};

}  // namespace

Likeness compare(ScaleWorld& world, const ScaleOutcome& outcome) {
    const Comparison comparison(world, outcome);
    const auto nothing = [](const Used&) { return 0.0; };
    const auto feed = [](const Used& used) { return used.stream_bytes; };
    Likeness found;
    found.messages = comparison.ratio([](const Used& used) { return used.messages; }, nothing);
    found.bytes = comparison.ratio([](const Used& used) { return used.bytes; }, feed);
    found.messages_without_lists =
        comparison.ratio([](const Used& used) { return without(used.messages, used.lists); }, nothing);
    found.bytes_without_lists =
        comparison.ratio([](const Used& used) { return without(used.bytes, used.list_bytes); }, feed);
    found.received = comparison.ratio(
        [](const Used& used) {
            return Flow{0, used.messages.received};
        },
        nothing);
    found.real = comparison.compared(true);
    found.hollow = comparison.compared(false);
    return found;
}

}  // namespace lab
