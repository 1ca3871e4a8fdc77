// CBOR from a stranger: what can't be read is null, and nothing throws. (nlohmann/json throws out_of_range at
// a size that no memory could hold, also where it was told not to.)
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace jasperspread::fleet {

inline nlohmann::json read_cbor(std::string_view bytes) {
    try {
        return nlohmann::json::from_cbor(bytes);
    } catch (const nlohmann::json::exception&) {
        return nullptr;
    }
}

}  // namespace jasperspread::fleet
