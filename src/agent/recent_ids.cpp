#include "recent_ids.h"

#include <utility>

namespace jasperspread::agent {

bool RecentIds::has_room(double now) {
    age(now);
    return generations_[0].size() + generations_[1].size() < most_;
}

void RecentIds::add(Id id, double now) {
    age(now);
    generations_[0].insert(id);
}

bool RecentIds::contains(Id id, double now) {
    age(now);
    return generations_[0].contains(id) || generations_[1].contains(id);
}

void RecentIds::age(double now) {
    if (now < aged_at_ + kept_s_) return;
    const bool both_are_old = now >= aged_at_ + 2 * kept_s_;
    generations_[1] = both_are_old ? std::unordered_set<Id>{} : std::exchange(generations_[0], {});
    generations_[0].clear();
    aged_at_ = now;
}

}  // namespace jasperspread::agent
