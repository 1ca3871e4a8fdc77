#include "ticket.h"

#include <sodium.h>

#include <charconv>

namespace jasperspread::handover {
namespace {

static_assert(crypto_auth_KEYBYTES == 32);
constexpr std::size_t most_keys = 2, most_name = 128;

std::string hex(const unsigned char* bytes, std::size_t count) {
    std::string text(count * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, count);
    text.pop_back();
    return text;
}

bool unhex(std::string_view text, unsigned char* into, std::size_t count) {
    std::size_t got = 0;
    return text.size() == 2 * count &&
           sodium_hex2bin(into, count, text.data(), text.size(), nullptr, &got, nullptr) == 0 && got == count;
}

std::string body_of(const Ticket& ticket) {
    return "t1 " + std::to_string(ticket.session) + " " + std::to_string(ticket.epoch) + " " + ticket.source +
           " " + ticket.target + " " + std::to_string(ticket.expires_ms);
}

std::optional<std::uint64_t> whole(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

bool plain(std::string_view name) {
    return !name.empty() && name.size() <= most_name && name.find_first_of(" \n\r") == std::string_view::npos;
}

std::string_view next_word(std::string_view& rest) {
    const std::size_t cut = std::min(rest.find(' '), rest.size());
    const std::string_view word = rest.substr(0, cut);
    rest.remove_prefix(std::min(cut + 1, rest.size()));
    return word;
}

}  // namespace

TicketKeys::TicketKeys(std::string_view text) {
    if (sodium_init() < 0) throw KeyError("the library for tickets can't be used here");
    while (!text.empty()) {
        const std::size_t cut = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, cut);
        text.remove_prefix(std::min(cut + 1, text.size()));
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (line.empty()) continue;
        Key key{};
        if (!unhex(line, key.data(), key.size()) || keys_.size() == most_keys)
            throw KeyError("expected one or two lines of 64 hex digits");
        keys_.push_back(key);
    }
    if (keys_.empty()) throw KeyError("expected a line of 64 hex digits");
}

std::string TicketKeys::sign(const Ticket& ticket) const {
    const std::string body = body_of(ticket);
    std::array<unsigned char, crypto_auth_BYTES> mac{};
    crypto_auth(mac.data(), reinterpret_cast<const unsigned char*>(body.data()), body.size(),
                keys_.front().data());
    return body + " " + hex(mac.data(), mac.size());
}

TicketKeys::Read TicketKeys::read(std::string_view text, double unix_now) const {
    Read result;
    result.fault = TicketFault::Unreadable;
    const std::size_t cut = text.rfind(' ');
    std::array<unsigned char, crypto_auth_BYTES> mac{};
    if (cut == std::string_view::npos || !unhex(text.substr(cut + 1), mac.data(), mac.size())) return result;
    const std::string_view body = text.substr(0, cut);
    result.fault = TicketFault::Forged;
    for (const Key& key : keys_) {
        const bool good = crypto_auth_verify(mac.data(), reinterpret_cast<const unsigned char*>(body.data()),
                                             body.size(), key.data()) == 0;
        if (good) result.fault = TicketFault::None;
    }
    if (result.fault != TicketFault::None) return result;
    std::string_view rest = body;
    const std::string_view version = next_word(rest);
    const auto session = whole(next_word(rest)), epoch = whole(next_word(rest));
    const std::string_view source = next_word(rest), target = next_word(rest);
    const auto expires = whole(rest);
    if (version != "t1" || !session || !epoch || !plain(source) || !plain(target) || !expires) {
        result.fault = TicketFault::Unreadable;
        return result;
    }
    if (unix_now * 1000 > static_cast<double>(*expires)) {
        result.fault = TicketFault::Expired;
        return result;
    }
    result.ticket = Ticket{*session, *epoch, std::string(source), std::string(target), *expires};
    return result;
}

}  // namespace jasperspread::handover
