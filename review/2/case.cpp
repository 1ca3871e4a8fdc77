// Bad clients with 60 MB to send hand the agent sessions that no lesson server knows. The agent must stay
// within its memory: the platform kills it where it does not.
#include "../standins/world.h"

using namespace review;

namespace {

constexpr int clients = 4;
constexpr std::size_t to_send = 60'000'000;
constexpr double memory_mb = 192, stays_s = 6;

// Sends one message after the other, as fast as they are taken, and reads what it is sent.
class BadClient {
public:
    BadClient(World& world, int port, std::uint64_t first_id, std::string server)
        : world_(world), fd_(open_socket()), next_id_(first_id), server_(std::move(server)) {
        const sockaddr_in address = address_of("127.0.0.1", port);
        connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        world_.loop.watch(fd_, [this](short events) { ready(events); });
        world_.loop.events(fd_, POLLIN | POLLOUT);
        world_.loop.after(stays_s, [this] { leave("its time is over"); });
    }
    ~BadClient() { leave("the end"); }

private:
    void ready(short events) {
        if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
            char bytes[4096];
            const ssize_t got = recv(fd_, bytes, sizeof bytes, 0);
            if (got == 0 || (got < 0 && errno != EAGAIN)) return leave("the agent has closed");
            answered_ += got > 0 ? static_cast<std::size_t>(got) : 0;
        }
        if ((events & POLLOUT) == 0) return;
        if (out_.empty() && sent_ < to_send) out_ = message();
        const ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno != EAGAIN) leave("the agent has closed");
            return;
        }
        sent_ += static_cast<std::size_t>(sent);
        out_.erase(0, static_cast<std::size_t>(sent));
        if (out_.empty() && sent_ >= to_send) world_.loop.events(fd_, POLLIN);
    }
    std::string message() {
        const std::uint64_t id = next_id_++;
        return Viewers::message(1, id,
                                {{64, "replay"},
                                 {72, hex(0x7f3a0001)},
                                 {74, "home:0;copies:3;top:5;viewer:" + hex(id) + ";at:" + server_},
                                 {94, "offer"}});
    }
    void leave(const char* why) {
        if (fd_ < 0) return;
        world_.loop.forget(fd_);
        close(fd_);
        fd_ = -1;
        world_.record.say("bad client: sent %zu bytes, was sent %zu, leaves: %s", sent_, answered_, why);
    }
    World& world_;
    int fd_;
    std::uint64_t next_id_;
    const std::string server_;
    std::string out_;
    std::size_t sent_ = 0, answered_ = 0;
};

int play(const std::string& folder, const std::string& file) {
    World world(folder, file, Site{});
    for (int i = 0; i < 3; ++i)
        world.add_server("s-0000000" + std::to_string(i + 1), i, i == 0 ? 2 : 1).start();
    if (!world.start()) return could_not_run;
    // The platform: the limit of memory, looked at ten times a second.
    bool over = false;
    double most = 0;
    std::function<void()> look = [&] {
        for (const auto& agent : world.agents) {
            const double used = agent->memory_mb();
            most = std::max(most, used);
            if (used <= memory_mb || over) continue;
            over = true;
            world.record.say("BROKEN: an agent uses %.0f MB of %.0f: the platform kills it", used, memory_mb);
            agent->kill_now();
        }
        world.loop.after(0.1, look);
    };
    look();
    std::vector<std::unique_ptr<BadClient>> bad;
    for (int i = 0; i < clients; ++i) {
        for (int j = 0; j < 10; ++j) {
            for (const auto& viewers : world.viewers)
                viewers->ask(j % 3 == 0 ? "attended-lesson" : "replay", 25);
            world.loop.run_for(0.2);
        }
        if (!world.trouble()) continue;
        bad.push_back(std::make_unique<BadClient>(world, world.agents[0]->port(),
                                                  0xbad0000000000000 + (static_cast<std::uint64_t>(i) << 32),
                                                  "s-00000001"));
    }
    world.loop.run_for(10);
    world.record.say("most memory of an agent: %.0f MB; over its limit: %s", most, over ? "yes" : "no");
    std::printf("most memory of an agent: %.0f MB; over its limit: %s\n", most, over ? "yes" : "no");
    bad.clear();
    if (!over && !world.all_run()) return broken;
    return over ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
