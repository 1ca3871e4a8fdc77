#include "message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace jasperspread::codec {

namespace {

constexpr std::size_t session_id_digits = 16;

}  // namespace

std::string to_hex(std::uint64_t id) {
    std::string text(session_id_digits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit, id >>= 4) {
        *digit = "0123456789abcdef"[id & 15];
    }
    return text;
}

std::optional<std::uint64_t> parse_hex(std::string_view hex) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), value, 16);
    if (hex.empty() || error != std::errc{} || end != hex.data() + hex.size()) return std::nullopt;
    return value;
}

std::optional<std::uint64_t> parse_session_id(std::string_view hex) {
    if (hex.size() != session_id_digits) return std::nullopt;
    return parse_hex(hex);
}

std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::string to_text(double number) {
    std::array<char, 400> text{};
    const auto done = std::to_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    return {text.data(), done.ptr};
}

std::string whole_ms(double seconds) {
    constexpr double most_ms = 1e9;
    return std::to_string(std::llround(std::clamp(seconds * 1000, 0.0, most_ms)));
}

}  // namespace jasperspread::codec
