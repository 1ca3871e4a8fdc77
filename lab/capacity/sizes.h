// The sizes to plan with: those that docs/capacity/plan.json states, and products and quotients of them.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lab::capacity {

struct Size {
    std::string name;
    double value = 0;
    std::string from;  // who states it, or how it is derived
};

class Sizes {
public:
    // Each derived size names only sizes above it. Throws std::out_of_range where it does not.
    explicit Sizes(const nlohmann::json& plan);
    double at(const std::string& name) const;  // throws std::out_of_range
    const std::vector<Size>& all() const { return sizes_; }

private:
    std::vector<Size> sizes_;
};

}  // namespace lab::capacity
