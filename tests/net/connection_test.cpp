// What the end of a connect tells of the peer.
#include "net/connection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "counting_kernel.h"
#include "net/buffer_pool.h"
#include "net/listener.h"

using jasperspread::net::BufferPool;
using jasperspread::net::Connection;
using jasperspread::net::Loop;
using jasperspread::net::SystemKernel;

namespace {

class EndSeen final : public Connection::Owner {
public:
    std::size_t received(Connection& /*connection*/, std::string_view bytes) override { return bytes.size(); }
    void ended(Connection& /*connection*/, Connection::End why) override { end = why; }
    std::optional<Connection::End> end;
};

Connection::End end_of_connect(int error) {
    SystemKernel system;
    net_test::CountingKernel kernel(system);
    kernel.fail_connects = error;
    Loop loop(kernel);
    BufferPool pool;
    jasperspread::net::Listener listener(loop, *jasperspread::net::parse_address("127.0.0.1:0"),
                                         {[](jasperspread::net::Fd) {}, [] { return true; }, [] {}});
    EndSeen owner;
    constexpr double connect_timeout_s = 20, longest_turn_s = 0.1;
    Connection connection(loop, pool, owner, listener.address(), connect_timeout_s);
    while (!owner.end) loop.turn(longest_turn_s);
    return *owner.end;
}

// How much is kept for a peer that reads nothing, until the connection ends with Overflow.
std::size_t kept_for_silent_peer(BufferPool& pool) {
    SystemKernel kernel;
    Loop loop(kernel);
    jasperspread::net::Fd accepted;
    jasperspread::net::Listener listener(
        loop, *jasperspread::net::parse_address("127.0.0.1:0"),
        {[&](jasperspread::net::Fd fd) { accepted = std::move(fd); }, [] { return true; }, [] {}});
    EndSeen owner;
    constexpr double connect_timeout_s = 20, longest_turn_s = 0.1;
    Connection connection(loop, pool, owner, listener.address(), connect_timeout_s);
    while (!accepted) loop.turn(longest_turn_s);
    const std::string bytes(1000, 'x');
    std::size_t most_in_use = 0;
    while (!owner.end) {
        connection.send(bytes);
        most_in_use = std::max(most_in_use, pool.in_use());
        loop.turn(0);
    }
    CHECK(*owner.end == Connection::End::Overflow);
    return most_in_use * jasperspread::net::buffer_size;
}

}  // namespace

// Guards against hundreds of clients that read nothing, each with as much kept for it as one may have.
TEST_CASE("a peer that reads nothing has less kept for it where the pool is spent") {
    constexpr std::size_t kept = 4, most = 2;
    BufferPool small(kept, most), large;
    CHECK_LE(kept_for_silent_peer(small), (most + 1) * jasperspread::net::buffer_size);
    CHECK_GE(kept_for_silent_peer(large), 8 * jasperspread::net::buffer_size);
    CHECK_EQ(small.in_use(), 0);
}

TEST_CASE("a connect that is reset once it was accepted does not pass for one that was refused") {
    CHECK_EQ(end_of_connect(ECONNRESET), Connection::End::Reset);
}

TEST_CASE("a connect that finds no way to the machine does not pass for one that was refused") {
    CHECK_EQ(end_of_connect(EHOSTUNREACH), Connection::End::TimedOut);
}

TEST_CASE("a connect that is refused or late is told as such") {
    CHECK_EQ(end_of_connect(ECONNREFUSED), Connection::End::Refused);
    CHECK_EQ(end_of_connect(ETIMEDOUT), Connection::End::TimedOut);
}
