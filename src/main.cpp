// jasperspread: the session agent. Wires the parts together and handles signals; decides nothing.
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <system_error>

#include "agent/config.h"
#include "agent/feed_client.h"
#include "agent/log.h"
#include "agent/server_links.h"
#include "agent/session_table.h"
#include "agent/viewer_side.h"
#include "net/buffer_pool.h"
#include "net/loop.h"

namespace {

using namespace jasperspread;

// After SIGTERM new set-ups keep coming for 0.6 s or so, and none may be lost: no end before this, s.
constexpr double stay_least = 0.9;
// Sessions that play are worth staying for. SIGKILL comes no sooner than the longest deadline, 3 s at most,
// and 0.7 s after SIGTERM: so long after that deadline the program goes by itself, s.
constexpr double longest_counted = 3.0, stay_over_deadline = 0.4;

// SIGTERM, SIGINT and SIGHUP as a descriptor of the loop.
class Signals : private net::Ready {
public:
    Signals(net::Loop& loop, std::function<void(int)> told) : loop_(loop), told_(std::move(told)) {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGHUP);
        if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0)
            throw std::system_error(errno, std::generic_category());
        fd_ = net::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
        if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
        loop_.watch(fd_.get(), POLLIN, *this);
    }
    ~Signals() { loop_.forget(fd_.get()); }
    Signals(const Signals&) = delete;
    Signals& operator=(const Signals&) = delete;

private:
    void ready(short) override {
        signalfd_siginfo info;
        while (read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
            told_(static_cast<int>(info.ssi_signo));
        }
    }
    net::Loop& loop_;
    std::function<void(int)> told_;
    net::Fd fd_;
};

std::string config_path(int argc, char** argv) {
    const char* path = argc > 1 ? argv[1] : std::getenv("RELAY_CONFIG");
    if (path == nullptr)
        throw agent::SettingsError("expected RELAY_CONFIG or an argument to name the configuration");
    return path;
}

agent::Config load_config(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw agent::SettingsError("expected a readable configuration at " + path);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return agent::read_config(text);
}

// Holds the process to the descriptors that it was given, so that running out shows here first.
void limit_descriptors(std::size_t most) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max < most ? limit.rlim_max : most;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void serve(const std::string& path, agent::Config config) {
    net::Loop loop;
    net::BufferPool pool;
    double term_at = 0;
    std::function<void()> reload;  // a signal that comes before it is there waits for the loop's first turn
    Signals signals(loop, [&](int signal) {
        if (signal == SIGHUP) return reload();
        if (term_at == 0) agent::log_line("asked to end");
        if (term_at == 0) term_at = net::unix_now();
    });

    constexpr std::size_t spare = 24;  // standard streams, listener, feed, signals, and some to breathe
    const std::size_t viewers_most = config.descriptors / 2, closing_most = config.descriptors / 8;
    const cinderfront::Settings& settings = config.profile.settings;
    agent::LinkLimits limits;
    constexpr double usual_connect_timeout = 0.25;
    constexpr std::size_t usual_streams = 32;
    const agent::Profile& profile = config.profile;
    limits.connect_timeout = profile.connect_timeout > 0 ? profile.connect_timeout : usual_connect_timeout;
    limits.conn_idle = profile.conn_idle;
    limits.streams_per_conn = profile.streams_per_conn > 0 ? profile.streams_per_conn : usual_streams;
    const std::size_t kept = viewers_most + closing_most + std::min(spare, config.descriptors / 4);
    limits.connections = config.descriptors - kept;
    limits.note_every = settings.told_every;
    limits.note_late = settings.told_late;

    agent::SessionTable sessions(loop, settings, config.seed, config.directory);
    agent::ServerLinks servers(loop, pool, sessions, config.directory, limits);
    agent::ViewerSide viewers(loop, pool, sessions, profile, config.listen, viewers_most, closing_most);
    sessions.connect(viewers, servers);
    sessions.listed(config.directory.restored());
    agent::FeedClient feed(
        loop, pool, config.feed, profile, config.known_number, [&](const agent::ListChange& change) {
            const auto list = config.directory.apply(change);
            sessions.listed(list);
            servers.listed();
            config.directory.forget_gone(net::unix_now(),
                                         [&](agent::ServerNumber number) { return servers.holds(number); });
        });
    // Guards against a file that is half written or wrong: the program goes on with what it has. Only the
    // feed's address can change while sessions stand; all else counts from the next start.
    reload = [&] {
        try {
            feed.move_to(load_config(path).feed);
        } catch (const std::exception& error) {
            agent::log_line(std::string("asked to reread the configuration, keeps the old one: ") +
                            error.what());
        }
    };
    agent::log_line(config.name + " listens at " + net::to_text(viewers.address()));

    net::Timer wake(loop);
    double deadline = 0;
    for (const auto& cls : settings.classes) deadline = std::max(deadline, cls.deadline);
    const double stay_most = std::max(stay_least, std::min(deadline, longest_counted) + stay_over_deadline);
    const auto may_end = [&] {
        const double stayed = net::unix_now() - term_at;
        if (term_at == 0 || stayed < stay_least || sessions.unanswered() > 0) return false;
        return sessions.standing() == 0 || stayed >= stay_most;
    };
    while (!may_end()) {
        constexpr double look_every = 0.05;
        if (term_at != 0 && !wake.is_set()) wake.set(net::unix_now() + look_every, [] {});
        loop.turn();
    }
    agent::log_line("ends with " + std::to_string(sessions.standing()) + " sessions standing");
    sessions.end_all();
    viewers.finish();
    constexpr double last_words = 0.2;
    const double until = net::unix_now() + last_words;
    wake.set(until, [] {});
    while (viewers.connections() > 0 && net::unix_now() < until) loop.turn();
}

}  // namespace

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    try {
        const std::string path = config_path(argc, argv);
        agent::Config config = load_config(path);
        limit_descriptors(config.descriptors);
        serve(path, std::move(config));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasperspread: %s\n", error.what());
        return 2;
    }
    return 0;
}
