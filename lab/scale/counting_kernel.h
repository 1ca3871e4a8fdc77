// The system's kernel for one hollow agent: counts what goes through its sockets, and drops datagrams from
// zones that are cut off. Counters may be read from other threads.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

#include "lab/scale/placement.h"
#include "net/kernel.h"

namespace lab {

struct Traffic {  // payload, without the headers of IP, UDP and TCP
    std::uint64_t messages_sent = 0, messages_received = 0;  // datagrams
    std::uint64_t bytes_sent = 0, bytes_received = 0;        // in them
    std::uint64_t stream_bytes = 0;                          // both ways, of the control feed's connection
    // Of these, messages of the kind List: whole lists, 42 kB each with 450 members, and answers to doubts.
    std::uint64_t lists_sent = 0, lists_received = 0, list_bytes_sent = 0, list_bytes_received = 0;
    std::uint64_t list_bytes() const { return list_bytes_sent + list_bytes_received; }
    std::uint64_t messages() const { return messages_sent + messages_received; }
    std::uint64_t bytes() const { return bytes_sent + bytes_received + stream_bytes; }
};

// Whether a datagram holds a message of the kind List.
bool is_list(std::string_view datagram);

class CountingKernel final : public jasperspread::net::Kernel {
public:
    using Address = jasperspread::net::Address;
    using Zones = std::uint64_t;  // a bit for each

    Traffic traffic() const;
    struct FromReal {
        std::uint64_t messages = 0, bytes = 0, lists = 0, list_bytes = 0;
        void add(std::string_view datagram);
    };
    // What has come from this real process.
    FromReal from_real(int agent) const;
    void block(Zones senders) { blocked_ = senders; }
    // Called before and after each wait in poll(); empty: nothing is.
    void around_waits(std::function<void()> before, std::function<void()> after) {
        before_wait_ = std::move(before);
        after_wait_ = std::move(after);
    }

    double now() override { return system_.now(); }
    std::uint64_t random() override { return system_.random(); }
    int poll(pollfd* polled, std::size_t count, double wait_s) override;
    int listen(const Address& at) override { return system_.listen(at); }
    int accept(int fd) override { return system_.accept(fd); }
    int open_stream() override { return system_.open_stream(); }
    int connect(int fd, const Address& to) override { return system_.connect(fd, to); }
    int connect_error(int fd) override { return system_.connect_error(fd); }
    Address local_address(int fd) override { return system_.local_address(fd); }
    Address peer_address(int fd) override { return system_.peer_address(fd); }
    ssize_t receive(int fd, char* bytes, std::size_t room) override;
    ssize_t send(int fd, const char* bytes, std::size_t count) override;
    int open_datagram(const Address& at) override { return system_.open_datagram(at); }
    ssize_t receive_from(int fd, char* bytes, std::size_t room, Address& from) override;
    ssize_t send_to(int fd, const char* bytes, std::size_t count, const Address& to) override;
    std::size_t unread(int fd) override { return system_.unread(fd); }
    void shut_output(int fd) override { system_.shut_output(fd); }
    void close(int fd) override { system_.close(fd); }

private:
    using Counter = std::atomic<std::uint64_t>;
    bool is_blocked(const Address& from) const;
    void count_sent(std::string_view datagram);
    void count_received(const Address& from, std::string_view datagram);

    jasperspread::net::SystemKernel system_;
    std::function<void()> before_wait_, after_wait_;
    std::atomic<Zones> blocked_{0};
    Counter messages_sent_{0}, messages_received_{0}, bytes_sent_{0}, bytes_received_{0}, stream_bytes_{0},
        lists_sent_{0}, lists_received_{0}, list_bytes_sent_{0}, list_bytes_received_{0};
    std::array<Counter, real_agents_most> real_messages_{}, real_bytes_{}, real_lists_{}, real_list_bytes_{};
};

}  // namespace lab
