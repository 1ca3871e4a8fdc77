// The lesson servers' messages: one JSON object a line, in UTF-8. The one place that says which lines are
// sound; any other line can't be read, whatever it seems to say.
#pragma once

#include "message.h"

#include <map>

namespace jasperspread::codec {

enum class ServerVerb {
    Start,
    Pending,
    Started,
    Finish,
    Finished,
    Echo,
    Echoed,
    Notice,
    Move,
    Rate,
    Unknown
};

struct ServerMessage {
    ServerVerb verb = ServerVerb::Unknown;
    std::string name;  // of a verb that this codec does not know
    std::uint64_t session = 0;
    std::map<std::string, std::string> fields;  // numbers as their text
    std::optional<int> cause;
    std::optional<std::string> description;  // UTF-8; every answer has one

    const std::string* field(const std::string& key) const;
};

// Whether a line can hold the text: it is UTF-8. A long text may still pass the limit of a message.
bool fits_a_line(std::string_view text);
// The first whole line of `bytes`; nullopt when more must come. Throws CodecError.
std::optional<Decoded<ServerMessage>> decode_server(std::string_view bytes);
// With its line feed. Throws CodecError: Oversized when the line would pass the limit, Malformed when a text
// is not UTF-8.
std::string encode(const ServerMessage& message);

}  // namespace jasperspread::codec
