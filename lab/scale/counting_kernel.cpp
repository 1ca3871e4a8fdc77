#include "lab/scale/counting_kernel.h"

#include "lab/scale/datagram_kind.h"

namespace lab {

Traffic CountingKernel::traffic() const {
    return {messages_sent_, messages_received_, bytes_sent_, bytes_received_, stream_bytes_, list_bytes_};
}

CountingKernel::FromReal CountingKernel::from_real(int agent) const {
    const auto at = static_cast<std::size_t>(agent);
    return {real_messages_[at], real_bytes_[at]};
}

bool CountingKernel::is_blocked(const Address& from) const {
    const int zone = zone_of(from);
    return zone >= 0 && (blocked_ >> zone & 1U) != 0;
}

void CountingKernel::count_list(const char* bytes, std::uint64_t count) {
    if (kind_of({bytes, count}) == jasperspread::fleet::Kind::List) list_bytes_ += count;
}

void CountingKernel::count_received(const Address& from, std::uint64_t bytes) {
    ++messages_received_;
    bytes_received_ += bytes;
    const int real = real_agent_of(from);
    if (real < 0) return;
    ++real_messages_[static_cast<std::size_t>(real)];
    real_bytes_[static_cast<std::size_t>(real)] += bytes;
}

int CountingKernel::poll(pollfd* polled, std::size_t count, double wait_s) {
    if (before_wait_) before_wait_();
    const int ready = system_.poll(polled, count, wait_s);
    if (after_wait_) after_wait_();
    return ready;
}

ssize_t CountingKernel::receive(int fd, char* bytes, std::size_t room) {
    const ssize_t got = system_.receive(fd, bytes, room);
    if (got > 0) stream_bytes_ += static_cast<std::uint64_t>(got);
    return got;
}

ssize_t CountingKernel::send(int fd, const char* bytes, std::size_t count) {
    const ssize_t sent = system_.send(fd, bytes, count);
    if (sent > 0) stream_bytes_ += static_cast<std::uint64_t>(sent);
    return sent;
}

// What comes from a zone that is cut off was never received.
ssize_t CountingKernel::receive_from(int fd, char* bytes, std::size_t room, Address& from) {
    for (;;) {
        const ssize_t got = system_.receive_from(fd, bytes, room, from);
        if (got < 0) return got;
        if (is_blocked(from)) continue;
        count_list(bytes, static_cast<std::uint64_t>(got));
        count_received(from, static_cast<std::uint64_t>(got));
        return got;
    }
}

ssize_t CountingKernel::send_to(int fd, const char* bytes, std::size_t count, const Address& to) {
    ++messages_sent_;
    bytes_sent_ += count;
    count_list(bytes, count);
    return system_.send_to(fd, bytes, count, to);
}

}  // namespace lab
