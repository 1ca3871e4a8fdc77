// The updates that this member passes on with its messages (piggyback dissemination): each one so many times,
// those told least first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "fleet/member.h"

namespace jasperspread::fleet {

class GossipQueue {
public:
    // An update takes the place of an earlier one on the same member and is told from the start.
    void push(const MemberRecord& update);
    // Adds updates to a message until it holds updates_most; those told `transmissions_most` times are
    // dropped.
    void fill(std::vector<MemberRecord>& updates, std::size_t transmissions_most);
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry {
        MemberRecord update;
        std::size_t transmissions = 0;
        std::uint64_t serial = 0;  // of all that were pushed
    };
    std::vector<Entry*> in_order(std::size_t room);

    std::map<Name, Entry> entries_;
    std::uint64_t pushed_ = 0;
};

}  // namespace jasperspread::fleet
