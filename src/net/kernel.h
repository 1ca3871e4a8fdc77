// The few calls by which this program meets the kernel, behind one interface that is given to the loop: the
// service gives the system's, the laboratory a simulated network with its own clock. Errors come back as
// negative errno values, as from the system calls themselves. No call blocks but poll() and wait().
#pragma once

#include <poll.h>
#include <sys/epoll.h>
#include <sys/types.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "socket.h"

namespace jasperspread::net {

// A descriptor of an interest list that is ready: the tag that it was added with, and events of poll(2).
struct ReadyEvent {
    std::uint64_t tag = 0;
    short events = 0;
};

class Kernel {
public:
    virtual ~Kernel() = default;

    virtual double now() = 0;            // Unix time, s
    virtual std::uint64_t random() = 0;  // bits that no other process and no other start draws
    // As poll(2), for `wait_s` at most; an interrupted wait is one that found nothing.
    virtual int poll(pollfd* polled, std::size_t count, double wait_s) = 0;

    // Interest lists, as epoll(7) keeps them, level-triggered: a list is a descriptor of its own, and holds
    // descriptors, each with the events of poll(2) that are waited for and a tag of the caller's. Errors come
    // back as negative errno values; a kernel without interest lists says -ENOSYS, as these defaults do.
    virtual int create_interest_list() { return -ENOSYS; }
    virtual int add_interest(int, int, short, std::uint64_t) { return -ENOSYS; }
    virtual int modify_interest(int, int, short, std::uint64_t) { return -ENOSYS; }
    virtual int remove_interest(int, int) { return -ENOSYS; }
    // Puts what is ready into `ready`, `room` at most, and returns how many; waits as poll() does.
    virtual int wait(int, ReadyEvent*, std::size_t, double) { return -ENOSYS; }

    virtual int listen(const Address& at) = 0;  // a listening descriptor
    virtual int accept(int fd) = 0;
    virtual int open_stream() = 0;
    virtual int connect(int fd, const Address& to) = 0;  // 0, or -EINPROGRESS: poll tells
    virtual int connect_error(int fd) = 0;               // errno of a connect that has ended, 0 when it is up
    virtual Address local_address(int fd) = 0;
    virtual Address peer_address(int fd) = 0;

    virtual ssize_t receive(int fd, char* bytes, std::size_t room) = 0;  // 0: the peer has closed in order
    virtual ssize_t send(int fd, const char* bytes, std::size_t count) = 0;
    // Datagrams: a descriptor that is bound; what can't be sent now is lost, as a network may lose it.
    virtual int open_datagram(const Address& at) = 0;
    virtual ssize_t receive_from(int fd, char* bytes, std::size_t room, Address& from) = 0;
    virtual ssize_t send_to(int fd, const char* bytes, std::size_t count, const Address& to) = 0;
    virtual std::size_t unread(int fd) = 0;  // bytes that have come and were not received yet
    virtual void shut_output(int fd) = 0;
    virtual void close(int fd) = 0;
};

// The system's own: TCP over IPv4, sockets that neither block nor outlive exec and send at once.
class SystemKernel final : public Kernel {
public:
    double now() override;
    std::uint64_t random() override;
    int poll(pollfd* polled, std::size_t count, double wait_s) override;
    int create_interest_list() override;
    int add_interest(int list, int fd, short events, std::uint64_t tag) override;
    int modify_interest(int list, int fd, short events, std::uint64_t tag) override;
    int remove_interest(int list, int fd) override;
    int wait(int list, ReadyEvent* ready, std::size_t room, double wait_s) override;
    int listen(const Address& at) override;
    int accept(int fd) override;
    int open_stream() override;
    int connect(int fd, const Address& to) override;
    int connect_error(int fd) override;
    Address local_address(int fd) override;
    Address peer_address(int fd) override;
    ssize_t receive(int fd, char* bytes, std::size_t room) override;
    ssize_t send(int fd, const char* bytes, std::size_t count) override;
    int open_datagram(const Address& at) override;
    ssize_t receive_from(int fd, char* bytes, std::size_t room, Address& from) override;
    ssize_t send_to(int fd, const char* bytes, std::size_t count, const Address& to) override;
    std::size_t unread(int fd) override;
    void shut_output(int fd) override;
    void close(int fd) override;

private:
    std::vector<epoll_event> found_;  // of the last wait()
};

}  // namespace jasperspread::net
