// The viewers of one agent: they arrive, ask, wait, watch, leave, and come again. And the control feed.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "codec/viewer_codec.h"
#include "lab/model/ledger.h"
#include "lab/model/party.h"

namespace lab {

class Viewers final : public Party {
public:
    Viewers(jasperspread::net::Loop& loop, const WorldPlan& plan, int agent, Ledger& ledger,
            std::uint64_t seed);
    ~Viewers() override;

    void start(const jasperspread::net::Address& agent);  // connects, and asks once a test is passed
    void stop_arrivals() { arriving_ = false; }
    // Whom a viewer asks where this crowd's agent is not there: another crowd, or nobody.
    void route_by(std::function<Viewers*()> elsewhere) { elsewhere_ = std::move(elsewhere); }
    // The agent is asked to end: new set-ups keep coming for a moment, then go elsewhere.
    void agent_ends();
    // The same, but set-ups keep coming on the open connection until that closes or the process is killed.
    void agent_ends_untold() { asks_on_ = true; }
    // Its process is gone, killed or by itself: those who watched find out and come again. One that ends by
    // itself must have told them.
    void agent_gone(bool by_itself);
    void set_rate(double arrivals_per_s) { rate_ = arrivals_per_s; }
    void tick(double seconds);
    std::size_t watching() const { return watching_.size(); }
    bool ready() const { return ready_; }
    // Sets one up at once, for tests and the load tool; gives its id.
    SessionId ask(int cls, double length_s);
    void leave_all();  // all that watch
    std::uint64_t refusals() const { return refusals_; }
    std::uint64_t answers() const { return answers_; }
    std::uint64_t arrivals() const { return arrivals_; }  // viewers, however often each asked
    std::uint64_t asks() const { return serial_; }
    std::uint64_t claims_made() const { return claims_made_; }
    std::uint64_t claims_lost() const { return claims_lost_; }  // ended though they played on
    std::uint64_t open() const { return asked_.size(); }
    bool takes_new() const { return ready_ && !leaving_; }
    std::size_t waiting() const { return waiting_.size(); }  // with nobody to ask
    bool leave_at_once = false;  // for the load tool: a viewer leaves when it is answered

private:
    using Message = jasperspread::codec::ViewerMessage;
    struct Asked {
        int cls = 0, top = 0;
        Wish wish;
        std::uint64_t title = 0;
        int again = 0;
        double sent = 0;
        jasperspread::net::Deadlines::Key due{0, 0};
    };
    struct Watched {
        Asked asked;
        double since = 0, leaves_at = 0;
    };

    void left(std::uint64_t number, Connection::End why) override;
    std::size_t heard(std::uint64_t number, std::string_view bytes) override;
    void opened(Connection& connection) override;
    void take(const Message& message);
    void arrive();
    SessionId send_set_up(Asked asked);
    SessionId send_here(Asked asked);
    void wait_for_somebody(Asked asked);
    void come_again(Asked asked, double not_before_s = 0);
    void claim_here(SessionId id, const Watched& watched);
    void claim_elsewhere();
    void over(SessionId id, bool broken);
    Message set_up_message(SessionId id, const Asked& asked) const;
    void claim();  // of an agent that has returned: the sessions that played on meanwhile
    void leave(SessionId id);
    void say(const Message& message);
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    void after(double seconds, std::function<void()> what);

    const WorldPlan& plan_;
    const int agent_;
    Ledger& ledger_;
    std::mt19937_64 random_;
    jasperspread::net::Address to_;
    std::uint64_t connection_ = 0, serial_ = 0;
    bool asks_on_ = false;
    bool arriving_ = true, ready_ = false, started_ = false, leaving_ = false;
    std::function<Viewers*()> elsewhere_;
    std::map<std::uint64_t, Asked> waiting_;
    std::uint64_t waits_ = 0;
    double rate_ = 0;
    std::uint64_t refusals_ = 0, answers_ = 0, arrivals_ = 0, claims_made_ = 0, claims_lost_ = 0;
    std::set<SessionId> claimed_;  // those that stand
    std::map<SessionId, Asked> asked_;
    std::map<SessionId, Watched> watching_, claims_;
    std::set<std::pair<double, std::uint64_t>> timers_;
};

// The control feed: server-sent events with numbers, resumed by Last-Event-ID.
class Feed final : public Party {
public:
    Feed(jasperspread::net::Loop& loop, const WorldPlan& plan);
    ~Feed() override = default;
    void add(const Member& member) { members_.push_back(member); }
    nlohmann::json known() const;  // as an agent's configuration holds it
    void change(int server, const std::string& phase, double up_since = 0);
    void silence(bool silent) { silent_ = silent; }
    // Who listens now hears nothing more; who comes anew does.
    void fall_silent() { muted_ = listening_; }
    // A new server, which may have the address of one that has gone.
    void start_at(int server, const jasperspread::net::Address& address, double up_since);
    // Its machine loses power: who listens is cut off, and whoever comes is refused until it is back.
    void loses_power();
    void comes_back(const jasperspread::net::Address& at) {
        if (std::exchange(dark_, false)) listen(at);
    }

private:
    std::size_t heard(std::uint64_t number, std::string_view bytes) override;
    void left(std::uint64_t number, Connection::End) override {
        listening_.erase(number);
        muted_.erase(number);
    }
    void comment();
    void tell_last();

    const WorldPlan& plan_;
    std::vector<Member> members_;
    std::vector<std::string> events_;  // from number 2 on, as they are sent
    std::set<std::uint64_t> listening_, muted_;
    bool silent_ = false, dark_ = false;
    jasperspread::net::Timer timer_;
};

}  // namespace lab
