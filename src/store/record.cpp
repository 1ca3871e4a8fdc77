#include "record.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasperspread::store {
namespace {

using nlohmann::json;
constexpr std::uint64_t version = 1;
constexpr std::size_t sum_size = 8, parts = 8;

std::string sum_of(SessionId id, std::string_view content) {
    XXH64_canonical_t sum;
    XXH64_canonicalFromHash(&sum, XXH3_64bits_withSeed(content.data(), content.size(), id));
    return {reinterpret_cast<const char*>(sum.digest), sum_size};
}

std::string sealed(SessionId id, const json& whole) {
    std::string body;
    json::to_cbor(whole, body);
    return body + sum_of(id, body);
}

// What was sealed under this key; discarded where that is not what it says.
json opened(SessionId id, std::string_view body) {
    json whole(json::value_t::discarded);
    if (body.size() < sum_size) return whole;
    const std::string_view content = body.substr(0, body.size() - sum_size);
    if (sum_of(id, content) == body.substr(content.size())) whole = json::from_cbor(content, true, false);
    return whole;
}

}  // namespace

std::string encode(const ListRecord& record) {
    return sealed(list_place, json::array({version, record.revision, record.up, record.at}));
}

std::optional<ListRecord> decode_list(std::string_view body) {
    const json whole = opened(list_place, body);
    constexpr std::size_t list_parts = 4;
    const bool known =
        whole.is_array() && whole.size() == list_parts && whole[0] == version &&
        whole[1].is_number_unsigned() && whole[2].is_array() && whole[3].is_number() &&
        std::all_of(whole[2].begin(), whole[2].end(), [](const json& one) { return one.is_string(); });
    if (!known) return std::nullopt;
    return ListRecord{whole[1].get<std::uint64_t>(), whole[2].get<std::vector<std::string>>(),
                      whole[3].get<double>()};
}

std::string encode(const SessionRecord& record) {
    const json whole =
        json::array({version, static_cast<std::uint64_t>(record.phase), record.paid, record.server,
                     record.class_name, record.title, record.incarnation, record.at});
    return sealed(record.id, whole);
}

std::optional<SessionRecord> decode(SessionId id, std::string_view body) {
    const json whole = opened(id, body);
    const bool known = whole.is_array() && whole.size() == parts && whole[0] == version &&
                       whole[1].is_number_unsigned() && whole[2].is_boolean() && whole[3].is_string() &&
                       whole[4].is_string() && whole[5].is_string() && whole[6].is_number_unsigned() &&
                       whole[7].is_number();
    if (!known) return std::nullopt;
    const auto phase = whole[1].get<std::uint64_t>();
    if (phase < 1 || phase > 2) return std::nullopt;
    return SessionRecord{id,
                         static_cast<Phase>(phase),
                         whole[2].get<bool>(),
                         whole[3].get<std::string>(),
                         whole[4].get<std::string>(),
                         whole[5].get<std::string>(),
                         whole[6].get<std::uint64_t>(),
                         whole[7].get<double>()};
}

}  // namespace jasperspread::store
