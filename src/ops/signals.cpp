#include "signals.h"

#include <poll.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace jasperspread::ops {

Signals::Signals(net::Loop& loop, std::function<void(int)> told) : loop_(loop), told_(std::move(told)) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0) throw std::system_error(errno, std::generic_category());
    fd_ = net::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
    loop_.watch(fd_.get(), POLLIN, *this);
}

void Signals::ready(short) {
    signalfd_siginfo info;
    while (read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
        told_(static_cast<int>(info.ssi_signo));
    }
}

}  // namespace jasperspread::ops
