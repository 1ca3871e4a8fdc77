#include "returning.h"

#include <algorithm>
#include <limits>

namespace jasperspread::recovery {

std::string_view name_of(Fate fate) {
    constexpr std::array<std::string_view, 5> names = {"kept", "left", "released", "over", "failed"};
    return names[static_cast<std::size_t>(fate)];
}

void Returning::remember(SessionId id, bool intent, Trust trust) {
    waiting_[id] = {intent, trust, {}};
}

void Returning::settle(SessionId id, Fate fate) {
    if (waiting_.erase(id) == 0) return;
    ++counts_[static_cast<std::size_t>(fate)];
    done_.push_back({id, fate});
}

void Returning::claimed(SessionId id) {
    settle(id, Fate::Kept);
}

void Returning::claimed_elsewhere(SessionId id) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    it->second.words.viewer_elsewhere = true;
    settle(id, session_fate(it->second.trust, it->second.words) == SessionFate::Release ? Fate::Released
                                                                                        : Fate::Over);
}

void Returning::plays(SessionId id) {
    if (const auto it = waiting_.find(id); it != waiting_.end()) it->second.words.server = ServerWord::Plays;
}

void Returning::ended(SessionId id) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    it->second.words.server = ServerWord::Unknown;
    settle(id, it->second.intent ? Fate::Failed : Fate::Over);
}

// A paid set-up may have run all the same.
void Returning::lost_power(SessionId id) {
    const auto it = waiting_.find(id);
    if (it != waiting_.end()) settle(id, it->second.intent ? Fate::Failed : Fate::Over);
}

std::vector<Question> Returning::ask(const std::vector<std::string>& peers, double now) {
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

void Returning::told(const std::string& peer, std::uint64_t number, const std::vector<SessionId>& held) {
    const auto part = parts_.find(number);
    if (part == parts_.end()) return;
    part->second.answered.insert(peer);
    for (const SessionId id : held) {
        // An answer speaks for what its question has named, and for nothing else.
        const auto& asked = part->second.sessions;
        if (std::find(asked.begin(), asked.end(), id) != asked.end()) settle(id, Fate::Left);
    }
}

bool Returning::all_answered(const Part& part) const {
    return !peers_.empty() &&
           std::includes(part.answered.begin(), part.answered.end(), peers_.begin(), peers_.end());
}

// What becomes of one that nobody has claimed in time. `answered`: by all who could hold it.
Fate Returning::fate_of(const Waiting& waiting, bool answered) {
    SessionWords words = waiting.words;
    words.waited = true;
    words.unclaimed = answered;
    if (waiting.intent) {
        // Its viewer's connection died with the life before, so that nobody waits for the answer here.
        const PaidFate fate = paid_fate(words.server, false, true);
        return fate == PaidFate::Released && answered ? Fate::Released : Fate::Failed;
    }
    // Somebody who was not heard may hold it: then it is not ours to end.
    if (!answered) return Fate::Left;
    switch (session_fate(waiting.trust, words)) {
        case SessionFate::Release:
        case SessionFate::OverReleased:
            return Fate::Released;
        case SessionFate::Over:
            return Fate::Over;
        default:
            return Fate::Left;
    }
}

std::vector<Returning::Done> Returning::decide(double now) {
    if (now >= claims_end_ && !waiting_.empty()) {
        std::set<SessionId> answered;
        for (const auto& [number, part] : parts_) {
            if (all_answered(part)) answered.insert(part.sessions.begin(), part.sessions.end());
        }
        std::vector<Done> fates;
        for (const auto& [id, waiting] : waiting_)
            fates.push_back({id, fate_of(waiting, answered.contains(id))});
        for (const Done& one : fates) settle(one.id, one.fate);
    }
    return std::exchange(done_, {});
}

double Returning::due() const {
    if (!done_.empty()) return 0;
    if (waiting_.empty()) return std::numeric_limits<double>::infinity();
    return std::min(next_ask_, claims_end_);
}

}  // namespace jasperspread::recovery
