#include "socket_world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace lab {
namespace {

constexpr double tick_s = 0.05, starts_within_s = 10;

void write_file(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    if (!out.flush()) throw std::runtime_error("can't write " + path);
}

}  // namespace

SocketWorld::SocketWorld(const WorldPlan& plan, std::string program, std::string folder)
    : plan_(plan),
      program_(std::move(program)),
      folder_(std::move(folder)),
      loop_(kernel_),
      fleet_(plan_),
      ledger_(plan_),
      ticker_(loop_) {
    const auto anywhere = *jasperspread::net::parse_address("127.0.0.1:0");
    feed_ = std::make_unique<Feed>(loop_, plan_);
    const auto feed = feed_->listen(anywhere);
    for (int server = 0; server < plan_.servers; ++server) {
        servers_.push_back(std::make_unique<LessonServer>(
            loop_, plan_, server, fleet_, ledger_, plan_.seed * 104729 + static_cast<std::uint64_t>(server)));
        feed_->add({server, servers_.back()->listen(anywhere), "up", 0});
    }
    start_agent(feed);
    ticked_ = now();
    tick();
}

SocketWorld::~SocketWorld() {
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    viewers_.reset();
    servers_.clear();
    feed_.reset();
}

void SocketWorld::start_agent(const jasperspread::net::Address& feed) {
    const auto listen = *jasperspread::net::parse_address("127.0.0.1:0");
    write_file(folder_ + "/config.json", agent_config(plan_, 0, listen, feed, feed_->known()).dump());
    write_file(folder_ + "/key", ticket_key());
    const auto& set = plan_.handover;
    std::ostringstream yaml;
    yaml << "handover:\n  enabled: " << (plan_.agents_hand_over ? "true" : "false")
         << "\n  key_file: " << folder_ << "/key\n  hold_s: " << set.hold_s
         << "\n  probation_s: " << set.probation_s << "\n  rest_s: " << set.rest_s
         << "\n  moves_per_minute: " << set.moves_per_minute << "\n  out_of_source: " << set.out_of_source
         << "\n  into_target: " << set.into_target << "\n";
    write_file(folder_ + "/operator.yaml", yaml.str());
    const std::string log = folder_ + "/log";
    write_file(log, "");
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error("can't start a process");
    if (pid_ == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_APPEND);
        ::dup2(out, STDERR_FILENO);
        ::execl(program_.c_str(), "jasperspread", (folder_ + "/config.json").c_str(), "--operator",
                (folder_ + "/operator.yaml").c_str(), nullptr);
        ::_exit(127);
    }
    const double by = now() + starts_within_s;
    std::optional<jasperspread::net::Address> address;
    while (!address && now() < by && agent_runs()) {
        loop_.turn(0.02);
        std::ifstream in(log);
        const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        const std::string mark = "address=";
        const std::size_t at = text.find(mark), end = text.find('\n', at);
        if (at != std::string::npos && end != std::string::npos)
            address = jasperspread::net::parse_address(text.substr(at + mark.size(), end - at - mark.size()));
    }
    if (!address) throw std::runtime_error("the agent did not come up: see " + log);
    viewers_ = std::make_unique<Viewers>(loop_, plan_, 0, ledger_, plan_.seed * 7919);
    viewers_->start(*address);
}

bool SocketWorld::agent_runs() const {
    return ::kill(pid_, 0) == 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
}

double SocketWorld::agent_cpu_s() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    std::istringstream words(text.substr(text.rfind(')') + 2));
    std::string word;
    double ticks = 0;
    constexpr int user_time = 12, system_time = 13;  // of the fields after the name
    for (int i = 1; words >> word; ++i) {
        if (i == user_time || i == system_time) ticks += std::stod(word);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t SocketWorld::agent_memory_kb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    while (in >> word) {
        if (word == "VmHWM:" && in >> word) return std::stoul(word);
    }
    return 0;
}

void SocketWorld::tick() {
    const double passed = now() - ticked_;
    ticked_ = now();
    for (auto& server : servers_) server->tick(passed);
    viewers_->tick(passed);
    ticker_.set(now() + tick_s, [this] { tick(); });
}

void SocketWorld::run_for(double seconds) {
    const double until = now() + seconds;
    while (now() < until) loop_.turn(until - now());
}

bool SocketWorld::run_until(const std::function<bool()>& done, double longest) {
    const double until = now() + longest;
    while (!done()) {
        if (now() >= until) return false;
        loop_.turn(0.05);
    }
    return true;
}

void SocketWorld::finish(double settles_s) {
    viewers_->stop_arrivals();
    run_for(settles_s);
    ledger_.close(now());
}

void SocketWorld::freeze_server(int server, bool frozen) {
    servers_[static_cast<std::size_t>(server)]->freeze(frozen);
}

void SocketWorld::drain_server(int server) {
    feed_->change(server, "draining");
    ledger_.drained(server, now());
}

void SocketWorld::list_server(int server) {
    feed_->change(server, "up");
    ledger_.listed(server);
}

}  // namespace lab
