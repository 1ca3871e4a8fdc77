#include "lab/scale/counting_kernel.h"

#include "lab/scale/datagram_kind.h"

namespace lab {

bool is_list(std::string_view datagram) {
    return kind_of(datagram) == jasperspread::fleet::Kind::List;
}

void CountingKernel::FromReal::add(std::string_view datagram) {
    ++messages;
    bytes += datagram.size();
    if (!is_list(datagram)) return;
    ++lists;
    list_bytes += datagram.size();
}

Traffic CountingKernel::traffic() const {
    return {messages_sent_, messages_received_, bytes_sent_,      bytes_received_,     stream_bytes_,
            lists_sent_,    lists_received_,    list_bytes_sent_, list_bytes_received_};
}

CountingKernel::FromReal CountingKernel::from_real(int agent) const {
    const auto at = static_cast<std::size_t>(agent);
    return {real_messages_[at], real_bytes_[at], real_lists_[at], real_list_bytes_[at]};
}

bool CountingKernel::is_blocked(const Address& from) const {
    const int zone = zone_of(from);
    return zone >= 0 && (blocked_ >> zone & 1U) != 0;
}

void CountingKernel::count_sent(std::string_view datagram) {
    ++messages_sent_;
    bytes_sent_ += datagram.size();
    if (!is_list(datagram)) return;
    ++lists_sent_;
    list_bytes_sent_ += datagram.size();
}

void CountingKernel::count_received(const Address& from, std::string_view datagram) {
    const bool list = is_list(datagram);
    ++messages_received_;
    bytes_received_ += datagram.size();
    lists_received_ += list ? 1 : 0;
    list_bytes_received_ += list ? datagram.size() : 0;
    const int real = real_agent_of(from);
    if (real < 0) return;
    const auto at = static_cast<std::size_t>(real);
    ++real_messages_[at];
    real_bytes_[at] += datagram.size();
    real_lists_[at] += list ? 1 : 0;
    real_list_bytes_[at] += list ? datagram.size() : 0;
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
        count_received(from, {bytes, static_cast<std::size_t>(got)});
        return got;
    }
}

ssize_t CountingKernel::send_to(int fd, const char* bytes, std::size_t count, const Address& to) {
    count_sent({bytes, count});
    return system_.send_to(fd, bytes, count, to);
}

}  // namespace lab
