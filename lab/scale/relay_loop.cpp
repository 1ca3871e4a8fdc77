#include "lab/scale/relay_loop.h"

namespace lab {

void RelayLoop::begin() {
    thread_ = std::thread([this] {
        std::unique_lock held(mutex_);
        kernel_.around_waits([&held] { held.unlock(); }, [&held] { held.lock(); });
        constexpr double looks_every_s = 0.1;  // whether it is to end
        while (!ends_) loop_.turn(looks_every_s);
        kernel_.around_waits({}, {});
    });
}

void RelayLoop::end() {
    ends_ = true;
    if (thread_.joinable()) thread_.join();
}

}  // namespace lab
