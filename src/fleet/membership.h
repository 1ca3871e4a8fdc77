// Which agents are there: the member table and the failure detector (random probes, indirect probes,
// suspicion before death, incarnations; docs/design/fleet.md; SWIM of Das, Gupta and Motivala, with the local
// health of Dadgar, Phillips and Currey). Decides without I/O; time is passed in, s.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fleet/gossip_queue.h"
#include "fleet/member.h"
#include "fleet/member_digests.h"
#include "fleet/message.h"
#include "fleet/ping_relays.h"
#include "fleet/settings.h"
#include "fleet/suspicions.h"

namespace jasperspread::fleet {

struct Outgoing {  // a message to be sent
    Address to;
    Message message;
    std::uint64_t token = 0;  // of the receiver's process, as the member table has it; 0: not known
};

struct Event {
    enum class What {
        Joined,     // not known before
        Returned,   // a later process of that name
        Suspected,  // does not answer
        Recovered,  // it is alive
        Died,
        Left,
        NameTaken,  // another process keeps our name: this one is silent from here on
    };
    What what = What::Joined;
    MemberRecord who;
};
std::string_view name_of(Event::What what);

struct Member {
    MemberRecord record;
    double since = 0;  // of its health
};

class Membership {
public:
    // `self`: our name, address and incarnation; a number of 0 becomes 1.
    Membership(const Settings& settings, MemberRecord self, std::uint64_t seed, double now);

    // What is due at `now`; to be called then, and may be called at any time.
    std::vector<Outgoing> on_time(double now);
    double due() const;
    // A message whose seal was good.
    std::vector<Outgoing> heard(const Name& from, const Address& at, const Incarnation& incarnation,
                                const Message& message, double now);
    // Tells some that we leave in order; nothing is said after that.
    std::vector<Outgoing> leave();

    const MemberRecord& self() const { return self_; }
    bool retired() const { return retired_; }
    const std::map<Name, Member>& members() const { return members_; }  // without ourselves
    std::vector<Name> there() const;                                    // alive or suspected, in order
    std::size_t present() const;                                        // those, counted with ourselves
    std::vector<Event> take_events() { return std::exchange(events_, {}); }
    // Tokens of processes that are over and forgotten: the seal need not remember them.
    std::vector<std::uint64_t> take_forgotten() { return std::exchange(forgotten_, {}); }

    struct Counts {
        std::uint64_t probes = 0, helped = 0, unanswered = 0, stood_still = 0;
    };
    const Counts& counts() const { return counts_; }
    unsigned unhealthiness() const { return unhealthiness_; }  // of ourselves, as far as we can tell; 0: well

private:
    struct Probe {
        Name whom;
        std::uint64_t number = 0;
        double indirect_at = 0, ends = 0;
        bool is_indirect = false, second = false;
        std::size_t helpers = 0, nacks = 0;
    };
    struct NameConflict {  // perhaps: a process under our name, to be asked at its address so many times more
        Address where;
        int asks = 0;
    };
    enum class Source { Gossip, List };

    void apply(const MemberRecord& update, const Name& from, Source source, double now);
    void apply_to_self(const MemberRecord& update);
    void set(Member& member, const MemberRecord& update, double now);
    void suspect(Member& member, const Name& by, double now);
    void refute(std::uint64_t above);
    void retire();
    void check_suspicions(double now, std::vector<Outgoing>& out);
    double period() const;
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    std::size_t transmissions_most() const;
    static Outgoing to_member(const Member& member, Message message);
    Message with_gossip(Kind kind, std::uint64_t number, const Name& to);
    MemberDigests digests() const;
    void list_to(const Name& asker, const Address& to, const Message& join, std::vector<Outgoing>& out);
    void on_list(const Message& message, bool told_new_member, double now);
    std::optional<Name> next_probed();
    std::vector<const Member*> random_members(std::size_t count, const Name& but);
    void begin_probe(double now, std::vector<Outgoing>& out);
    void end_probe(double now);
    void request_indirect_probes(std::vector<Outgoing>& out);
    void rejoin(std::vector<Outgoing>& out);
    void request_list(double now, std::vector<Outgoing>& out);
    void stood_still(double missed);

    const Settings set_;
    MemberRecord self_;
    std::mt19937_64 random_;
    std::map<Name, Member> members_;
    Suspicions suspicions_;
    GossipQueue gossip_;
    std::vector<Name> probe_order_;       // still to be probed in this round
    std::optional<Name> to_probe_again_;  // did not answer in the period before
    std::optional<Probe> probe_;
    PingRelays relays_;
    std::optional<NameConflict> name_conflict_;
    std::uint64_t numbers_ = 0;
    double next_probe_, next_sync_, next_list_, turned_;
    double list_pause_ = 0;
    std::uint64_t list_asked_ = 0;  // number of the last one asked for; 0: it was answered
    unsigned unhealthiness_ = 0;
    bool refutation_due_ = false;  // and nobody was told yet
    bool retired_ = false;
    std::vector<Event> events_;
    std::vector<std::uint64_t> forgotten_;
    Counts counts_;
};

}  // namespace jasperspread::fleet
