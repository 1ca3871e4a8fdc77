#include "lab/scale/usage.h"

#include <algorithm>

namespace lab {
namespace {

Usage::Rates between(const UsageSample& first, const UsageSample& last) {
    const double seconds = last.at - first.at;
    if (seconds <= 0) return {};
    return {(last.cpu_s - first.cpu_s) / seconds, (last.bytes - first.bytes) / seconds,
            (last.messages - first.messages) / seconds, (last.list_bytes - first.list_bytes) / seconds};
}

}  // namespace

Usage::Rates Usage::most(double window_s, double from, double until) const {
    Rates found;
    std::size_t first = 0;
    for (const UsageSample& last : samples_) {
        if (last.at > until) break;
        // The latest one that is a whole window before.
        while (samples_[first + 1].at <= last.at - window_s) ++first;
        const UsageSample& began = samples_[first];
        if (began.at < from || last.at - began.at < window_s) continue;
        const Rates rates = between(began, last);
        found.cores = std::max(found.cores, rates.cores);
        if (rates.bytes_per_s > found.bytes_per_s) {
            found.bytes_per_s = rates.bytes_per_s;
            found.list_bytes_per_s = rates.list_bytes_per_s;
        }
        found.messages_per_s = std::max(found.messages_per_s, rates.messages_per_s);
    }
    return found;
}

Usage::Rates Usage::mean(double from, double until) const {
    const UsageSample *first = nullptr, *last = nullptr;
    for (const UsageSample& sample : samples_) {
        if (sample.at < from || sample.at > until) continue;
        if (first == nullptr) first = &sample;
        last = &sample;
    }
    return first == nullptr ? Rates{} : between(*first, *last);
}

}  // namespace lab
