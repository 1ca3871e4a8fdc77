#include "mac_keys.h"

#include <sodium.h>

#include <algorithm>

namespace jasperspread::keys {
namespace {

static_assert(crypto_auth_KEYBYTES == 32 && crypto_auth_BYTES == mac_size);
constexpr std::size_t most_keys = 2;

const unsigned char* raw(std::string_view bytes) {
    return reinterpret_cast<const unsigned char*>(bytes.data());
}

}  // namespace

std::string to_hex(const Mac& mac) {
    std::string text(mac.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), mac.data(), mac.size());
    text.pop_back();
    return text;
}

bool from_hex(std::string_view text, Mac& mac) {
    std::size_t got = 0;
    return text.size() == 2 * mac.size() &&
           sodium_hex2bin(mac.data(), mac.size(), text.data(), text.size(), nullptr, &got, nullptr) == 0 &&
           got == mac.size();
}

MacKeys::MacKeys(std::string_view text) {
    if (sodium_init() < 0) throw KeyError("libsodium can't be used here");
    while (!text.empty()) {
        const std::size_t cut = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, cut);
        text.remove_prefix(std::min(cut + 1, text.size()));
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (line.empty()) continue;
        Mac key{};  // as long as a MAC
        if (!from_hex(line, key) || keys_.size() == most_keys)
            throw KeyError("expected one or two lines of 64 hex digits");
        keys_.push_back(key);
    }
    if (keys_.empty()) throw KeyError("expected one or two lines of 64 hex digits");
}

Mac MacKeys::sign(std::string_view bytes) const {
    Mac mac{};
    crypto_auth(mac.data(), raw(bytes), bytes.size(), keys_.front().data());
    return mac;
}

bool MacKeys::check(std::string_view bytes, const Mac& mac) const {
    return std::any_of(keys_.begin(), keys_.end(), [&](const auto& key) {
        return crypto_auth_verify(mac.data(), raw(bytes), bytes.size(), key.data()) == 0;
    });
}

}  // namespace jasperspread::keys
