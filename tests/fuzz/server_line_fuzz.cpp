// libFuzzer: a lesson server's lines, and what they mean to a hand-over. Bad input is a typed error and
// nothing else; what was read can be written and is read back the same.
#include <cstdlib>
#include <string_view>

#include "codec/error.h"
#include "codec/server_codec.h"
#include "handover/server_side.h"
#include "handover/ticket.h"

using namespace jasperspread;

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer calls this name
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
    static const handover::TicketKeys keys(std::string(64, '1'));
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    handover::ServerSide side;
    try {
        while (const auto decoded = codec::decode_server(rest)) {
            rest.remove_prefix(decoded->size);
            const codec::ServerMessage& message = decoded->message;
            if (const std::string* ticket = message.field("ticket")) keys.read(*ticket, 1);
            if (const auto verb = handover::verb_of(message.name)) {
                const auto before = side.state();
                side.take(*verb, message.session, {}, 1);
                const bool holds = side.state() == before || side.fence() > 0;
                if (!holds) std::abort();
            }
            const std::string text = encode(message);
            const auto again = codec::decode_server(text);
            const bool same = again && again->message.verb == message.verb &&
                              again->message.name == message.name &&
                              again->message.session == message.session &&
                              again->message.description == message.description;
            if (!same) std::abort();
        }
    } catch (const codec::CodecError&) {  // what can't be read, or no longer fits a line
    }
    return 0;
}
