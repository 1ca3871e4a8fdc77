// What both message formats share: the limit, session ids and numbers as text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasperspread::codec {

constexpr std::size_t max_message = 16 * 1024;

template <typename Message>
struct Decoded {
    Message message;
    std::size_t size = 0;  // bytes taken off the front
};

std::string to_hex(std::uint64_t id);                                 // 16 digits
std::optional<std::uint64_t> parse_session_id(std::string_view hex);  // 16 digits
std::optional<std::uint64_t> parse_hex(std::string_view hex);         // 1 to 16 digits
std::optional<double> parse_number(std::string_view text);            // finite, all of the text
std::string to_text(double number);                                   // shortest that reads back the same
std::string whole_ms(double seconds);                                 // milliseconds, not below 0

}  // namespace jasperspread::codec
