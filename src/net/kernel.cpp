#include "kernel.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cmath>
#include <system_error>

namespace jasperspread::net {
namespace {

template <typename Result>
Result told(Result result) {
    return result < 0 ? static_cast<Result>(-errno) : result;
}

void send_at_once(int fd) {  // no waiting to fill a segment
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Milliseconds for a wait in the kernel, rounded up: no wait ends before its time.
int to_milliseconds(double wait_s) {
    return static_cast<int>(std::ceil(wait_s * 1000));
}

// The events of epoll(7) have the values of poll(2), so that they are passed on as they are.
static_assert(EPOLLIN == POLLIN && EPOLLOUT == POLLOUT && EPOLLERR == POLLERR && EPOLLHUP == POLLHUP &&
              EPOLLRDHUP == POLLRDHUP);

int change_interest(int list, int operation, int fd, short events, std::uint64_t tag) {
    epoll_event event{};
    event.events = static_cast<std::uint16_t>(events);
    event.data.u64 = tag;
    return told(::epoll_ctl(list, operation, fd, &event));
}

}  // namespace

double SystemKernel::now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::uint64_t SystemKernel::random() {
    std::uint64_t bits = 0;
    while (::getrandom(&bits, sizeof bits, 0) != sizeof bits) {
        if (errno != EINTR) throw std::system_error(errno, std::generic_category(), "no random bits");
    }
    return bits;
}

int SystemKernel::poll(pollfd* polled, std::size_t count, double wait_s) {
    const int ready = ::poll(polled, static_cast<nfds_t>(count), to_milliseconds(wait_s));
    return ready < 0 && errno == EINTR ? 0 : told(ready);
}

int SystemKernel::create_interest_list() {
    return told(::epoll_create1(EPOLL_CLOEXEC));
}

int SystemKernel::add_interest(int list, int fd, short events, std::uint64_t tag) {
    return change_interest(list, EPOLL_CTL_ADD, fd, events, tag);
}

int SystemKernel::modify_interest(int list, int fd, short events, std::uint64_t tag) {
    return change_interest(list, EPOLL_CTL_MOD, fd, events, tag);
}

int SystemKernel::remove_interest(int list, int fd) {
    return change_interest(list, EPOLL_CTL_DEL, fd, 0, 0);
}

int SystemKernel::wait(int list, ReadyEvent* ready, std::size_t room, double wait_s) {
    found_.resize(room);
    const int count = ::epoll_wait(list, found_.data(), static_cast<int>(room), to_milliseconds(wait_s));
    if (count < 0) return errno == EINTR ? 0 : told(count);
    for (int i = 0; i < count; ++i) {
        ready[i] = {found_[i].data.u64, static_cast<short>(found_[i].events)};
    }
    return count;
}

int SystemKernel::listen(const Address& at) {
    const int fd = open_stream();
    if (fd < 0) return fd;
    const int on = 1;
    if (::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        ::bind(fd, at.raw(), sizeof at.in) == 0 && ::listen(fd, SOMAXCONN) == 0) {
        return fd;
    }
    const int error = -errno;
    ::close(fd);
    return error;
}

int SystemKernel::accept(int fd) {
    const int got = told(::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (got >= 0) send_at_once(got);
    return got;
}

int SystemKernel::open_stream() {
    const int fd = told(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd >= 0) send_at_once(fd);
    return fd;
}

int SystemKernel::connect(int fd, const Address& to) {
    return told(::connect(fd, to.raw(), sizeof to.in));
}

int SystemKernel::connect_error(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

Address SystemKernel::local_address(int fd) {
    Address address;
    socklen_t size = sizeof address.in;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address.in), &size);
    return address;
}

Address SystemKernel::peer_address(int fd) {
    Address address;
    socklen_t size = sizeof address.in;
    ::getpeername(fd, reinterpret_cast<sockaddr*>(&address.in), &size);
    return address;
}

ssize_t SystemKernel::receive(int fd, char* bytes, std::size_t room) {
    return told(::recv(fd, bytes, room, 0));
}

ssize_t SystemKernel::send(int fd, const char* bytes, std::size_t count) {
    return told(::send(fd, bytes, count, MSG_NOSIGNAL));
}

int SystemKernel::open_datagram(const Address& at) {
    const int fd = told(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd < 0 || ::bind(fd, at.raw(), sizeof at.in) == 0) return fd;
    const int error = -errno;
    ::close(fd);
    return error;
}

ssize_t SystemKernel::receive_from(int fd, char* bytes, std::size_t room, Address& from) {
    socklen_t size = sizeof from.in;
    return told(::recvfrom(fd, bytes, room, 0, reinterpret_cast<sockaddr*>(&from.in), &size));
}

ssize_t SystemKernel::send_to(int fd, const char* bytes, std::size_t count, const Address& to) {
    return told(::sendto(fd, bytes, count, MSG_NOSIGNAL, to.raw(), sizeof to.in));
}

std::size_t SystemKernel::unread(int fd) {
    int count = 0;
    return ::ioctl(fd, FIONREAD, &count) == 0 && count > 0 ? static_cast<std::size_t>(count) : 0;
}

void SystemKernel::shut_output(int fd) {
    ::shutdown(fd, SHUT_WR);
}

void SystemKernel::close(int fd) {
    ::close(fd);
}

}  // namespace jasperspread::net
