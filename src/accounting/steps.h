// A function that is constant but for a few steps, as a table.
#pragma once
#include <bit>
#include <cstdint>
#include <vector>

namespace cinderfront::accounting {

/// From `from` on the function has this value.
struct Step {
    double from = 0;
    int value = 0;
};

/// All steps of `function` from 0 to `last`, each found by halving down to neighbouring numbers, so that the
/// table gives just what the function does. A value must not come again after another.
template <typename Function>
std::vector<Step> steps_of(const Function& function, double last) {
    // Positive numbers are ordered like their bits, so that 63 halvings reach any size.
    const auto number = [](std::uint64_t bits) { return std::bit_cast<double>(bits); };
    std::vector<Step> steps{{0, function(0.0)}};
    while (function(last) != steps.back().value) {
        auto low = std::bit_cast<std::uint64_t>(steps.back().from), high = std::bit_cast<std::uint64_t>(last);
        while (high - low > 1) {
            const std::uint64_t middle = low + (high - low) / 2;
            (function(number(middle)) == steps.back().value ? low : high) = middle;
        }
        steps.push_back({number(high), function(number(high))});
    }
    return steps;
}

}  // namespace cinderfront::accounting
