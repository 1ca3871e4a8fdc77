#include "ticket.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace jasperspread::handover {
namespace {

constexpr std::size_t most_name = 128;

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

std::string TicketKeys::sign(const Ticket& ticket) const {
    const std::string body = body_of(ticket);
    return body + " " + keys::to_hex(keys_.sign(body));
}

TicketKeys::Read TicketKeys::read(std::string_view text, double unix_now) const {
    Read result;
    result.fault = TicketFault::Unreadable;
    const std::size_t cut = text.rfind(' ');
    keys::Mac mac{};
    if (cut == std::string_view::npos || !keys::from_hex(text.substr(cut + 1), mac)) return result;
    const std::string_view body = text.substr(0, cut);
    result.fault = keys_.check(body, mac) ? TicketFault::None : TicketFault::Forged;
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
