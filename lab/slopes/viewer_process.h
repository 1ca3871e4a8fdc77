// The viewers of one agent in a process of their own: connections that rest, set-ups one at a time or many at
// once, and the moments at which ends are heard. One order at a time; a report tells that it is carried out.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>

#include "lab/sim/network.h"
#include "net/loop.h"

namespace lab {

// The id of the first session that a process of viewers asks for or claims; the others follow.
constexpr std::uint64_t claimed_from = (1ULL << 32) + 1;

struct ViewerOrder {
    enum class What : std::uint32_t {
        Connect,     // `count` more connections; each passes a test, as a viewer that rests has spoken
        Disconnect,  // `count` of them in order, one at a time, the next once the agent has closed the last
        SetUp,       // `count` sessions, `at_once` open at most, each on the next connection in turn
        Claim,       // `count` sessions that play at the first server, as after a restart of their agent
        AwaitEnds,   // until `count` sessions in all have been told over since the last SetUp
        Reset,       // `count` of them at once, without a word
    };
    What what = What::Connect;
    std::uint32_t count = 0, at_once = 1;
    bool leaves = false;             // a viewer releases its session once it is answered
    bool first_only = false;         // all set-ups on the first connection
    bool mute = false;               // no end that is heard is answered from here on
    std::uint32_t cells = 1;         // titles are held by one cell each, of so many, in turn
    std::uint32_t port = 0, ip = 0;  // of the agent, in network order; for Connect
};

struct ViewerReport {
    std::uint32_t done = 0, refused = 0, connections = 0;
    double began = 0, ended = 0;  // Unix time, s
    double p99 = 0, last = 0;     // of ends heard, Unix time, s
};

class ViewerProcess : private jasperspread::net::Ready {
public:
    // Forks, so this comes before anything that a child should not hold. Throws std::system_error.
    ViewerProcess();
    ~ViewerProcess();  // ends the child
    ViewerProcess(const ViewerProcess&) = delete;
    ViewerProcess& operator=(const ViewerProcess&) = delete;

    // Reports come by this loop from here on.
    void attach(jasperspread::net::Loop& loop);
    void detach();  // before the loop goes
    void order(const ViewerOrder& order);
    bool is_done() const { return done_; }  // the last order is carried out
    const ViewerReport& report() const { return report_; }

private:
    void ready(short events) override;

    pid_t child_ = -1;
    int channel_ = -1;
    jasperspread::net::Loop* loop_ = nullptr;
    bool done_ = true;
    ViewerReport report_;
};

// What the child does: serves orders from `channel` until that is closed.
void serve_viewers(int channel);

}  // namespace lab
