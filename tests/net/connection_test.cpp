// What the end of a connect tells of the peer.
#include "net/connection.h"

#include <doctest/doctest.h>

#include <cerrno>
#include <optional>
#include <string_view>

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

}  // namespace

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
