// What the tests of the loop share: a loop on the system's kernel or on a simulated one, asked for readiness
// in each of its ways, and a far end for its connections.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "counting_kernel.h"
#include "lab/sim/network.h"
#include "net/loop.h"

namespace net_test {

using jasperspread::net::Fd;
using jasperspread::net::Loop;
using jasperspread::net::Order;
using jasperspread::net::Poller;
using jasperspread::net::Ready;

struct Way {
    std::string name;
    Poller::Thresholds thresholds;
    int refuse_lists = 0;  // errno
    int refuse_adds = 0;
};
extern const std::vector<Way> ways;  // all of them; each must give the same
extern const Way by_poll, by_interest_list;

class Stage {
public:
    // `descriptors`: of the simulated near host.
    Stage(bool simulated, const Way& way, std::size_t descriptors = 25000);
    ~Stage();

    CountingKernel& kernel() { return *kernel_; }
    Loop& loop() { return *loop_; }
    Address listen_at() const { return listen_at_; }

    // Turns the loop while time passes; `until` ends it early and is told back.
    bool pass(
        double seconds, const std::function<bool()>& until = [] { return false; });
    void sleep(double seconds);  // time passes, and the loop is not turned

    // Connections that are up: the near end's descriptor and the far end's.
    struct Ends {
        Fd near;
        int far = -1;
    };
    std::vector<Ends> connected(std::size_t count);
    // A new datagram socket of the near end under this number, which must be free.
    Fd open_at(int number);

    // The far end, by a kernel of its own. Descriptors are closed with the stage.
    Kernel& far() { return *far_; }
    int far_connect(const Address& to);
    void far_send(int fd, const std::string& bytes);
    std::string far_receive(int fd);  // what has come
    void far_close(int fd);
    void far_reset(int fd);  // closed with something unread, which must have come already

private:
    std::unique_ptr<lab::Network> network_;
    std::unique_ptr<jasperspread::net::SystemKernel> system_, far_system_;
    std::unique_ptr<CountingKernel> kernel_;
    Kernel* far_ = nullptr;
    std::unique_ptr<Loop> loop_;
    Address listen_at_;
    std::vector<int> far_open_;
    std::vector<Fd> fillers_;  // of lower numbers, so that one gets the number that it is to have
};

// Calls `body` for each way on each kernel, and names both where a check fails.
void on_every_stage(const std::function<void(Stage&)>& body);

// A descriptor on the loop, with a function that is called when it is ready.
class Watched final : public Ready {
public:
    Watched(Loop& loop, Fd fd, std::function<void(Watched&, short)> told)
        : loop_(loop), fd_(std::move(fd)), told_(std::move(told)) {}
    ~Watched() { close(); }
    Watched(const Watched&) = delete;
    Watched& operator=(const Watched&) = delete;

    int fd() const { return fd_.get(); }
    void watch(short events, Order order = Order::Usual) { loop_.watch(fd(), events, *this, order); }
    void forget() { loop_.forget(fd()); }
    void close() {
        loop_.forget_closing(fd());
        fd_.reset();
    }
    std::string take();  // what has come
    std::size_t calls = 0;

private:
    void ready(short events) override {
        ++calls;
        // A copy, as the callback may destroy this object, and the function with it.
        const auto told = told_;
        told(*this, events);
    }

    Loop& loop_;
    Fd fd_;
    std::function<void(Watched&, short)> told_;
};

}  // namespace net_test
