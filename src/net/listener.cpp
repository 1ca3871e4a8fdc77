#include "listener.h"

#include <poll.h>

#include <cerrno>
#include <system_error>

namespace jasperspread::net {
namespace {
constexpr double pause_s = 0.02;
}

Listener::Listener(Loop& loop, const Address& at, Callbacks callbacks)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      fd_(loop.kernel().listen(at), &loop.kernel()),
      pause_(loop) {
    if (!fd_) throw std::system_error(-fd_.get(), std::generic_category(), "can't listen at " + to_text(at));
    listen_again();
}

Address Listener::address() const {
    return loop_.kernel().local_address(fd_.get());
}

void Listener::listen_again() {
    loop_.watch(fd_.get(), POLLIN, *this);
}

void Listener::ready(short) {
    if (accept_while([this] { return callbacks_.room(); })) return;
    loop_.forget(fd_.get());
    pause_.set(loop_.now() + pause_s, [this] { listen_again(); });
}

bool Listener::accept_while(const std::function<bool()>& may) {
    while (may()) {
        const int got = loop_.kernel().accept(fd_.get());
        if (got >= 0) {
            callbacks_.accepted(Fd(got, &loop_.kernel()));
            continue;
        }
        if (got == -EINTR || got == -ECONNABORTED) continue;
        if (got == -EAGAIN) return true;
        // Guards against EMFILE, ENFILE and the like: the socket stays readable and would take the whole
        // core.
        callbacks_.starved();
        break;
    }
    return false;
}

void Listener::close() {
    if (!fd_) return;
    accept_while([] { return true; });
    loop_.forget_closing(fd_.get());
    pause_.cancel();
    fd_.reset();
}

}  // namespace jasperspread::net
