#include "stage.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>

namespace net_test {

using jasperspread::net::SystemKernel;

constexpr std::size_t never = std::numeric_limits<std::size_t>::max();
const Way by_poll{"poll", {never, 0}};
const Way by_interest_list{"interest list", {0, 0}};
const std::vector<Way> ways = {
    by_poll,
    by_interest_list,
    {"usual thresholds", {}},
    {"low thresholds", {4, 2}},
    {"interest lists are not there", {0, 0}, ENOSYS},
    {"interest lists are refused", {0, 0}, EPERM},
    {"interest lists take nothing", {0, 0}, 0, ENOSPC},
};

Stage::Stage(bool simulated, const Way& way, std::size_t descriptors) {
    if (simulated) {
        network_ = std::make_unique<lab::Network>(7, lab::Delay{0.0002, 0});
        lab::Host& near = network_->add_host(descriptors);
        lab::Host& far = network_->add_host(25000);
        kernel_ = std::make_unique<CountingKernel>(near);
        far_ = &far;
        listen_at_ = near.address(0);
    } else {
        system_ = std::make_unique<SystemKernel>();
        far_system_ = std::make_unique<SystemKernel>();
        kernel_ = std::make_unique<CountingKernel>(*system_);
        far_ = far_system_.get();
        listen_at_ = *jasperspread::net::parse_address("127.0.0.1:0");
    }
    kernel_->refuse_lists = way.refuse_lists;
    kernel_->refuse_adds = way.refuse_adds;
    loop_ = std::make_unique<Loop>(*kernel_, way.thresholds);
}

Stage::~Stage() {
    for (const int fd : std::vector<int>(far_open_)) far_close(fd);
}

bool Stage::pass(double seconds, const std::function<bool()>& until) {
    constexpr double step_s = 0.001;
    const double end = kernel_->now() + seconds;
    while (!until()) {
        const double left = end - kernel_->now();
        if (left <= 0) return false;
        loop_->turn(network_ ? 0 : std::min(left, step_s));
        if (network_) network_->run_until(network_->now() + step_s);
    }
    return true;
}

void Stage::sleep(double seconds) {
    if (network_) return network_->run_until(network_->now() + seconds);
    ::usleep(static_cast<useconds_t>(seconds * 1e6));
}

std::vector<Stage::Ends> Stage::connected(std::size_t count) {
    constexpr std::size_t batch = 64;  // less than any backlog
    Fd listening(kernel_->listen(listen_at_), kernel_.get());
    REQUIRE_GE(listening.get(), 0);
    const Address at = kernel_->local_address(listening.get());
    std::vector<Ends> all;
    while (all.size() < count) {
        const std::size_t first = all.size(), last = std::min(count, first + batch);
        for (std::size_t i = first; i < last; ++i) all.push_back({Fd(), far_connect(at)});
        sleep(0.002);
        for (std::size_t i = first; i < last; ++i) {
            all[i].near = Fd(kernel_->accept(listening.get()), kernel_.get());
            REQUIRE_GE(all[i].near.get(), 0);
        }
    }
    return all;
}

Fd Stage::open_at(int number) {
    while (true) {
        Fd fd(kernel_->open_datagram(listen_at_), kernel_.get());
        REQUIRE_GE(fd.get(), 0);
        REQUIRE_LE(fd.get(), number);
        if (fd.get() == number) return fd;
        fillers_.push_back(std::move(fd));
    }
}

int Stage::far_connect(const Address& to) {
    const int fd = far_->open_stream();
    REQUIRE_GE(fd, 0);
    const int result = far_->connect(fd, to);
    REQUIRE((result == 0 || result == -EINPROGRESS));
    far_open_.push_back(fd);
    return fd;
}

void Stage::far_send(int fd, const std::string& bytes) {
    REQUIRE_EQ(far_->send(fd, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
}

std::string Stage::far_receive(int fd) {
    std::string all;
    std::array<char, 65536> bytes{};
    while (true) {
        const ssize_t got = far_->receive(fd, bytes.data(), bytes.size());
        if (got <= 0) return all;
        all.append(bytes.data(), static_cast<std::size_t>(got));
    }
}

void Stage::far_close(int fd) {
    far_open_.erase(std::find(far_open_.begin(), far_open_.end(), fd));
    far_->close(fd);
}

void Stage::far_reset(int fd) {
    REQUIRE_GT(far_->unread(fd), 0U);
    far_close(fd);
}

void on_every_stage(const std::function<void(Stage&)>& body) {
    for (const bool simulated : {false, true}) {
        for (const Way& way : ways) {
            CAPTURE(simulated);
            CAPTURE(way.name);
            Stage stage(simulated, way);
            body(stage);
        }
    }
}

std::string Watched::take() {
    std::string all;
    std::array<char, 4096> bytes{};
    while (true) {
        const ssize_t got = loop_.kernel().receive(fd(), bytes.data(), bytes.size());
        if (got <= 0) return all;
        all.append(bytes.data(), static_cast<std::size_t>(got));
    }
}

}  // namespace net_test
