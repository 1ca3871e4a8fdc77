// A kernel that passes all calls on to another one and counts them; tests can make it refuse some.
#pragma once

#include <functional>

#include "net/kernel.h"

namespace net_test {

using jasperspread::net::Address;
using jasperspread::net::Kernel;
using jasperspread::net::ReadyEvent;

class CountingKernel final : public Kernel {
public:
    struct Counts {
        std::size_t waits = 0;         // poll() and wait()
        std::size_t entries = 0;       // handed to poll() or got from wait()
        std::size_t lists = 0;         // interest lists asked for
        std::size_t list_changes = 0;  // added, modified, removed
        std::size_t others = 0;        // calls on sockets
        std::size_t unreads = 0;       // of these, unread()
        std::size_t calls() const { return waits + lists + list_changes + others; }
    };

    explicit CountingKernel(Kernel& inner) : inner_(inner) {}

    Counts counts;
    int refuse_lists = 0;               // the error that asking for an interest list gets; 0: it is passed on
    int refuse_adds = 0;                // the same for adding to one
    int fail_connects = 0;              // the error that connects end with, though they came up
    std::function<void()> during_wait;  // called once, in the next wait, which then finds nothing

    double now() override { return inner_.now(); }
    std::uint64_t random() override { return inner_.random(); }

    int poll(pollfd* polled, std::size_t count, double wait_s) override {
        ++counts.waits;
        counts.entries += count;
        for (std::size_t i = 0; i < count && during_wait; ++i) polled[i].revents = 0;
        return stood_still() ? 0 : inner_.poll(polled, count, wait_s);
    }
    int create_interest_list() override {
        ++counts.lists;
        return refuse_lists != 0 ? -refuse_lists : inner_.create_interest_list();
    }
    int add_interest(int list, int fd, short events, std::uint64_t tag) override {
        ++counts.list_changes;
        return refuse_adds != 0 ? -refuse_adds : inner_.add_interest(list, fd, events, tag);
    }
    int modify_interest(int list, int fd, short events, std::uint64_t tag) override {
        ++counts.list_changes;
        return inner_.modify_interest(list, fd, events, tag);
    }
    int remove_interest(int list, int fd) override {
        ++counts.list_changes;
        return inner_.remove_interest(list, fd);
    }
    int wait(int list, ReadyEvent* ready, std::size_t room, double wait_s) override {
        ++counts.waits;
        if (stood_still()) return 0;
        const int count = inner_.wait(list, ready, room, wait_s);
        if (count > 0) counts.entries += static_cast<std::size_t>(count);
        return count;
    }

    int listen(const Address& at) override { return other().listen(at); }
    int accept(int fd) override { return other().accept(fd); }
    int open_stream() override { return other().open_stream(); }
    int connect(int fd, const Address& to) override { return other().connect(fd, to); }
    int connect_error(int fd) override {
        return fail_connects != 0 ? fail_connects : other().connect_error(fd);
    }
    Address local_address(int fd) override { return other().local_address(fd); }
    Address peer_address(int fd) override { return other().peer_address(fd); }
    ssize_t receive(int fd, char* bytes, std::size_t room) override {
        return other().receive(fd, bytes, room);
    }
    ssize_t send(int fd, const char* bytes, std::size_t count) override {
        return other().send(fd, bytes, count);
    }
    int open_datagram(const Address& at) override { return other().open_datagram(at); }
    ssize_t receive_from(int fd, char* bytes, std::size_t room, Address& from) override {
        return other().receive_from(fd, bytes, room, from);
    }
    ssize_t send_to(int fd, const char* bytes, std::size_t count, const Address& to) override {
        return other().send_to(fd, bytes, count, to);
    }
    std::size_t unread(int fd) override {
        ++counts.unreads;
        return other().unread(fd);
    }
    void shut_output(int fd) override { other().shut_output(fd); }
    void close(int fd) override { other().close(fd); }

private:
    Kernel& other() {
        ++counts.others;
        return inner_;
    }
    bool stood_still() {
        if (!during_wait) return false;
        std::exchange(during_wait, nullptr)();
        return true;
    }

    Kernel& inner_;
};

}  // namespace net_test
