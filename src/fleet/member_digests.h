// What a member table holds in 256 bytes (anti-entropy): members are divided into buckets by name, and each
// bucket has a digest, the same for all agents that know the same of its members.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "fleet/member.h"

namespace jasperspread::fleet {

class MemberDigests {
public:
    MemberDigests();
    // Name and incarnation count; not health, which changes too often for two tables to be the same.
    void add(const MemberRecord& member);
    // Whether the bucket of this member has the same digest there. Digests of another form never have.
    bool agrees(const std::vector<std::uint64_t>& others, std::string_view name) const;
    const std::vector<std::uint64_t>& values() const { return buckets_; }

private:
    std::vector<std::uint64_t> buckets_;
};

}  // namespace jasperspread::fleet
