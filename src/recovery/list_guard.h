// A control feed that is behind what this agent remembers of the list, as one that came back with an old
// copy: it is believed in what it takes away, and in nothing that it adds, until it has caught up or its time
// is over (docs/design/recovery.md). Decides without I/O; time is passed in, s.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "recovery/trust.h"

namespace jasperspread::recovery {

struct KnownList {
    std::uint64_t revision = 0;  // 0: none is known
    std::set<std::string> up;    // ids of the servers that may take new work
    bool operator==(const KnownList&) const = default;
};

class ListGuard {
public:
    ListGuard(KnownList remembered, Trust trust, double stale_s, double now)
        : remembered_(std::move(remembered)), trust_(trust), believed_from_(now + stale_s) {}

    // What the feed has told so far. True where it is to be remembered in place of what was.
    bool heard(const KnownList& told, double now);
    bool behind(double now) const;
    // Whether a server may get new work that the feed calls up, or does not.
    bool may_take_new(const std::string& id, bool called_up, double now) const;
    const KnownList& remembered() const { return remembered_; }

private:
    KnownList remembered_;
    Trust trust_;
    const double believed_from_;
    std::uint64_t told_ = 0;
};

}  // namespace jasperspread::recovery
