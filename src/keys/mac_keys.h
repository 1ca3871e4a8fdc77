// Keys under which messages are signed: HMAC-SHA-512/256, libsodium's crypto_auth. Two at once, so that a key
// is changed in service: the first signs, each is taken.
#pragma once

#include <array>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace jasperspread::keys {

struct KeyError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

constexpr std::size_t mac_size = 32;
using Mac = std::array<unsigned char, mac_size>;

class MacKeys {
public:
    // One or two lines of 64 hex digits. Throws KeyError, which never holds a part of the key.
    explicit MacKeys(std::string_view text);
    Mac sign(std::string_view bytes) const;
    bool check(std::string_view bytes, const Mac& mac) const;

private:
    std::vector<std::array<unsigned char, 32>> keys_;
};

std::string to_hex(const Mac& mac);
bool from_hex(std::string_view text, Mac& mac);  // false: not just so many digits

}  // namespace jasperspread::keys
