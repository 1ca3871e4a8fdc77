#include "datagrams.h"

#include <poll.h>

#include <array>
#include <system_error>

namespace jasperspread::net {

Datagrams::Datagrams(Loop& loop, const Address& at, Heard heard)
    : loop_(loop), heard_(std::move(heard)), fd_(loop.kernel().open_datagram(at), &loop.kernel()) {
    if (!fd_) throw std::system_error(-fd_.get(), std::generic_category(), "can't bind " + to_text(at));
    loop_.watch(fd_.get(), POLLIN, *this);
}

void Datagrams::ready(short) {
    // So many in a turn at most: the rest of the loop has its turn too.
    constexpr int most_in_turn = 64;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): filled by the kernel
    std::array<char, 2048> bytes;  // more than any datagram that is good
    for (int i = 0; i < most_in_turn; ++i) {
        Address from;
        const ssize_t got = loop_.kernel().receive_from(fd_.get(), bytes.data(), bytes.size(), from);
        if (got < 0) return;
        heard_({bytes.data(), static_cast<std::size_t>(got)}, from);
    }
}

void Datagrams::send(std::string_view bytes, const Address& to) {
    loop_.kernel().send_to(fd_.get(), bytes.data(), bytes.size(), to);
}

}  // namespace jasperspread::net
