#include "batcher.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace jasperspread::store {
namespace {
constexpr std::size_t batch_most = 1024;
constexpr double never = std::numeric_limits<double>::infinity();
}  // namespace

std::string_view name_of(Fault fault) {
    constexpr std::array<std::string_view, 5> names = {"none", "full", "read_only", "damaged", "failed"};
    return names[static_cast<std::size_t>(fault)];
}

Batcher::Put Batcher::put(SessionId id, std::string body, bool waited, double now) {
    const bool fresh = !pending_.contains(id) && !stored_.contains(id);
    // A disk that fails is not waited for: whoever needs it hears so at once.
    const bool failing = fault_ != Fault::None && waited;
    if (failing || (fresh && pending_.size() + stored_.size() >= set_.records)) {
        ++counts_.refused;
        return Put::Refused;
    }
    if (pending_.empty()) oldest_ = now;
    Pending& change = pending_[id];
    waited_ += waited && !change.waited ? 1 : 0;
    change = {std::move(body), waited || change.waited, change.since > 0 ? change.since : now};
    return Put::Taken;
}

void Batcher::erase(SessionId id, double now) {
    const auto it = pending_.find(id);
    if (it != pending_.end() && it->second.waited) --waited_;
    if (!stored_.contains(id)) {
        // It has never left for the disk, and need not.
        if (it == pending_.end()) return;
        pending_.erase(it);
        ++counts_.spared;
        return;
    }
    if (pending_.empty()) oldest_ = now;
    pending_[id] = {std::nullopt, false, it != pending_.end() ? it->second.since : now};
}

void Batcher::waits_no_more(SessionId id) {
    if (const auto it = pending_.find(id); it != pending_.end() && std::exchange(it->second.waited, false))
        --waited_;
    if (const auto it = out_.find(id); it != out_.end()) it->second.waited = false;
}

double Batcher::due() const {
    if (!out_.empty() || pending_.empty()) return never;
    if (fault_ != Fault::None) return again_;
    return waited_ > 0 || pending_.size() >= batch_most ? 0 : oldest_ + set_.lazy_s;
}

// All that waits goes at once, up to a batch's size: those first who are waited for, then by age.
std::vector<Change> Batcher::begin(double now) {
    if (now < due()) return {};
    if (pending_.size() <= batch_most) {
        out_ = std::exchange(pending_, {});
        waited_ = 0;
    } else {
        std::vector<std::map<SessionId, Pending>::iterator> order;
        for (auto it = pending_.begin(); it != pending_.end(); ++it) order.push_back(it);
        std::nth_element(order.begin(), order.begin() + batch_most, order.end(), [](auto one, auto other) {
            return std::pair(!one->second.waited, one->second.since) <
                   std::pair(!other->second.waited, other->second.since);
        });
        order.resize(batch_most);
        for (const auto& it : order) {
            waited_ -= it->second.waited ? 1 : 0;
            out_.insert(pending_.extract(it));
        }
        oldest_ = now;
        for (const auto& [id, change] : pending_) oldest_ = std::min(oldest_, change.since);
    }
    std::vector<Change> batch;
    for (const auto& [id, change] : out_) {
        batch.push_back({id, change.body});
        stored_.insert(id);  // perhaps, until the end is known
    }
    ++counts_.batches;
    counts_.changes += batch.size();
    return batch;
}

Batcher::Ended Batcher::ended(Fault fault, double now) {
    Ended ended;
    fault_ = fault;
    if (fault == Fault::None) {
        for (const auto& [id, change] : std::exchange(out_, {})) {
            if (!change.body) stored_.erase(id);
            if (change.waited) ended.kept.push_back(id);
        }
        return ended;
    }
    ++counts_.failed;
    again_ = now + set_.again_s;
    if (pending_.empty()) oldest_ = now;
    // Whoever waits is told now and not when the disk has recovered. What is not on disk by then is no
    // record: a write that failed may be there nonetheless, so it is erased.
    for (auto& [id, change] : std::exchange(out_, {})) {
        if (change.waited) ended.lost.push_back(id);
        if (change.waited) change = {std::nullopt, false, change.since};
        pending_.emplace(id, std::move(change));  // unless something newer waits there
    }
    for (auto& [id, change] : pending_) {
        if (!std::exchange(change.waited, false)) continue;
        ended.lost.push_back(id);
        change.body.reset();
    }
    waited_ = 0;
    return ended;
}

}  // namespace jasperspread::store
