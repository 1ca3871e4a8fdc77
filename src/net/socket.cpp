#include "socket.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <array>
#include <charconv>

#include "kernel.h"

namespace jasperspread::net {

void Fd::reset() {
    if (fd_ >= 0 && kernel_ != nullptr) kernel_->close(fd_);
    if (fd_ >= 0 && kernel_ == nullptr) ::close(fd_);
    fd_ = -1;
}

std::optional<Address> parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string host(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    Address address;
    address.in.sin_family = AF_INET;
    if (::inet_pton(AF_INET, host.c_str(), &address.in.sin_addr) != 1) return std::nullopt;
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc{} || end != port.data() + port.size()) return std::nullopt;
    address.in.sin_port = htons(number);
    return address;
}

std::string to_text(const Address& address) {
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &address.in.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(address.in.sin_port));
}

}  // namespace jasperspread::net
