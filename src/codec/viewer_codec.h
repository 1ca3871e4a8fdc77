// The viewers' binary messages: length:2 type:1 session:8 parameters, big-endian.
#pragma once

#include "message.h"

#include <map>

namespace jasperspread::codec {

enum class ViewerType : std::uint8_t {
    SetUp = 1,
    Progress = 6,
    Answer = 9,
    Release = 12,
    ReleaseHeard = 16,
    Note = 44,
    Move = 51,
    Test = 52,
    TestResult = 53,
    Rung = 60,
};

bool is_known(std::uint8_t type);  // one of the above

struct ViewerMessage {
    std::uint8_t type = 0;  // a ViewerType, or one that this program does not know
    std::uint64_t session = 0;
    std::optional<std::uint8_t> cause;
    std::optional<std::string> description;
    std::optional<std::string> class_name, tenant, title;
    std::optional<double> wait_ms, hint_ms, stay_away_ms;
    std::map<std::string, std::string> figures;  // of parameter 74, by name

    bool is(ViewerType which) const { return type == static_cast<std::uint8_t>(which); }
};

// The first whole message of `bytes`; nullopt when more must come. Throws CodecError.
std::optional<Decoded<ViewerMessage>> decode_viewer(std::string_view bytes);
// Whether a whole release of this session is among the messages that `bytes` begins with.
bool releases(std::string_view bytes, std::uint64_t session);
// Throws CodecError (Oversized) when the message would pass the limit.
std::string encode(const ViewerMessage& message);

}  // namespace jasperspread::codec
