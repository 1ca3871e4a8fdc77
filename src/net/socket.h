// Descriptors that close themselves, and IPv4 addresses as text.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jasperspread::net {

class Fd {
public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    ~Fd() { reset(); }
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    void reset();

private:
    int fd_ = -1;
};

struct Address {
    sockaddr_in in{};
    const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&in); }
};

// "10.0.0.4:2905"; nullopt for anything else. There is no name lookup: the platform has none.
std::optional<Address> parse_address(std::string_view text);
std::string to_text(const Address& address);

// A stream socket that neither blocks nor outlives exec; empty, with errno set, where there is none left.
Fd stream_socket();
void send_at_once(int fd);  // no waiting to fill a segment

}  // namespace jasperspread::net
