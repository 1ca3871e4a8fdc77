#include "server_words.h"

#include <algorithm>

#include "agent/settings.h"
#include "codec/message.h"

namespace jasperspread::agent {

using cinderfront::Ending;
using cinderfront::LoadReport;
using codec::ServerMessage;
using codec::ServerVerb;

Ending ending_of_attempt(const ServerMessage& message) {
    switch (message.cause.value_or(0)) {
        case cause_full:
            return Ending::Shed;
        case cause_error:
            return Ending::AppError;
        case cause_moot:
            return Ending::Unused;
        default:
            return Ending::Dropped;
    }
}

Ending ending_of_session(const ServerMessage& message) {
    switch (message.cause.value_or(0)) {
        case cause_ok:
            return Ending::Delivered;
        case cause_cancelled:
            return Ending::Revoked;
        default:
            return Ending::Dropped;
    }
}

ServerMessage word(ServerVerb verb, SessionId id, std::optional<int> cause) {
    ServerMessage message;
    message.verb = verb;
    message.session = id;
    message.cause = cause;
    return message;
}

std::uint64_t whole(const std::string* text) {
    const auto number = text == nullptr ? std::nullopt : codec::parse_number(*text);
    constexpr double most = 9e15;  // exact in a double
    return number && *number > 0 && *number < most ? static_cast<std::uint64_t>(*number) : 0;
}

LoadReport read_load(const std::string& text) {
    LoadReport report;
    for (const std::string_view pair : split(text, ';')) {
        const std::size_t colon = std::min(pair.find(':'), pair.size());
        const LoadField field = load_field(pair.substr(0, colon));
        if (field != nullptr)
            report.*field = codec::parse_number(pair.substr(std::min(colon + 1, pair.size())));
    }
    return report;
}

LoadReport load_of(const ServerMessage& message) {
    const std::string* text = message.field("load");
    return text == nullptr ? LoadReport{} : read_load(*text);
}

}  // namespace jasperspread::agent
