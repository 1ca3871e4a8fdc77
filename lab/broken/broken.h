// Agents that are broken on purpose, each in one way: what the laboratory's judge must see. The faults stand
// between the parts of a real agent.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/between.h"

namespace lab {

enum class Fault {
    AnswersKept,       // some answers to viewers are kept back
    AnswersTwice,      // told twice
    AnswersLate,       // told after their time
    AnswersChanged,    // with other words than the server's
    PaidRefused,       // a paid set-up that may have run is told to be refused
    PaidAgainReset,    // a paid set-up is sent again after its connection broke
    PaidAgainTimeout,  // and after its time was up
    PaidAgainRestart,  // and after a death, from what was remembered
    DrainsIgnored,     // a draining server counts as up
    FourAttempts,      // where three are allowed
    TwoOut,            // a second attempt beside the first
    OverSwallowed,     // a viewer is not told that its session is over
    EndSwallowed,      // a server is not told that its session is over
    ColdFlooded,       // cold servers are taken for warm
    KeptForEver,       // a viewer's leave is not heard
    ForwardsLate,      // a set-up waits before it is looked at, whether or not its viewer is there still
};

struct NamedFault {
    Fault fault;
    std::string_view name;
};
const std::vector<NamedFault>& all_faults();
std::optional<Fault> fault_named(std::string_view name);

class Broken final : public jasperspread::agent::Between,
                     jasperspread::agent::ViewerPort,
                     jasperspread::agent::ServerPort,
                     jasperspread::agent::ViewerEvents,
                     jasperspread::agent::ServerEvents {
public:
    explicit Broken(Fault fault) : fault_(fault) {}

private:
    using SessionId = jasperspread::agent::SessionId;
    using ServerNumber = jasperspread::agent::ServerNumber;
    using Attempt = jasperspread::agent::Attempt;
    using Ending = cinderfront::Ending;
    using Load = cinderfront::LoadReport;

    void starts(jasperspread::net::Loop& loop, jasperspread::agent::Config& config) override;
    void remembers(const jasperspread::store::Found& found) override;
    void heard(jasperspread::agent::ListChange& change) override;
    ViewerPort& to_viewers(ViewerPort& own) override { return viewers_ = &own, *this; }
    ServerPort& to_servers(ServerPort& own) override { return servers_ = &own, *this; }
    ViewerEvents& from_viewers(ViewerEvents& own) override { return from_viewers_ = &own, *this; }
    ServerEvents& from_servers(ServerEvents& own) override { return from_servers_ = &own, *this; }

    void answered(SessionId id, const std::string& description) override;
    void refused(SessionId id, double stay_away_s) override { viewers_->refused(id, stay_away_s); }
    void failed(SessionId id) override;
    void over(SessionId id, jasperspread::agent::SessionEnd how) override;
    void moved(SessionId id) override { viewers_->moved(id); }

    void set_up(const Attempt& attempt) override;
    jasperspread::agent::AttemptProgress give_up(SessionId id) override;
    void set_rung(SessionId id, int rung) override { servers_->set_rung(id, rung); }
    void end_session(SessionId id) override;
    void adopt(SessionId id, ServerNumber server) override { servers_->adopt(id, server); }
    void forget(SessionId id) override { servers_->forget(id); }
    bool hands_over(ServerNumber server) const override { return servers_->hands_over(server); }
    void hand_over(const jasperspread::agent::HandoverMessage& message) override {
        servers_->hand_over(message);
    }
    void reassign(SessionId id, ServerNumber server, int rung) override {
        servers_->reassign(id, server, rung);
    }
    void set_epoch(SessionId id, std::uint64_t epoch) override { servers_->set_epoch(id, epoch); }
    void end_at(SessionId id, ServerNumber server, std::uint64_t epoch) override {
        servers_->end_at(id, server, epoch);
    }
    void probe(ServerNumber server) override { servers_->probe(server); }
    void close_idle(ServerNumber server) override { servers_->close_idle(server); }

    void set_up(const jasperspread::agent::SetUp& set_up) override;
    void given_up(SessionId id) override;
    bool may_have_run(SessionId id) override { return from_viewers_->may_have_run(id); }
    bool may_take_over(const jasperspread::agent::SetUp& set_up) override {
        return from_viewers_->may_take_over(set_up);
    }

    void started(SessionId id, const std::string& description) override;
    void attempt_ended(SessionId id, Ending how, const Load& load) override;
    void session_ended(SessionId id, Ending how, const Load& load) override {
        from_servers_->session_ended(id, how, load);
    }
    void noted(SessionId id, cinderfront::NoteKind kind, double value) override {
        from_servers_->noted(id, kind, value);
    }
    void answered_late(SessionId id, ServerNumber server) override {
        from_servers_->answered_late(id, server);
    }
    void probed(ServerNumber server, Ending how, double latency, const Load& load) override {
        from_servers_->probed(server, how, latency, load);
    }
    void handed(SessionId id, ServerNumber from, const jasperspread::agent::HandoverReply& reply) override {
        from_servers_->handed(id, from, reply);
    }
    void ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, Ending how) override {
        from_servers_->ended_at(id, from, epoch, how);
    }
    void process_gone(ServerNumber server) override { from_servers_->process_gone(server); }

    bool strikes(Fault fault, int every);  // each so many times that it could
    bool paid(const std::string& class_name) const;
    std::optional<ServerNumber> another(ServerNumber but) const;

    struct Out {
        Attempt attempt;
        int more = 0;  // attempts of our own beyond the module's
        double deadline = 0;
    };
    const Fault fault_;
    int could_ = 0;
    jasperspread::net::Loop* loop_ = nullptr;
    ViewerPort* viewers_ = nullptr;
    ServerPort* servers_ = nullptr;
    ViewerEvents* from_viewers_ = nullptr;
    ServerEvents* from_servers_ = nullptr;
    std::vector<bool> paid_;
    std::vector<std::string> classes_;
    std::map<SessionId, Out> out_;
    std::vector<ServerNumber> servers_seen_;
};

}  // namespace lab
