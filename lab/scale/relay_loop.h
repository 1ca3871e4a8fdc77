// A loop on a thread of its own, for the relays before the real processes: they pass on at once, whatever the
// experiment is busy with. Whoever else touches what stands on the loop holds it meanwhile.
#pragma once

#include <atomic>
#include <mutex>
#include <thread>

#include "lab/scale/counting_kernel.h"
#include "net/loop.h"

namespace lab {

class RelayLoop {
public:
    RelayLoop() : loop_(kernel_) {}
    ~RelayLoop() { end(); }
    RelayLoop(const RelayLoop&) = delete;
    RelayLoop& operator=(const RelayLoop&) = delete;

    jasperspread::net::Loop& loop() { return loop_; }
    void begin();  // once all that stands on it is there
    void end();    // before any of that goes
    [[nodiscard]] std::unique_lock<std::mutex> hold() { return std::unique_lock(mutex_); }

private:
    std::mutex mutex_;  // held by the thread but while it waits
    CountingKernel kernel_;
    jasperspread::net::Loop loop_;
    std::atomic<bool> ends_{false};
    std::thread thread_;
};

}  // namespace lab
