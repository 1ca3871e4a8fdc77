#include "lab/soak/bad_clients.h"

#include "codec/viewer_codec.h"

namespace lab {
namespace {

using jasperspread::codec::ViewerMessage;
using jasperspread::codec::ViewerType;

constexpr double connect_timeout_s = 1, mean_pause_s = 0.06;
constexpr std::size_t most_connections = 10;
constexpr std::uint64_t first_id = 0xBAD0000000000000;  // no viewer's id is among these
constexpr std::uint64_t most_ids = 4;                   // so that they come again
constexpr int flood_of = 60;

enum class Act : std::uint8_t {
    Garbage,
    HalfMessage,
    LengthTooLong,
    LengthTooShort,
    UnknownType,
    Silent,
    Flood,
    SetUpAndGone,
    Count
};

}  // namespace

BadClients::BadClients(jasperspread::net::Loop& loop, const jasperspread::net::Address& agent,
                       std::string class_name, std::uint64_t seed)
    : Party(loop), agent_(agent), class_name_(std::move(class_name)), random_(seed), timer_(loop) {
    come();
}

void BadClients::come() {
    if (connections_.size() < most_connections) {
        connect(agent_, connect_timeout_s);
    } else {
        connections_.begin()->second->finish();
    }
    timer_.set(loop_.now() + 2 * mean_pause_s * uniform(), [this] { come(); });
}

// Nobody holds the title at such a home: refused, and never sent to a server.
std::string BadClients::set_up(std::uint64_t id, const std::string& home) const {
    ViewerMessage message;
    message.type = static_cast<std::uint8_t>(ViewerType::SetUp);
    message.session = id;
    message.class_name = class_name_;
    message.title = "a1";
    message.wait_ms = 100;
    message.figures = {{"home", home}, {"copies", "1"}, {"top", "0"}};
    return encode(message);
}

std::string BadClients::flood() {
    std::string bytes;
    for (int i = 0; i < flood_of; ++i) bytes += set_up(first_id + random_() % most_ids, "none");
    return bytes;
}

void BadClients::opened(Connection& connection) {
    ++acts_;
    const std::uint64_t id = first_id + random_() % most_ids;
    switch (static_cast<Act>(random_() % static_cast<std::uint64_t>(Act::Count))) {
        case Act::Garbage: {
            std::string bytes(1 + random_() % 300, '\0');
            for (char& byte : bytes) byte = static_cast<char>(random_());
            return connection.send(bytes);
        }
        case Act::HalfMessage: {
            const std::string whole = set_up(id, "none");
            return connection.send(whole.substr(0, 1 + random_() % (whole.size() - 1)));
        }
        case Act::LengthTooLong:
            return connection.send(std::string("\xFF\xFF\x01", 3));
        case Act::LengthTooShort:
            return connection.send(std::string("\x00\x01\x01", 3));
        case Act::UnknownType:
            return connection.send(std::string("\x00\x09\xC8\x07\x07\x07\x07\x07\x07\x07\x07", 11));
        case Act::Flood:
            return connection.send(flood());
        case Act::SetUpAndGone:
            connection.send(set_up(id, "none"));
            return connection.finish();
        case Act::Silent:
        case Act::Count:
            return;
    }
}

}  // namespace lab
