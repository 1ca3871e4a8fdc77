// The relays of the laboratory by themselves.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <string>
#include <vector>

#include "lab/run/files.h"
#include "lab/run/relay.h"
#include "lab/scale/line_party.h"
#include "lab/scale/relay_loop.h"

using namespace lab;
namespace net = jasperspread::net;

namespace {

// Connects and speaks before the loop of the other side has had a turn.
net::Fd speak(net::SystemKernel& kernel, const net::Address& to, const std::string& text) {
    net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), &kernel);
    REQUIRE_EQ(::connect(fd.get(), to.raw(), sizeof to.in), 0);
    REQUIRE_EQ(::send(fd.get(), text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    return fd;
}

}  // namespace

TEST_CASE("relay: the address of a party that is away is given to nobody else, and refuses who connects") {
    net::SystemKernel kernel;
    const ReservedAddress reserved;
    const auto bind_elsewhere = [&] {
        const net::Fd other(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), &kernel);
        return ::bind(other.get(), reserved.address().raw(), sizeof reserved.address().in);
    };
    const auto connect = [&] {
        const net::Fd caller(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), &kernel);
        return ::connect(caller.get(), reserved.address().raw(), sizeof reserved.address().in);
    };
    constexpr int lives = 3;
    for (int life = 0; life < lives; ++life) {
        CHECK_EQ(bind_elsewhere(), -1);
        CHECK_EQ(connect(), -1);
        net::Loop loop(kernel);
        LineParty party(loop, [](std::uint64_t, std::string_view) {});
        CHECK_EQ(party.listen(reserved.address()), reserved.address());
        CHECK_EQ(connect(), 0);
    }
}

TEST_CASE("relay: what comes before its own connect is up arrives, and what it has passed is counted") {
    net::SystemKernel kernel;
    net::Loop loop(kernel);
    std::vector<std::string> heard;
    LineParty target(loop, [&](std::uint64_t, std::string_view line) { heard.emplace_back(line); });
    Relay relay(loop, 1);
    relay.lead_to(target.listen(own_loopback_address()));
    const net::Address at = relay.listen(own_loopback_address());
    constexpr int callers = 8;
    std::vector<net::Fd> open;
    open.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) open.push_back(speak(kernel, at, "hello\n"));
    constexpr int turns_most = 400;
    for (int turn = 0; turn < turns_most && heard.size() < callers; ++turn) loop.turn(0.05);
    CHECK_EQ(heard, std::vector<std::string>(callers, "hello"));
    CHECK_EQ(relay.bytes(), callers * std::string("hello\n").size());
}

TEST_CASE("relay: a loop of its own passes on while the caller's thread is busy, and can be held") {
    net::SystemKernel kernel;
    RelayLoop relays;
    std::vector<std::string> heard;
    LineParty target(relays.loop(), [&](std::uint64_t, std::string_view line) { heard.emplace_back(line); });
    Relay relay(relays.loop(), 1);
    relay.lead_to(target.listen(own_loopback_address()));
    const net::Address at = relay.listen(own_loopback_address());
    relays.begin();
    const net::Fd open = speak(kernel, at, "hello\n");
    const double until = kernel.now() + 20;
    const auto arrived = [&] {
        const auto held = relays.hold();
        return !heard.empty();
    };
    while (!arrived() && kernel.now() < until) kernel.poll(nullptr, 0, 0.01);
    relays.end();
    CHECK_EQ(heard, std::vector<std::string>{"hello"});
}
