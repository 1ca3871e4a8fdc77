#include "reconciliation.h"

#include <algorithm>
#include <limits>

namespace jasperspread::recovery {

std::string_view name_of(Outcome outcome) {
    constexpr std::array<std::string_view, 5> names = {"kept", "left", "released", "over", "failed"};
    return names[static_cast<std::size_t>(outcome)];
}

void Reconciliation::remember(SessionId id, bool intent, Trust trust) {
    waiting_[id] = {intent, trust, {}};
}

void Reconciliation::settle(SessionId id, Outcome outcome) {
    if (waiting_.erase(id) == 0) return;
    ++counts_[static_cast<std::size_t>(outcome)];
    done_.push_back({id, outcome});
}

void Reconciliation::claimed(SessionId id) {
    settle(id, Outcome::Kept);
}

void Reconciliation::claimed_elsewhere(SessionId id) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    it->second.words.viewer_elsewhere = true;
    settle(id, session_decision(it->second.trust, it->second.words) == SessionDecision::Release
                   ? Outcome::Released
                   : Outcome::Over);
}

void Reconciliation::plays(SessionId id) {
    if (const auto it = waiting_.find(id); it != waiting_.end()) it->second.words.server = ServerWord::Plays;
}

void Reconciliation::ended(SessionId id) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    it->second.words.server = ServerWord::Unknown;
    settle(id, it->second.intent ? Outcome::Failed : Outcome::Over);
}

// A paid set-up may have run all the same.
void Reconciliation::lost_power(SessionId id) {
    const auto it = waiting_.find(id);
    if (it != waiting_.end()) settle(id, it->second.intent ? Outcome::Failed : Outcome::Over);
}

std::vector<Question> Reconciliation::ask(const std::vector<std::string>& peers, double now) {
    std::vector<Question> questions;
    if (waiting_.empty() || now < next_ask_ || now >= claims_end_) return questions;
    next_ask_ = now + set_.ask_every_s;
    if (parts_.empty()) {
        Part* part = nullptr;
        for (const auto& [id, waiting] : waiting_) {
            if (part == nullptr || part->sessions.size() >= set_.sessions_asked)
                part = &parts_[parts_.size()];
            part->sessions.push_back(id);
        }
    }
    peers_.insert(peers.begin(), peers.end());
    for (auto& [number, part] : parts_) {
        std::erase_if(part.sessions, [&](SessionId id) { return !waiting_.contains(id); });
        if (part.sessions.empty()) continue;
        for (const std::string& peer : peers) {
            if (questions.size() >= set_.questions_most) return questions;
            if (!part.answered.contains(peer)) questions.push_back({peer, number, part.sessions});
        }
    }
    return questions;
}

void Reconciliation::told(const std::string& peer, std::uint64_t number, const std::vector<SessionId>& held) {
    const auto part = parts_.find(number);
    if (part == parts_.end()) return;
    part->second.answered.insert(peer);
    for (const SessionId id : held) {
        // An answer speaks for what its question has named, and for nothing else.
        const auto& asked = part->second.sessions;
        if (std::find(asked.begin(), asked.end(), id) != asked.end()) settle(id, Outcome::Left);
    }
}

bool Reconciliation::all_answered(const Part& part) const {
    return !peers_.empty() &&
           std::includes(part.answered.begin(), part.answered.end(), peers_.begin(), peers_.end());
}

// What becomes of one that nobody has claimed in time. `answered`: by all who could hold it.
Outcome Reconciliation::outcome_of(const Waiting& waiting, bool answered) {
    SessionWords words = waiting.words;
    words.waited = true;
    words.unclaimed = answered;
    if (waiting.intent) {
        // Its viewer's connection died with the previous incarnation, so that nobody waits for the answer
        // here.
        const PaidDecision decision = paid_decision(words.server, false, true);
        return decision == PaidDecision::Released && answered ? Outcome::Released : Outcome::Failed;
    }
    // Somebody who was not heard may hold it: then it is not ours to end.
    if (!answered) return Outcome::Left;
    switch (session_decision(waiting.trust, words)) {
        case SessionDecision::Release:
        case SessionDecision::OverReleased:
            return Outcome::Released;
        case SessionDecision::Over:
            return Outcome::Over;
        default:
            return Outcome::Left;
    }
}

std::vector<Reconciliation::Done> Reconciliation::decide(double now) {
    if (now >= claims_end_ && !waiting_.empty()) {
        std::set<SessionId> answered;
        for (const auto& [number, part] : parts_) {
            if (all_answered(part)) answered.insert(part.sessions.begin(), part.sessions.end());
        }
        std::vector<Done> outcomes;
        for (const auto& [id, waiting] : waiting_)
            outcomes.push_back({id, outcome_of(waiting, answered.contains(id))});
        for (const Done& one : outcomes) settle(one.id, one.outcome);
    }
    return std::exchange(done_, {});
}

double Reconciliation::due() const {
    if (!done_.empty()) return 0;
    if (waiting_.empty()) return std::numeric_limits<double>::infinity();
    return std::min(next_ask_, claims_end_);
}

}  // namespace jasperspread::recovery
