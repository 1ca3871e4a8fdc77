// A toy viewer: asks a session agent for one session and prints what it hears until the session is over.
//
//   jasperspread_toy_viewer [AGENT_ADDRESS [CLASS]]
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <string>

#include "codec/viewer_codec.h"
#include "net/loop.h"
#include "net/socket.h"

namespace {

using namespace jasperspread;
using codec::ViewerMessage;
using codec::ViewerType;

ViewerMessage set_up(const std::string& class_name) {
    ViewerMessage message;
    message.type = static_cast<std::uint8_t>(ViewerType::SetUp);
    message.session = static_cast<std::uint64_t>(net::SystemKernel().now() * 1e6);
    message.class_name = class_name;
    message.wait_ms = 4000;
    message.title = "7f3a9c21e0b4d655";
    message.hint_ms = 8200;
    message.figures = {{"home", "0"}, {"copies", "1"}, {"top", "5"}, {"viewer", "00000000b4d65521"}};
    message.description = "the toy viewer's description";
    return message;
}

// Prints the message; true when the session is over.
bool heard(const ViewerMessage& message) {
    if (message.is(ViewerType::Answer)) {
        std::printf("it plays: %s\n", message.description.value_or("").c_str());
        return false;
    }
    if (message.is(ViewerType::Release)) {
        std::printf("released with cause %d\n", message.cause.value_or(0));
        if (message.stay_away_ms) std::printf("advice: stay away for %.0f ms\n", *message.stay_away_ms);
    }
    if (message.is(ViewerType::Move)) std::printf("moved: ask again\n");
    return message.is(ViewerType::Release) || message.is(ViewerType::Move);
}

void watch(const std::string& agent, const std::string& class_name) {
    const auto address = net::parse_address(agent);
    if (!address) throw std::runtime_error("not an address and port: " + agent);
    const net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (::connect(fd.get(), address->raw(), sizeof address->in) != 0)
        throw std::runtime_error("no agent there");
    const ViewerMessage asked = set_up(class_name);
    const std::string request = encode(asked);
    if (::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) < 0)
        throw std::runtime_error("broken off");
    std::string in;
    std::array<char, 4096> bytes{};
    for (ssize_t got = 0; (got = ::recv(fd.get(), bytes.data(), bytes.size(), 0)) > 0;) {
        in.append(bytes.data(), static_cast<std::size_t>(got));
        while (const auto decoded = codec::decode_viewer(in)) {
            in.erase(0, decoded->size);
            // Words on other sessions may come too: they belong to no connection.
            if (decoded->message.session != asked.session || !heard(decoded->message)) continue;
            ViewerMessage thanks;
            thanks.type = static_cast<std::uint8_t>(ViewerType::ReleaseHeard);
            thanks.session = asked.session;
            const std::string bytes_out = encode(thanks);
            ::send(fd.get(), bytes_out.data(), bytes_out.size(), MSG_NOSIGNAL);
            return;
        }
    }
    throw std::runtime_error("the agent has closed the connection");
}

}  // namespace

int main(int argc, char** argv) {
    try {
        watch(argc > 1 ? argv[1] : "127.0.0.1:2905", argc > 2 ? argv[2] : "replay");
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasperspread_toy_viewer: %s\n", error.what());
        return 1;
    }
    return 0;
}
