// One connection to a lesson server: what comes on it, and when it can't be read.
#include "codec/error.h"
#include "server_connections.h"

namespace jasperspread::agent {

using net::Connection;

namespace {

// A line that is not whole goes on within so long, s: one that stops short is not an answer that is late.
constexpr double line_goes_on_within_s = 0.5;
// Where sessions stand, it may be a release that is written slowly: it is waited for so much longer, s.
constexpr double release_goes_on_within_s = 4;

}  // namespace

ServerConnections::Link::Link(ServerConnections& all, ServerNumber at_server, const net::Address& address)
    : server(at_server),
      number(++all.opened_),
      used(all.loop_.now()),
      heard(used),
      all_(all),
      line_timer_(all.loop_),
      connection(all.loop_, all.pool_, *this, address, all.limits_.connect_timeout, net::Order::Late) {}

void ServerConnections::Link::opened(Connection&) {
    Server& at = all_.server(server);
    came_up = true;
    up_at = heard = used = all_.loop_.now();
    at.watch.connection_up(up_at, all_.draw());
    brief = queue.empty() && sessions.empty() && has_sound(at, this);
    at.failed_connects = 0;
    at.wants_new = false;
    all_.note("server_connection_up", *this, "");
    // That it comes up says little: a frozen process, and whoever stands in between, accepts it too.
    if (all_.is_due_a_probe(server, at)) all_.probe(at, *this);
    for (const std::string& text : std::exchange(at.pending, {})) connection.send(text);
    all_.send_releases(server, *this);
    all_.user_.link_writable(*this);
}

std::size_t ServerConnections::Link::received(Connection&, std::string_view bytes) {
    std::size_t consumed = 0;
    std::string unreadable;  // what was wrong with the first such line
    used = all_.loop_.now();
    while (true) {  // also while it is being closed from here: a release may be among it
        const std::size_t line_end = bytes.find('\n', consumed);
        try {
            const auto decoded = codec::decode_server(bytes.substr(consumed));
            if (!decoded) break;
            consumed += decoded->size;
            take(decoded->message);
        } catch (const codec::CodecError& error) {
            if (unreadable.empty()) unreadable = error.what();
            consumed = line_end == std::string_view::npos ? bytes.size() : line_end + 1;
        }
    }
    // A peer that can't be read ends its own connection only. What came whole behind the line was taken.
    if (!unreadable.empty()) {
        close_unreadable(unreadable);
        return consumed;
    }
    // Guards against a line that stops short: what comes after it on this connection can't be told from it.
    if (consumed < bytes.size()) {
        line_timer_.set(all_.loop_.now() + line_goes_on_within_s, [this] { line_stalled(); });
    }
    return consumed;
}

void ServerConnections::Link::take(const codec::ServerMessage& message) {
    line_timer_.cancel();
    note_message();
    const bool is_held =
        message.verb == codec::ServerVerb::Finish && (brief || all_.loop_.now() <= up_at + held_release_s);
    held_releases += is_held ? 1 : 0;
    all_.user_.received(*this, message);
}

// A whole message is a sign of life; bytes that can't be read are none.
void ServerConnections::Link::note_message() {
    Server& at = all_.server(speaker());
    all_.note_heard(at);
    at.watch.forget_timeouts();
    heard = all_.loop_.now();
    has_spoken = true;
    avoided = stalled = false;
}

// Guards against a release that is cut off again and again: what a server has not finished writing it writes
// anew on the next connection, as slowly. A line that never goes on may hide an end, which comes on the next
// connection too: one is opened beside the first that stalls.
void ServerConnections::Link::line_stalled() {
    if (!all_.user_.has_sessions(server)) return close_unreadable("a line stops short");
    all_.note("server_line_stalls", *this, "sessions stand there");
    Server& at = all_.server(server);
    at.wants_new = at.wants_new || !has_stalled(at);
    stalled = avoided = true;
    line_timer_.set(all_.loop_.now() + release_goes_on_within_s,
                    [this] { close_unreadable("a line stops short"); });
    all_.user_.link_stalled(*this);
    all_.ensure_connection(server);
}

void ServerConnections::Link::close_unreadable(const std::string& why) {
    all_.log_.warn("server_unreadable", {{"server", std::to_string(server)},
                                         {"connection", std::to_string(number)},
                                         {"sessions", std::to_string(sessions.size())},
                                         {"why", why}});
    line_timer_.cancel();
    connection.close();
    all_.ended(*this, Connection::End::Reset);
}

}  // namespace jasperspread::agent
