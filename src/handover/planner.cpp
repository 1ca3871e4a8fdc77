#include "planner.h"

#include <algorithm>

namespace jasperspread::handover {
namespace {

// Under this share viewers lose worth; a note older than so long says nothing any more, s.
constexpr double short_share = 0.98, note_lives_s = 4;
constexpr double minute_s = 60;

}  // namespace

Planner::Planner(const Settings& settings, double spread_s, std::uint64_t seed)
    : set_(settings), spread_s_(spread_s), random_(seed) {}

void Planner::noted(ServerNumber server, double share, double now) {
    conditions_[server] = {share, now};
}

bool Planner::is_short(ServerNumber server, double now) const {
    const auto it = conditions_.find(server);
    return it != conditions_.end() && it->second.share < short_share && now < it->second.noted + note_lives_s;
}

bool Planner::in_budget(double now) {
    while (!begun_.empty() && begun_.front() <= now - minute_s) begun_.pop_front();
    return static_cast<double>(begun_.size()) < set_.moves_per_minute;
}

std::vector<SessionNumber> Planner::look(const std::vector<Standing>& standing, double now) {
    std::vector<SessionNumber> asked;
    // What is old says nothing, and servers that have gone leave nothing behind.
    std::erase_if(conditions_, [&](const auto& entry) { return now >= entry.second.noted + note_lives_s; });
    std::erase_if(back_offs_,
                  [&](const auto& entry) { return now >= entry.second.until + set_.back_off_most_s; });
    if (stopped_ || !in_budget(now)) return asked;
    // All agents with sessions at a short server hear of it in the same moment: each draws, so that they
    // leave over the time in which the servers' next notes tell of those that have left.
    const double passed = looked_ > 0 ? std::min(now - looked_, spread_s_) : set_.look_every_s;
    looked_ = now;
    const double chance = spread_s_ > 0 ? passed / spread_s_ : 1;
    std::map<ServerNumber, std::vector<const Standing*>> by_server;
    for (const Standing& one : standing) {
        if (!one.leaving && !is_short(one.server, now)) continue;
        if (moves_.contains(one.session)) continue;
        const auto rested = rested_from_.find(one.session);
        if (rested != rested_from_.end() && now < rested->second + set_.rest_s) continue;
        by_server[one.server].push_back(&one);
    }
    for (auto& [server, here] : by_server) {
        std::size_t out = 0;
        for (const auto& [session, move] : moves_) out += move.source == server ? 1 : 0;
        // Of a short server only what is over needs to go: about the part that is missing.
        const bool leaving = here.front()->leaving;
        const double missing = leaving ? 1 : 1 - conditions_[server].share;
        const double wanted = std::max(1.0, missing * static_cast<double>(here.size()));
        std::shuffle(here.begin(), here.end(), random_);
        double drawn = 0;
        for (const Standing* one : here) {
            if (out >= set_.out_of_source || drawn >= wanted) break;
            ++drawn;
            if (uniform() >= chance) continue;
            asked.push_back(one->session);
            ++out;
        }
    }
    counts_.asked += asked.size();
    return asked;
}

bool Planner::accept(const Offer& offer, double now) {
    const bool worth = offer.gain >= set_.least_gain * offer.points &&
                       offer.gain * set_.payback_s >= set_.price_s * offer.points;
    std::uint64_t Counts::*why = nullptr;
    std::size_t out = 0, in = 0;
    for (const auto& [session, move] : moves_) {
        out += move.source == offer.source ? 1 : 0;
        in += move.target == offer.target ? 1 : 0;
    }
    const auto off = back_offs_.find(offer.target);
    if (!worth) {
        why = &Counts::not_worth;
    } else if (off != back_offs_.end() && now < off->second.until) {
        why = &Counts::backed_off;
    } else if (in >= set_.into_target || out >= set_.out_of_source || moves_.contains(offer.session)) {
        why = &Counts::target_busy;
    } else if (!in_budget(now)) {
        why = &Counts::over_budget;
    }
    if (why != nullptr) ++(counts_.*why);
    return why == nullptr && !stopped_;
}

void Planner::began(const Offer& offer, double now) {
    moves_[offer.session] = offer;
    begun_.push_back(now);
    ++counts_.begun;
}

void Planner::over(SessionNumber session, Step how, bool target_failed, double now) {
    const auto it = moves_.find(session);
    if (it == moves_.end()) return;
    const Offer offer = it->second;
    moves_.erase(it);
    ++(how == Step::Moved ? counts_.moved : how == Step::Stayed ? counts_.stayed : counts_.ended);
    if (how == Step::Ended) {
        rested_from_.erase(session);
    } else {
        rested_from_[session] = how == Step::Moved ? now : now - set_.rest_s + set_.back_off_s;
    }
    if (how == Step::Moved) back_offs_.erase(offer.target);
    if (!target_failed) return;
    BackOff& off = back_offs_[offer.target];
    off.pause = off.pause > 0 ? std::min(off.pause * 2, set_.back_off_most_s) : set_.back_off_s;
    off.until = now + off.pause * (0.5 + uniform());  // spread, so that agents don't come back together
}

}  // namespace jasperspread::handover
