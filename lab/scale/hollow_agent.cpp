#include "lab/scale/hollow_agent.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>

#include "codec/message.h"

namespace lab {

namespace agent = jasperspread::agent;
namespace net = jasperspread::net;
namespace ops = jasperspread::ops;

namespace {

std::string text_of(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// Ends the wait of a loop from another thread.
class Waker final : public net::Ready {
public:
    Waker(net::Loop& loop, std::atomic<int>& told)
        : loop_(loop), told_(told), fd_(::eventfd(0, EFD_CLOEXEC)) {
        loop_.watch(fd_, POLLIN, *this, net::Order::Early);
        told_ = fd_;
    }
    ~Waker() {
        told_ = -1;
        loop_.forget(fd_);
        ::close(fd_);
    }
    void ready(short) override {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t got = ::read(fd_, &count, sizeof count);
    }

private:
    net::Loop& loop_;
    std::atomic<int>& told_;
    const int fd_;
};

double thread_cpu_s(pthread_t thread) {
    clockid_t clock{};
    timespec spent{};
    if (::pthread_getcpuclockid(thread, &clock) != 0 || ::clock_gettime(clock, &spent) != 0) return 0;
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

std::string value_of(std::initializer_list<agent::Field> fields, std::string_view key) {
    for (const agent::Field& field : fields) {
        if (field.key == key) return field.value;
    }
    return "";
}

}  // namespace

void EventQueue::push(AgentEvent event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
}

std::vector<AgentEvent> EventQueue::take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(events_, {});
}

std::uint64_t EventLog::token_of(const std::string& name) const {
    if (watched_ == nullptr || watched_->peers() == nullptr) return 0;
    const auto& members = watched_->peers()->membership().members();
    const auto it = members.find(name);
    return it == members.end() ? 0 : it->second.record.incarnation.token;
}

void EventLog::talks() {
    const auto& self = watched_->peers()->membership().self();
    queue_.push({AgentEvent::What::Talks, agent_, kernel_.now(), 0, self.address, self.incarnation.token});
}

void EventLog::write(agent::Level, std::string_view event, std::initializer_list<agent::Field> fields) {
    AgentEvent told;
    told.agent = agent_;
    told.at = kernel_.now();
    if (event == "list_in_force") {
        told.what = AgentEvent::What::ListInForce;
        told.number = static_cast<std::uint64_t>(
            jasperspread::codec::parse_number(value_of(fields, "number")).value_or(0));
    } else if (event == "fleet" && value_of(fields, "what") == "died") {
        told.what = AgentEvent::What::Died;
        told.name = value_of(fields, "name");
        told.token = token_of(told.name);
    } else {
        return;
    }
    queue_.push(std::move(told));
}

void HollowAgent::start(const StartAgent& order) {
    kill();
    agent::Config config = agent::read_config(text_of(order.folder + "/config.json"));
    const auto settings = ops::load_operator(order.folder + "/operator.yaml");
    const std::string key = text_of(settings.fleet.key_file);
    ends_ = false;
    thread_ = std::thread([this, config = std::move(config), settings, key, machine_s = order.machine_s] {
        try {
            live(config, settings, key, machine_s);
        } catch (const std::exception& error) {
            std::fprintf(stderr, "hollow agent %d: %s\n", agent_, error.what());
        }
    });
}

// As ops::run_program wires it, without what a hollow one lacks: viewers, a disk and signals.
void HollowAgent::live(agent::Config config, const ops::OperatorSettings& settings, const std::string& key,
                       double machine_s) {
    net::Loop loop(kernel_);
    Waker waker(loop, wake_);
    agent::Agent own(loop, log_, std::move(config));
    agent::RecoveryOrder recovery;
    recovery.settings = settings.recovery;
    recovery.machine_s = machine_s;
    recovery.asks_scope = false;
    own.recover(recovery);
    own.talk({settings.fleet, key});
    log_.watch(&own);
    log_.talks();
    while (!ends_) {
        loop.turn();
        present_ = own.peers()->membership().present();
    }
    log_.watch(nullptr);
}

void HollowAgent::kill() {
    if (!thread_.joinable()) return;
    ends_ = true;
    const std::uint64_t one = 1;
    // Before the loop is there it sees `ends_` by itself.
    const int fd = wake_;
    [[maybe_unused]] const ssize_t written = fd >= 0 ? ::write(fd, &one, sizeof one) : 0;
    cpu_before_s_ += thread_cpu_s(thread_.native_handle());
    thread_.join();
    present_ = 0;
}

AgentSample HollowAgent::sample() {
    AgentSample sample;
    sample.agent = agent_;
    sample.cpu_s = cpu_before_s_;
    if (thread_.joinable()) sample.cpu_s += thread_cpu_s(thread_.native_handle());
    sample.traffic = kernel_.traffic();
    sample.present = present_;
    return sample;
}

}  // namespace lab
