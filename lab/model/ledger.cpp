#include "ledger.h"

#include <algorithm>

#include "codec/message.h"

namespace lab {
namespace {
constexpr double socket_slack_s = 0.05;  // by which each time limit of the rules is longer on sockets
constexpr double again_within_s = 30;
// A hand-over counts as one between live parties if neither had trouble within so long before it, s.
constexpr double trouble_lasts_s = 10;
}  // namespace

Ledger::Viewed* Ledger::find(SessionId id) {
    const auto it = viewed_.find(id);
    return it == viewed_.end() ? nullptr : &it->second;
}

void Ledger::violate(std::string what, double now) {
    if (violations_.size() < 100) violations_.push_back(std::to_string(now) + " " + std::move(what));
}

double Ledger::worth(const Viewed& viewed, int rung) const {
    const auto i = static_cast<std::size_t>(std::clamp(rung, 0, static_cast<int>(plan_.worth.size()) - 1));
    return plan_.classes[static_cast<std::size_t>(viewed.cls)].points * plan_.worth[i];
}

// ---- Viewers ----

void Ledger::asked(SessionId id, int cls, int top, double now, double deadline) {
    Viewed& viewed = viewed_[id];
    viewed.cls = cls;
    viewed.top = top;
    viewed.asked = now;
    viewed.deadline = deadline;
    ++sums_.asked;
}

void Ledger::answered(SessionId id, double now) {
    Viewed* viewed = find(id);
    if (viewed == nullptr || viewed->settled) return violate("second answer to " + std::to_string(id), now);
    viewed->settled = true;
    viewed->answered = now;
    ++sums_.answered;
    if (viewed->streams == 0) violate("answered, though no server runs " + std::to_string(id), now);
    if (now > viewed->deadline + socket_slack_s) violate("late answer to " + std::to_string(id), now);
}

void Ledger::turned_away(SessionId id, bool refused, double now) {
    Viewed* viewed = find(id);
    if (viewed == nullptr || viewed->settled) return violate("second answer to " + std::to_string(id), now);
    viewed->settled = viewed->over = true;
    ++(refused ? sums_.refused : sums_.failed);
    const bool paid = plan_.classes[static_cast<std::size_t>(viewed->cls)].paid;
    if (refused && paid && viewed->may_have_run > 0)
        violate("a paid set-up refused that may have run " + std::to_string(id), now);
}

void Ledger::gave_up(SessionId id, double now) {
    Viewed* viewed = find(id);
    if (viewed == nullptr || viewed->settled) return;
    viewed->settled = viewed->over = true;
    ++sums_.given_up;
    if (now > viewed->deadline + socket_slack_s) violate("no answer in time to " + std::to_string(id), now);
}

void Ledger::viewer_left(SessionId id, double) {
    if (Viewed* viewed = find(id)) viewed->over = true;
}

void Ledger::wants(SessionId id, double seconds) {
    if (const Viewed* viewed = find(id)) sums_.worth_offered += seconds * worth(*viewed, viewed->top);
}

void Ledger::told_over(SessionId id, double now) {
    Viewed* viewed = find(id);
    if (viewed == nullptr) return;
    viewed->over = true;
    if (viewed->streaming_at >= 0 && !trouble_.contains(viewed->streaming_at)) {
        // The release crosses the agent's own release of the server by a moment: judged at the close.
        viewed->server_over_at = now;
    }
}

void Ledger::connection_lost(SessionId id, double now) {
    Viewed* viewed = find(id);
    if (viewed == nullptr || viewed->settled) return;
    viewed->settled = viewed->over = true;
    ++sums_.lost;
    violate("lost: its connection ended with no whole answer " + std::to_string(id), now);
}

// ---- Servers ----

void Ledger::set_up_came(SessionId id, int server, double now) {
    Viewed* viewed = find(id);
    if (viewed == nullptr) return violate("a set-up that no viewer sent " + std::to_string(id), now);
    ++sums_.set_ups;
    const auto drain = drained_.find(server);
    if (drain != drained_.end() && now > drain->second + plan_.drain_grace + socket_slack_s)
        violate("new work at a drained server " + std::to_string(id), now);
    const bool paid = plan_.classes[static_cast<std::size_t>(viewed->cls)].paid;
    // A class that may be sent again may be late at a first server while a second one plays.
    if (paid && (viewed->streaming_at >= 0 || viewed->may_have_run > 0)) {
        ++sums_.duplicate_setups;
        ++sums_.double_payments;
        violate("duplicate: a set-up sent again that may have run " + std::to_string(id), now);
    }
    ++viewed->may_have_run;
}

void Ledger::unrun(SessionId id, int) {
    if (Viewed* viewed = find(id)) --viewed->may_have_run;
}

void Ledger::stream_begins(SessionId id, int server, int rung, double now, bool handed_over) {
    Viewed* viewed = find(id);
    if (viewed == nullptr) return;
    const bool paid = plan_.classes[static_cast<std::size_t>(viewed->cls)].paid;
    if (viewed->streaming_at >= 0 && viewed->streaming_at != server && (paid || handed_over))
        violate("two servers stream " + std::to_string(id), now);
    ++viewed->streams;
    if (handed_over && viewed->yielded && viewed->last_at != server) {
        const double gap_ms = (now - viewed->last_stop) * 1000;
        const auto lived = [&](int which) {
            const auto it = trouble_.find(which);
            return it == trouble_.end() || now > it->second + trouble_lasts_s;
        };
        if (lived(server) && lived(viewed->last_at)) sums_.gaps_ms.push_back(gap_ms);
        sums_.worst_gap_ms = std::max(sums_.worst_gap_ms, gap_ms);
        ++sums_.moves;
        if (viewed->last_move > 0 && now < viewed->last_move + again_within_s) ++sums_.moved_again;
        viewed->last_move = now;
    }
    viewed->streaming_at = viewed->last_at = server;
    viewed->rung = rung;
    viewed->yielded = false;
}

void Ledger::stream_ends(SessionId id, int server, double now, bool for_hand_over) {
    Viewed* viewed = find(id);
    if (viewed == nullptr || viewed->streaming_at != server) return;
    viewed->streaming_at = -1;
    viewed->last_stop = now;
    viewed->yielded = for_hand_over;
}

void Ledger::rung_changed(SessionId id, int server, int rung, double) {
    Viewed* viewed = find(id);
    if (viewed == nullptr || viewed->streaming_at != server || viewed->rung == rung) return;
    viewed->rung = rung;
    sums_.worth_earned -= plan_.switch_cost_s * worth(*viewed, static_cast<int>(plan_.worth.size()) - 1);
}

void Ledger::delivers(SessionId id, int server, double share, double seconds) {
    Viewed* viewed = find(id);
    if (viewed == nullptr || viewed->over || viewed->streaming_at != server) return;
    constexpr double unseen = 0.02;  // missing, before a viewer sees anything
    const double missing = std::max(0.0, 1 - share);
    const double factor = missing <= unseen ? 1.0 : std::max(0.0, 1 - plan_.stall_cost * missing);
    sums_.worth_earned += seconds * factor * worth(*viewed, viewed->rung);
}

void Ledger::server_over(SessionId id, int, double now) {
    if (Viewed* viewed = find(id)) viewed->server_over_at = now;
}

void Ledger::agent_gone(int agent) {
    for (auto& [id, viewed] : viewed_) {
        if (agent_of(id) == agent && viewed.settled) viewed.over = true;
    }
}

void Ledger::close(double now) {
    for (auto& [id, viewed] : viewed_) {
        if (!viewed.settled && now > viewed.deadline + socket_slack_s)
            violate("never answered " + std::to_string(id), now);
        constexpr double heard_within_s = 8;
        if (viewed.answered > 0 && !viewed.over && viewed.streaming_at < 0 && viewed.server_over_at > 0 &&
            now > viewed.server_over_at + heard_within_s)
            violate("a viewer never heard that it is over " + std::to_string(id), now);
    }
}

}  // namespace lab
