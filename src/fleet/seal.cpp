#include "seal.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "fleet/cbor.h"
#include "fleet/message.h"

namespace jasperspread::fleet {
namespace {

using nlohmann::json;

// What was signed by one of our keys, without its MAC.
std::optional<std::string_view> signed_part(const Keys& own, std::string_view bytes) {
    keys::Mac mac{};
    if (bytes.size() < mac.size()) return std::nullopt;
    const std::string_view part = bytes.substr(0, bytes.size() - mac.size());
    std::copy(bytes.begin() + static_cast<std::ptrdiff_t>(part.size()), bytes.end(), mac.begin());
    if (!own.check(part, mac)) return std::nullopt;
    return part;
}

}  // namespace

// [sender, its address, its incarnation, its token, the receiver's token, counter, body]
std::string Seal::close(std::uint64_t to, std::string_view body) {
    const json whole = json::array({own_, at_, incarnation_.number, incarnation_.token, to, ++sent_,
                                    json::binary({body.begin(), body.end()})});
    std::string bytes;
    json::to_cbor(whole, bytes);
    const keys::Mac mac = keys_.sign(bytes);
    bytes.append(mac.begin(), mac.end());
    return bytes;
}

bool Seal::is_fresh(std::uint64_t token, std::uint64_t counter) {
    constexpr std::uint64_t width = 64;
    Window& window = seen_[token];
    if (counter > window.newest) {
        const std::uint64_t step = counter - window.newest;
        // What was the newest becomes one of those before it.
        window.before = step > width    ? 0
                        : step == width ? std::uint64_t{1} << (width - 1)
                                        : window.before << step;
        if (step < width) window.before |= std::uint64_t{1} << (step - 1);
        window.newest = counter;
        return true;
    }
    const std::uint64_t back = window.newest - counter;
    if (back == 0 || back > width) return false;
    const std::uint64_t bit = std::uint64_t{1} << (back - 1);
    if ((window.before & bit) != 0) return false;
    window.before |= bit;
    return true;
}

Seal::Opened Seal::open(std::string_view datagram) {
    Opened opened;
    const auto bytes = datagram.size() <= datagram_most ? signed_part(keys_, datagram) : std::nullopt;
    if (!bytes) {
        ++counts_.forged;
        opened.fault = SealFault::Forged;
        return opened;
    }
    const json whole = read_cbor(*bytes);
    constexpr std::size_t parts = 7;
    const bool numbers = whole.is_array() && whole.size() == parts && whole[0].is_string() &&
                         whole[1].is_string() &&
                         std::all_of(whole.begin() + 2, whole.begin() + 6,
                                     [](const json& one) { return one.is_number_unsigned(); }) &&
                         whole[6].is_binary();
    if (!numbers || whole[0].get_ref<const std::string&>().size() > name_most ||
        whole[1].get_ref<const std::string&>().size() > address_most) {
        ++counts_.unreadable;
        opened.fault = SealFault::Unreadable;
        return opened;
    }
    opened.from = whole[0].get<std::string>();
    opened.at = whole[1].get<std::string>();
    opened.incarnation = {whole[2].get<std::uint64_t>(), whole[3].get<std::uint64_t>()};
    const auto to = whole[4].get<std::uint64_t>();
    opened.to_nobody = to == 0;
    if (to != incarnation_.token) {
        ++counts_.unknown;
        opened.fault = SealFault::Unknown;
        return opened;
    }
    if (!is_fresh(opened.incarnation.token, whole[5].get<std::uint64_t>())) {
        ++counts_.repeated;
        opened.fault = SealFault::Repeated;
        return opened;
    }
    const auto& body = whole[6].get_binary();
    opened.body.assign(body.begin(), body.end());
    return opened;
}

}  // namespace jasperspread::fleet
