// A socket for datagrams on the loop.
#pragma once

#include <functional>
#include <string_view>

#include "loop.h"
#include "socket.h"

namespace jasperspread::net {

class Datagrams : private Ready {
public:
    using Heard = std::function<void(std::string_view bytes, const Address& from)>;
    // Throws std::system_error where it can't be bound.
    Datagrams(Loop& loop, const Address& at, Heard heard);
    ~Datagrams() { loop_.forget_closing(fd_.get()); }
    Datagrams(const Datagrams&) = delete;
    Datagrams& operator=(const Datagrams&) = delete;

    Address address() const { return loop_.kernel().local_address(fd_.get()); }
    void send(std::string_view bytes, const Address& to);  // may be lost, here as on the way

private:
    void ready(short) override;

    Loop& loop_;
    const Heard heard_;
    Fd fd_;
};

}  // namespace jasperspread::net
