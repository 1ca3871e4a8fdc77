#include "recent_releases.h"

namespace jasperspread::agent {

void RecentReleases::add(SessionId id, ServerNumber server, cinderfront::Ending how, double now) {
    drop_old(now);
    releases_[id] = {server, how, now};
    order_.push_back({id, now});
}

std::optional<cinderfront::Ending> RecentReleases::find(SessionId id, ServerNumber server, double now) {
    drop_old(now);
    const auto it = releases_.find(id);
    if (it == releases_.end() || it->second.server != server) return std::nullopt;
    return it->second.how;
}

void RecentReleases::drop_old(double now) {
    while (!order_.empty() && (order_.size() >= most_ || order_.front().at + kept_s_ < now)) {
        const auto it = releases_.find(order_.front().id);
        if (it != releases_.end() && it->second.at == order_.front().at) releases_.erase(it);
        order_.pop_front();
    }
}

}  // namespace jasperspread::agent
