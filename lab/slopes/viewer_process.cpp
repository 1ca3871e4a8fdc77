#include "viewer_process.h"

#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace lab {
namespace {

[[noreturn]] void run_child(int channel, pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    constexpr int own_channel = 3;
    ::dup2(channel, own_channel);
    ::close_range(own_channel + 1, ~0U, 0);  // sockets of the laboratory must not live on here
    serve_viewers(own_channel);
    ::_exit(0);
}

}  // namespace

ViewerProcess::ViewerProcess() {
    std::array<int, 2> ends{};
    if (::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends.data()) != 0)
        throw std::system_error(errno, std::generic_category(), "no channel to the viewers");
    const pid_t parent = ::getpid();
    child_ = ::fork();
    if (child_ < 0) throw std::system_error(errno, std::generic_category(), "no process for the viewers");
    if (child_ == 0) run_child(ends[1], parent);
    ::close(ends[1]);
    channel_ = ends[0];
}

ViewerProcess::~ViewerProcess() {
    ::close(channel_);
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
}

void ViewerProcess::attach(jasperspread::net::Loop& loop) {
    loop_ = &loop;
    loop.watch(channel_, POLLIN, *this);
}

void ViewerProcess::detach() {
    if (loop_ != nullptr) loop_->forget(channel_);
    loop_ = nullptr;
}

void ViewerProcess::order(const ViewerOrder& order) {
    done_ = false;
    if (::send(channel_, &order, sizeof order, MSG_NOSIGNAL) != sizeof order)
        throw std::system_error(errno, std::generic_category(), "the viewers' process is gone");
}

void ViewerProcess::ready(short) {
    if (::recv(channel_, &report_, sizeof report_, MSG_DONTWAIT) != sizeof report_)
        throw std::system_error(errno, std::generic_category(), "the viewers' process is gone");
    done_ = true;
}

}  // namespace lab
