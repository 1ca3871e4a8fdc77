#include "lab/capacity/sizes.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lab::capacity {

Sizes::Sizes(const nlohmann::json& plan) {
    using Names = std::vector<std::string>;
    for (const auto& one : plan.at("sizes")) {
        Size size{one.at("name"), 1, one.value("from", "")};
        if (one.contains("value")) {
            size.value = one.at("value");
            sizes_.push_back(size);
            continue;
        }
        std::string derivation;
        for (const std::string& name : one.at("product").get<Names>()) {
            size.value *= at(name);
            derivation += (derivation.empty() ? "" : " x ") + name;
        }
        for (const std::string& name : one.value("over", Names())) {
            size.value /= at(name);
            derivation += " / " + name;
        }
        size.from = "`" + derivation + "`" + (size.from.empty() ? "" : ": ") + size.from;
        sizes_.push_back(size);
    }
}

double Sizes::at(const std::string& name) const {
    const auto it = std::ranges::find(sizes_, name, &Size::name);
    if (it == sizes_.end()) throw std::out_of_range("docs/capacity/plan.json has no size " + name);
    return it->value;
}

}  // namespace lab::capacity
