#include "member_digests.h"

namespace jasperspread::fleet {
namespace {

constexpr std::size_t buckets = 32;

// FNV-1a: the same in all agents.
std::uint64_t hash_of(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char letter : text) hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3U;
    return hash;
}

// The finalizer of splitmix64.
std::uint64_t mixed(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

std::size_t bucket_of(std::string_view name) {
    return static_cast<std::size_t>(mixed(hash_of(name)) % buckets);
}

}  // namespace

MemberDigests::MemberDigests() : buckets_(buckets) {}

void MemberDigests::add(const MemberRecord& member) {
    buckets_[bucket_of(member.name)] ^=
        mixed(mixed(hash_of(member.name) ^ member.incarnation.token) + member.incarnation.number);
}

bool MemberDigests::agrees(const std::vector<std::uint64_t>& others, std::string_view name) const {
    const std::size_t bucket = bucket_of(name);
    return others.size() == buckets_.size() && others[bucket] == buckets_[bucket];
}

}  // namespace jasperspread::fleet
