// A server that does the same on each new connection, by itself, while a scenario goes on.
#pragma once

#include <string>
#include <thread>
#include <vector>

#include "net/socket.h"

namespace scenario {

struct ConnectionScript {
    std::string writes;   // as soon as it is accepted
    double pause_s = 0;   // between pieces of a few bytes; 0: all at once
    bool closes = false;  // once that is written
    bool resets = false;  // closes by a reset
};

class AutomaticServer {
public:
    // `listening` must live until this object is gone.
    AutomaticServer(int listening, ConnectionScript script);
    ~AutomaticServer();
    AutomaticServer(const AutomaticServer&) = delete;
    AutomaticServer& operator=(const AutomaticServer&) = delete;

private:
    void run();
    void serve(jasperspread::net::Fd connection) const;
    bool pause(double seconds) const;  // false: this object is about to go

    const int listening_;
    const ConnectionScript script_;
    jasperspread::net::Fd stop_read_, stop_write_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

}  // namespace scenario
