// One agent in virtual time on a kernel that counts, with a server, a feed and viewers: the same counts in
// each run, whatever the machine does meanwhile.
#pragma once

#include <memory>
#include <set>

#include "agent/agent.h"
#include "lab/sim/network.h"
#include "lab/slopes/counting_kernel.h"
#include "lab/slopes/parties.h"

namespace lab {

// Viewers that rest, and ask for what they are told to ask for.
class CountedViewers final : public Party {
public:
    explicit CountedViewers(jasperspread::net::Loop& loop) : Party(loop) {}
    void connect_more(const Address& agent, int connections);
    void close_one();
    // On the connection that came first, or on each connection in turn; `leaves`: once it is answered.
    void ask(bool leaves, bool on_each = false);

    int tested = 0, left_connections = 0;  // connections that rest, and that were closed in order
    int answered = 0, released = 0, ended = 0;

private:
    void opened(Connection& connection) override;
    void left(std::uint64_t number, Connection::End) override;
    std::size_t heard(std::uint64_t number, std::string_view bytes) override;
    void take(Connection& on, const jasperspread::codec::ViewerMessage& message);

    std::uint64_t serial_ = 0;
    std::set<std::uint64_t> leaving_, standing_;
};

class CountedWorld {
public:
    explicit CountedWorld(int servers);
    ~CountedWorld();

    void run_for(double seconds) { network_.run_until(network_.now() + seconds); }
    void run_until(const std::function<bool()>& done);  // fails the test where that takes too long
    void rest(int connections);                         // so many more
    // What `what` makes the agent do: counts from its beginning until nothing has been called for a while.
    KernelCounts::Values counted(const std::function<void()>& what);

    CountedViewers& viewers() { return *viewers_; }
    RigServer& server() { return *server_; }
    RigFeed& feed() { return *feed_; }
    const WorldPlan& plan() const { return plan_; }
    const std::vector<Member>& members() const { return members_; }

private:
    struct NoLog final : jasperspread::agent::Log {
        void write(jasperspread::agent::Level, std::string_view,
                   std::initializer_list<jasperspread::agent::Field>) override {}
    };
    void start_agent();

    WorldPlan plan_;
    Network network_{1};
    Host &agent_host_, &server_host_, &feed_host_, &viewers_host_;
    KernelCounts counts_;
    CountingKernel kernel_;
    jasperspread::net::Loop loop_;  // the agent's: the host's own stands empty and keeps the time for it
    jasperspread::net::Timer wake_;
    NoLog log_;
    std::unique_ptr<RigServer> server_;
    std::unique_ptr<RigFeed> feed_;
    std::unique_ptr<CountedViewers> viewers_;
    std::vector<Member> members_;
    std::unique_ptr<jasperspread::agent::Agent> agent_;
};

}  // namespace lab
