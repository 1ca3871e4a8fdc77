// A simulated network in virtual time: hosts with kernels of their own, joined by TCP as far as src/net can
// see it. Deterministic: the same seed and calls give the same run, which trace() sums up.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/kernel.h"
#include "net/loop.h"

namespace lab {

using jasperspread::net::Address;

class Network;

struct Delay {  // one way, s
    double least_s = 0.0002, jitter_s = 0.0001;
};

// What becomes of datagrams, each by chance.
struct Lossy {
    double lost = 0, repeated = 0, late = 0;  // parts
    double late_s = 0.5;                      // by which a late one is later
};

// One machine: its sockets, and the process that runs on it.
class Host final : public jasperspread::net::Kernel {
public:
    Host(Network& network, std::uint32_t address, std::size_t descriptors);

    Address address(std::uint16_t port) const;
    jasperspread::net::Loop& loop() { return *loop_; }
    // What is to be done after each turn of the loop; false: the process has ended.
    void run(std::function<bool()> after_turn);
    void wake();  // a turn as soon as possible

    // The process dies: its connections are reset, `destroy` drops what stood on its loop, and the loop
    // begins anew.
    void kill(const std::function<void()>& destroy);
    void stop(bool stopped);     // as SIGSTOP and SIGCONT
    void vanish(bool vanished);  // the machine, with all that is on it
    bool is_stopped() const { return stopped_; }
    std::size_t descriptors_in_use() const { return sockets_.size(); }

    double now() override;
    std::uint64_t random() override;
    int poll(pollfd* polled, std::size_t count, double wait_s) override;
    int create_interest_list() override;
    int add_interest(int list, int fd, short events, std::uint64_t tag) override;
    int modify_interest(int list, int fd, short events, std::uint64_t tag) override;
    int remove_interest(int list, int fd) override;
    int wait(int list, jasperspread::net::ReadyEvent* ready, std::size_t room, double wait_s) override;
    int listen(const Address& where) override;
    int accept(int fd) override;
    int open_stream() override;
    int connect(int fd, const Address& to) override;
    int connect_error(int fd) override;
    Address local_address(int fd) override;
    Address peer_address(int fd) override;
    ssize_t receive(int fd, char* bytes, std::size_t room) override;
    ssize_t send(int fd, const char* bytes, std::size_t count) override;
    int open_datagram(const Address& where) override;
    ssize_t receive_from(int fd, char* bytes, std::size_t room, Address& from) override;
    ssize_t send_to(int fd, const char* bytes, std::size_t count, const Address& to) override;
    std::size_t unread(int fd) override;
    void shut_output(int fd) override;
    void close(int fd) override;

private:
    friend class Network;
    enum class Phase { Fresh, Connecting, Up, Failed, Listening, Datagrams, InterestList };
    struct Interest {  // of an interest list in a descriptor
        short events = 0;
        std::uint64_t tag = 0;
    };
    struct Socket {
        std::uint64_t number = 0;  // of all that ever were
        Phase phase = Phase::Fresh;
        std::uint16_t port = 0;
        std::deque<std::uint64_t> backlog;  // accepted by the kernel, not yet by the process
        Host* peer_host = nullptr;
        std::uint64_t peer = 0;
        std::string in;
        bool in_ended = false, reset = false, out_ended = false;
        std::size_t in_flight = 0;  // sent and not yet received by the peer's process
        int error = 0;
        std::deque<std::pair<Address, std::string>> datagrams;
        double last_arrival = 0;  // of what was sent: later bytes never overtake
        // Of an interest list: by descriptor, and those of them that may have become ready since they were
        // last found not to be.
        std::map<int, Interest> interests;
        std::set<int> candidates;
        // Of any other: the lists that it stands in.
        std::vector<std::weak_ptr<Socket>> interested;
        int fd = -1;
    };
    using SocketPtr = std::shared_ptr<Socket>;

    int give_descriptor(SocketPtr socket);
    Socket* at(int fd);
    SocketPtr by_number(std::uint64_t number);
    short readiness(const Socket& socket) const;
    void touched(Socket& socket);
    int set_interest(int list, int fd, short events, std::uint64_t tag, bool is_new);
    void turn();
    void schedule();
    void tell_peer(Socket& from, std::function<void(Host&, Socket&)> what, bool data = false);
    SocketPtr make_socket(Phase phase);
    void drop(const SocketPtr& socket, bool hard);

    Network& network_;
    const std::uint32_t address_;
    const std::size_t descriptors_;
    std::function<bool()> after_turn_;
    std::map<int, SocketPtr> sockets_;        // by descriptor
    std::map<std::uint16_t, int> listeners_;  // by port
    std::map<std::uint16_t, std::set<int>> datagram_ports_;
    std::set<int> free_;                                  // below the highest that was ever given
    int next_descriptor_ = 3;                             // the lowest that never was
    std::map<std::uint64_t, SocketPtr> pending_;          // in a backlog
    std::map<std::uint64_t, std::weak_ptr<Socket>> all_;  // by number
    std::uint16_t next_port_ = 40000;
    bool stopped_ = false, vanished_ = false;
    bool turn_due_ = false;
    double wake_at_ = 0;
    std::uint64_t wake_serial_ = 0;
    std::unique_ptr<jasperspread::net::Loop>
        loop_;  // last: it closes its interest list while the rest is there
};

class Network {
public:
    using Delay = lab::Delay;
    explicit Network(std::uint64_t seed, Delay delay = {}) : random_(seed), delay_(delay) {}

    Host& add_host(std::size_t descriptors = 1024);
    double now() const { return now_; }
    std::mt19937_64& random() { return random_; }
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    void at(double when, std::function<void()> what);
    // Runs what is due up to `until`.
    void run_until(double until);

    // Between two hosts: bytes and connects wait until it heals.
    void cut(const Host& a, const Host& b, bool is_cut);
    void set_delay(const Host& a, const Host& b, Delay delay);
    void set_lossy(const Lossy& lossy) { lossy_ = lossy; }
    // Datagrams from one to the other are lost; the other way is as it was.
    void cut_one_way(const Host& from, const Host& to, bool is_cut);
    // For the loops of hosts that are added after this.
    void set_thresholds(const jasperspread::net::Poller::Thresholds& thresholds) { thresholds_ = thresholds; }
    // Receives and sends end early with this chance.
    void set_short_io(double chance) { short_io_ = chance; }

    std::uint64_t trace() const { return trace_; }
    std::uint64_t happenings() const { return done_; }

private:
    friend class Host;
    struct Happening {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> what;
        bool operator<(const Happening& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    using Pair = std::pair<std::uint32_t, std::uint32_t>;
    static Pair pair_of(const Host& a, const Host& b);
    double arrival(const Host& from, const Host& to, double after);
    // Delivers over the link between two hosts, once it is whole.
    void carry(Host& from, Host& to, double when, std::function<void()> what);
    Host* host_at(const Address& address);
    void note(const void* bytes, std::size_t count);

    std::mt19937_64 random_;
    Delay delay_;
    Lossy lossy_;
    jasperspread::net::Poller::Thresholds thresholds_;
    std::set<Pair> deaf_;  // from, to
    double now_ = 1.0e9;   // any Unix time will do
    double short_io_ = 0;
    std::priority_queue<Happening> queue_;
    std::uint64_t entered_ = 0, done_ = 0, trace_ = 0, sockets_ = 0;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::set<Pair> cut_;
    std::map<Pair, Delay> delays_;
    std::map<Pair, std::vector<std::function<void()>>> held_;
};

}  // namespace lab
