#include "automatic_server.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace scenario {

using jasperspread::net::Fd;

namespace {

constexpr std::size_t piece_bytes = 12;

void reset(const Fd& connection) {
    const linger at_once{1, 0};
    ::setsockopt(connection.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

}  // namespace

AutomaticServer::AutomaticServer(int listening, ConnectionScript script)
    : listening_(listening), script_(std::move(script)) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    stop_read_ = Fd(ends[0]);
    stop_write_ = Fd(ends[1]);
    thread_ = std::thread([this] { run(); });
}

AutomaticServer::~AutomaticServer() {
    stop_write_.reset();
    thread_.join();
    for (std::thread& connection : connections_) connection.join();
}

void AutomaticServer::run() {
    while (true) {
        pollfd polled[2] = {{listening_, POLLIN, 0}, {stop_read_.get(), POLLIN, 0}};
        if (::poll(polled, 2, -1) < 0) continue;
        if (polled[1].revents != 0) return;
        Fd accepted(::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC));
        if (!accepted) continue;
        connections_.emplace_back([this, fd = std::move(accepted)]() mutable { serve(std::move(fd)); });
    }
}

void AutomaticServer::serve(Fd connection) const {
    std::string_view left = script_.writes;
    while (!left.empty()) {
        const std::size_t size = script_.pause_s > 0 ? std::min(piece_bytes, left.size()) : left.size();
        if (::send(connection.get(), left.data(), size, MSG_NOSIGNAL) != static_cast<ssize_t>(size)) return;
        left.remove_prefix(size);
        if (script_.pause_s > 0 && !pause(script_.pause_s)) return;
    }
    if (script_.resets) reset(connection);
    if (script_.closes || script_.resets) return;
    while (pause(60)) {
    }
}

bool AutomaticServer::pause(double seconds) const {
    pollfd stopping{stop_read_.get(), POLLIN, 0};
    constexpr double ms_per_s = 1000;
    return ::poll(&stopping, 1, static_cast<int>(seconds * ms_per_s)) == 0;
}

}  // namespace scenario
