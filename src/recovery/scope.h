// What died with us: this process alone, its machine, its building, or everything (docs/design/recovery.md).
// Decides without I/O; time is passed in, s, on a clock that is steady while the machine is up.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace jasperspread::recovery {

enum class Scope { Process, Machine, Building, All };
std::string_view name_of(Scope scope);

struct ScopeSettings {
    double spread_s =
        120;            // machines that lost power at one instant are up again within so long of each other
    double wait_s = 3;  // longest wait for others' answers
    std::size_t enough = 12;  // of a large fleet so many answers say it too
};

// What a peer tells of itself: ages, as clocks may have stepped.
struct PeerAge {
    std::string zone;
    double machine_s = 0;  // how long its machine has been up
};

class ScopeFinder {
public:
    // `boot` and `remembered_boot`: the kernel's ids of this boot and of the one that the store knows, empty
    // where it knows none. `machine_s`: how long this machine has been up at `now`. `peers_known`: how many
    // the store knows.
    ScopeFinder(const ScopeSettings& settings, std::string zone, std::string_view boot,
                std::string_view remembered_boot, double machine_s, std::size_t peers_known, double now);

    // A later answer of the same peer takes the place of its first.
    void told(const std::string& peer, const PeerAge& age, double now);
    // Whether scope() will not be asked to wait for more.
    bool settled(double now) const;
    Scope scope() const;
    std::size_t answers() const { return heard_.size(); }
    bool same_boot() const { return same_boot_; }

private:
    struct Heard {
        std::string zone;
        bool kept_power = false;
    };
    const ScopeSettings set_;
    const std::string zone_;
    const bool same_boot_;
    const double up_since_;  // of our machine, on the clock of `now`
    const std::size_t peers_known_;
    const double began_;
    std::map<std::string, Heard> heard_;
};

}  // namespace jasperspread::recovery
