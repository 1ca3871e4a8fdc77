#include "scope.h"

#include <array>

namespace jasperspread::recovery {

std::string_view name_of(Scope scope) {
    constexpr std::array<std::string_view, 4> names = {"process", "machine", "building", "all"};
    return names[static_cast<std::size_t>(scope)];
}

ScopeFinder::ScopeFinder(const ScopeSettings& settings, std::string zone, std::string_view boot,
                         std::string_view remembered_boot, double machine_s, std::size_t peers_known,
                         double now)
    : set_(settings),
      zone_(std::move(zone)),
      same_boot_(!boot.empty() && boot == remembered_boot),
      up_since_(now - machine_s),
      peers_known_(peers_known),
      began_(now) {}

void ScopeFinder::told(const std::string& peer, const PeerAge& age, double now) {
    heard_[peer] = {age.zone, age.machine_s > (now - up_since_) + set_.spread_s};
}

// That somebody kept power is proved by one answer; that nobody did is believed only once all have told or
// the wait is over, as it costs most where it is wrong.
bool ScopeFinder::settled(double now) const {
    if (same_boot_ || now >= began_ + set_.wait_s) return true;
    if (peers_known_ > 0 && heard_.size() >= peers_known_) return true;
    const bool most = 2 * heard_.size() > peers_known_ || heard_.size() >= set_.enough;
    return most && scope() != Scope::All;
}

Scope ScopeFinder::scope() const {
    if (same_boot_) return Scope::Process;
    std::size_t here = 0, here_kept = 0, elsewhere_kept = 0;
    for (const auto& [peer, heard] : heard_) {
        const bool ours = heard.zone == zone_;
        here += ours ? 1 : 0;
        here_kept += ours && heard.kept_power ? 1 : 0;
        elsewhere_kept += !ours && heard.kept_power ? 1 : 0;
    }
    if (2 * here_kept > here) return Scope::Machine;
    return elsewhere_kept > 0 ? Scope::Building : Scope::All;
}

}  // namespace jasperspread::recovery
