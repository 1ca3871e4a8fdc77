// SIGTERM, SIGINT and SIGHUP as a descriptor of the loop.
#pragma once

#include <functional>

#include "net/loop.h"

namespace jasperspread::ops {

// Blocks the signals for the whole process: from here on they wait for whoever reads them. To be called
// before anything else, as one that comes while the program starts would end it. Throws std::system_error.
void block_signals();

class Signals : private net::Ready {
public:
    // Throws std::system_error. The signals are blocked already.
    Signals(net::Loop& loop, std::function<void(int)> told);
    ~Signals() { loop_.forget(fd_.get()); }
    Signals(const Signals&) = delete;
    Signals& operator=(const Signals&) = delete;

private:
    void ready(short) override;
    net::Loop& loop_;
    std::function<void(int)> told_;
    net::Fd fd_;
};

}  // namespace jasperspread::ops
