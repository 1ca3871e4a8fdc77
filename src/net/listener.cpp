#include "listener.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace jasperspread::net {
namespace {
constexpr double pause_s = 0.02;
}

Listener::Listener(Loop& loop, const Address& at, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)), fd_(stream_socket()), pause_(loop) {
    const int on = 1;
    if (!fd_ || ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::bind(fd_.get(), at.raw(), sizeof at.in) != 0 || ::listen(fd_.get(), SOMAXCONN) != 0) {
        throw std::system_error(errno, std::generic_category(), "can't listen at " + to_text(at));
    }
    listen_again();
}

Address Listener::address() const {
    Address address;
    socklen_t size = sizeof address.in;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address.in), &size);
    return address;
}

void Listener::listen_again() {
    loop_.watch(fd_.get(), POLLIN, *this);
}

void Listener::ready(short) {
    while (callbacks_.room()) {
        Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (fd) {
            callbacks_.accepted(std::move(fd));
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED) continue;
        if (errno == EAGAIN) return;
        // Guards against EMFILE, ENFILE and the like: the socket stays readable and would take the whole
        // core.
        callbacks_.starved();
        break;
    }
    loop_.forget(fd_.get());
    pause_.set(unix_now() + pause_s, [this] { listen_again(); });
}

}  // namespace jasperspread::net
