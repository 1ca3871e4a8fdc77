// Accepts connections. Out of descriptors it pauses for a moment instead of spinning on a ready socket.
#pragma once

#include <functional>

#include "loop.h"
#include "socket.h"

namespace jasperspread::net {

class Listener : private Ready {
public:
    // Throws std::system_error when the address can't be listened at. `room` is asked before each accept;
    // while it says no, newcomers wait in the backlog, and `starved` is told when descriptors have run out.
    struct Callbacks {
        std::function<void(Fd)> accepted;
        std::function<bool()> room;
        std::function<void()> starved;
    };
    Listener(Loop& loop, const Address& at, Callbacks callbacks);
    ~Listener() { loop_.forget_closing(fd_.get()); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    Address address() const;  // with the port that the kernel gave
    // Accepts those who wait already, room or not, and no more: whoever comes later is refused.
    void close();

private:
    void ready(short events) override;
    bool accept_while(const std::function<bool()>& may);  // true: nobody waits any more
    void listen_again();

    Loop& loop_;
    Callbacks callbacks_;
    Fd fd_;
    Timer pause_;
};

}  // namespace jasperspread::net
