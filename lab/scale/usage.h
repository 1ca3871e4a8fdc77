// What each agent has used, as samples over time, and the most of any window.
#pragma once

#include <vector>

#include "lab/scale/counting_kernel.h"

namespace lab {

struct UsageSample {
    double at = 0, cpu_s = 0, messages = 0, bytes = 0, list_bytes = 0;  // sums up to then
};

class Usage {
public:
    void add(const UsageSample& sample) { samples_.push_back(sample); }
    // The most in a second, on average over any `window_s` between `from` and `until`; 0 where they don't
    // hold one.
    struct Rates {
        double cores = 0, bytes_per_s = 0, messages_per_s = 0;
        double list_bytes_per_s = 0;  // in the window of the most bytes
    };
    Rates most(double window_s, double from, double until) const;
    Rates mean(double from, double until) const;

private:
    std::vector<UsageSample> samples_;  // in the order of time
};

}  // namespace lab
