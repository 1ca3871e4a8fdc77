#include "signals.h"

#include <poll.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace jasperspread::ops {

namespace {

sigset_t handled() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

}  // namespace

void block_signals() {
    const sigset_t set = handled();
    if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0) throw std::system_error(errno, std::generic_category());
}

Signals::Signals(net::Loop& loop, std::function<void(int)> told) : loop_(loop), told_(std::move(told)) {
    const sigset_t set = handled();
    fd_ = net::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop_.watch(fd_.get(), POLLIN, *this, net::Order::Early);
}

void Signals::ready(short) {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
        told_(static_cast<int>(info.ssi_signo));
    }
}

}  // namespace jasperspread::ops
