// Which changes go to disk together, and when: group commit with one batch out at a time, a bound on what
// waits, and what becomes of those who wait when a disk is full, slow or broken. Decides without I/O; time is
// passed in, s.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "store/disk.h"
#include "store/settings.h"

namespace jasperspread::store {

class Batcher {
public:
    explicit Batcher(const Settings& settings) : set_(settings) {}

    // What a store that was opened holds already.
    void holds(SessionId id) { stored_.insert(id); }

    enum class Put {
        Taken,
        Refused,  // over the bound, or, if it is waited for, while writes fail
    };
    // `waited`: somebody waits until it is on disk, and is named by ended() then.
    Put put(SessionId id, std::string body, bool waited, double now);
    void erase(SessionId id, double now);
    // Nobody waits for it any more.
    void waits_no_more(SessionId id);

    double due() const;  // when begin() has a batch, infinity: not before something changes
    std::vector<Change> begin(double now);  // empty: not now
    struct Ended {
        std::vector<SessionId> kept, lost;  // of those waited for
    };
    Ended ended(Fault fault, double now);

    Fault fault() const { return fault_; }
    std::size_t pending() const { return pending_.size(); }
    std::size_t stored() const { return stored_.size(); }
    bool out() const { return !out_.empty(); }

    struct Counts {
        std::uint64_t batches = 0, changes = 0, spared = 0, refused = 0, failed = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Pending {
        std::optional<std::string> body;
        bool waited = false;
        double since = 0;
    };
    const Settings set_;
    std::map<SessionId, Pending> pending_, out_;
    std::size_t waited_ = 0;      // among those pending
    double oldest_ = 0;           // since when the oldest of them is pending, while there is one
    std::set<SessionId> stored_;  // on disk, perhaps
    Fault fault_ = Fault::None;
    double again_ = 0;
    Counts counts_;
};

}  // namespace jasperspread::store
