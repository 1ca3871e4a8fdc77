// Descriptors that close themselves, and IPv4 addresses as text.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jasperspread::net {

class Kernel;

class Fd {
public:
    Fd() = default;
    // Closed by the kernel that gave it, by default the system's.
    explicit Fd(int fd, Kernel* kernel = nullptr) : fd_(fd), kernel_(kernel) {}
    ~Fd() { reset(); }
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)), kernel_(other.kernel_) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) {
            reset();
            fd_ = std::exchange(other.fd_, -1);
            kernel_ = other.kernel_;
        }
        return *this;
    }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    void reset();

private:
    int fd_ = -1;
    Kernel* kernel_ = nullptr;
};

struct Address {
    sockaddr_in in{};
    const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&in); }
    bool operator==(const Address& other) const {
        return in.sin_addr.s_addr == other.in.sin_addr.s_addr && in.sin_port == other.in.sin_port;
    }
};

// "10.0.0.4:2905"; nullopt for anything else. There is no name lookup: the platform has none.
std::optional<Address> parse_address(std::string_view text);
std::string to_text(const Address& address);

}  // namespace jasperspread::net
