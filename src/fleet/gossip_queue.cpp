#include "gossip_queue.h"

#include <algorithm>

#include "fleet/message.h"

namespace jasperspread::fleet {
namespace {

// Of the updates in a message so many are kept for those that are neither a suspicion nor a refutation.
constexpr std::ptrdiff_t kept_for_joins = 4;

// Suspicions, deaths and refutations: whoever hears of them late calls a member dead that is alive.
bool is_urgent(const MemberRecord& update) {
    return update.health != Health::Alive || update.incarnation.number > 1;
}

}  // namespace

void GossipQueue::push(const MemberRecord& update) {
    entries_[update.name] = {update, 0, ++pushed_};
}

// Urgent ones first, as joins that come all at once would hold them up; but not in all of the room, or who
// has joined would stay unknown for as long as anybody is suspected. Among each the one told least, then the
// newest.
std::vector<GossipQueue::Entry*> GossipQueue::in_order(std::size_t room) {
    std::vector<Entry*> order;
    order.reserve(entries_.size());
    for (auto& [name, entry] : entries_) order.push_back(&entry);
    const auto joins =
        std::partition(order.begin(), order.end(), [](const Entry* one) { return is_urgent(one->update); });
    const auto goes_first = [](const Entry* one, const Entry* other) {
        if (one->transmissions != other->transmissions) return one->transmissions < other->transmissions;
        return one->serial > other->serial;
    };
    std::sort(order.begin(), joins, goes_first);
    std::sort(joins, order.end(), goes_first);
    const auto kept = std::min<std::ptrdiff_t>(kept_for_joins, order.end() - joins);
    const auto urgent_room = std::max<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(room) - kept);
    const auto urgent = std::min(joins - order.begin(), urgent_room);
    std::rotate(order.begin() + urgent, joins, joins + kept);
    return order;
}

void GossipQueue::fill(std::vector<MemberRecord>& updates, std::size_t transmissions_most) {
    const std::size_t room = updates_most - std::min(updates_most, updates.size());
    for (Entry* entry : in_order(room)) {
        if (updates.size() >= updates_most) break;
        ++entry->transmissions;
        updates.push_back(entry->update);
    }
    std::erase_if(entries_, [&](const auto& one) { return one.second.transmissions >= transmissions_most; });
}

}  // namespace jasperspread::fleet
