// A kernel that passes every call on to another one and counts it: work that is the same each time, where
// processor time is not.
#pragma once

#include <atomic>

#include "net/kernel.h"

namespace lab {

// Counts of one process. Atomic, because another process may read them in shared memory.
struct KernelCounts {
    std::atomic<std::uint64_t> calls{0};  // system calls; the clock is none
    std::atomic<std::uint64_t> waits{0};  // of these, waits for readiness
    std::atomic<std::uint64_t> poll_entries{
        0};  // descriptors that the kernel was asked or told about in waits
    std::atomic<std::uint64_t> bytes_sent{0};

    // The values at one moment.
    struct Values {
        std::uint64_t calls = 0, waits = 0, poll_entries = 0, bytes_sent = 0;
        Values operator-(const Values& before) const {
            return {calls - before.calls, waits - before.waits, poll_entries - before.poll_entries,
                    bytes_sent - before.bytes_sent};
        }
    };
    Values values() const { return {calls, waits, poll_entries, bytes_sent}; }
};

class CountingKernel final : public jasperspread::net::Kernel {
public:
    using Address = jasperspread::net::Address;
    CountingKernel(jasperspread::net::Kernel& kernel, KernelCounts& counts)
        : kernel_(kernel), counts_(counts) {}

    double now() override { return kernel_.now(); }
    std::uint64_t random() override { return counted().random(); }
    int poll(pollfd* polled, std::size_t count, double wait_s) override {
        ++counts_.waits;
        counts_.poll_entries += count;
        return counted().poll(polled, count, wait_s);
    }
    int create_interest_list() override { return counted().create_interest_list(); }
    int add_interest(int list, int fd, short events, std::uint64_t tag) override {
        return counted().add_interest(list, fd, events, tag);
    }
    int modify_interest(int list, int fd, short events, std::uint64_t tag) override {
        return counted().modify_interest(list, fd, events, tag);
    }
    int remove_interest(int list, int fd) override { return counted().remove_interest(list, fd); }
    // An interest list is kept by the kernel: what is told of it is what is ready.
    int wait(int list, jasperspread::net::ReadyEvent* ready, std::size_t room, double wait_s) override {
        ++counts_.waits;
        const int found = counted().wait(list, ready, room, wait_s);
        if (found > 0) counts_.poll_entries += static_cast<std::uint64_t>(found);
        return found;
    }
    int listen(const Address& at) override { return counted().listen(at); }
    int accept(int fd) override { return counted().accept(fd); }
    int open_stream() override { return counted().open_stream(); }
    int connect(int fd, const Address& to) override { return counted().connect(fd, to); }
    int connect_error(int fd) override { return counted().connect_error(fd); }
    Address local_address(int fd) override { return counted().local_address(fd); }
    Address peer_address(int fd) override { return counted().peer_address(fd); }
    ssize_t receive(int fd, char* bytes, std::size_t room) override {
        return counted().receive(fd, bytes, room);
    }
    ssize_t send(int fd, const char* bytes, std::size_t count) override {
        return sent(counted().send(fd, bytes, count));
    }
    int open_datagram(const Address& at) override { return counted().open_datagram(at); }
    ssize_t receive_from(int fd, char* bytes, std::size_t room, Address& from) override {
        return counted().receive_from(fd, bytes, room, from);
    }
    ssize_t send_to(int fd, const char* bytes, std::size_t count, const Address& to) override {
        return sent(counted().send_to(fd, bytes, count, to));
    }
    std::size_t unread(int fd) override { return counted().unread(fd); }
    void shut_output(int fd) override { counted().shut_output(fd); }
    void close(int fd) override { counted().close(fd); }

private:
    jasperspread::net::Kernel& counted() {
        ++counts_.calls;
        return kernel_;
    }
    ssize_t sent(ssize_t bytes) {
        if (bytes > 0) counts_.bytes_sent += static_cast<std::uint64_t>(bytes);
        return bytes;
    }

    jasperspread::net::Kernel& kernel_;
    KernelCounts& counts_;
};

}  // namespace lab
