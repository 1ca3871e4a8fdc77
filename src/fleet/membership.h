// Which agents are there: random probes, help of others, suspicion before death, lives told apart
// (docs/design/fleet.md; SWIM of Das, Gupta and Motivala, with the local health of Dadgar, Phillips and
// Currey). Decides without I/O; time is passed in, s.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/gossip_queue.h"
#include "fleet/life.h"
#include "fleet/member_digests.h"
#include "fleet/message.h"
#include "fleet/ping_relays.h"
#include "fleet/settings.h"
#include "fleet/suspicions.h"

namespace jasperspread::fleet {

struct Letter {  // a message to be sent
    Address to;
    Message message;
    std::uint64_t token = 0;  // of the receiver's life as the member table has it; 0: not known
};

struct Event {
    enum class What {
        Joined,     // not known before
        Returned,   // in a later life
        Suspected,  // does not answer
        Recovered,  // it does live
        Died,
        Left,
        NameTaken,  // another process keeps our name: this one is silent from here on
    };
    What what = What::Joined;
    Word who;
};
std::string_view name_of(Event::What what);

struct Member {
    Word word;
    double since = 0;  // of its health
};

class Membership {
public:
    // `self`: our name, address and life; an incarnation of 0 becomes 1.
    Membership(const Settings& settings, Word self, std::uint64_t seed, double now);

    // What is due at `now`; to be called then, and may be called at any time.
    std::vector<Letter> on_time(double now);
    double due() const;
    // A message whose seal was good.
    std::vector<Letter> heard(const Name& from, const Address& at, const Life& life, const Message& message,
                              double now);
    // Tells some that we leave in order; nothing is said after that.
    std::vector<Letter> leave();

    const Word& self() const { return self_; }
    bool retired() const { return retired_; }
    const std::map<Name, Member>& members() const { return members_; }  // without ourselves
    std::vector<Name> there() const;                                    // alive or suspected, in order
    std::size_t present() const;                                        // those, counted with ourselves
    std::vector<Event> take_events() { return std::exchange(events_, {}); }
    // Tokens of lives that are over and forgotten: the seal need not remember them.
    std::vector<std::uint64_t> take_forgotten() { return std::exchange(forgotten_, {}); }

    struct Counts {
        std::uint64_t probes = 0, helped = 0, unanswered = 0, stood_still = 0;
    };
    const Counts& counts() const { return counts_; }
    unsigned sickness() const { return sickness_; }  // of ourselves, as far as we can tell; 0: well

private:
    struct Probe {
        Name whom;
        std::uint64_t number = 0;
        double help_at = 0, ends = 0;
        bool asked_help = false, second = false;
        std::size_t helpers = 0, nacks = 0;
    };
    struct Twin {  // perhaps: a process under our name, to be asked at its address so many times more
        Address where;
        int asks = 0;
    };
    enum class Source { Gossip, List };

    void learn(const Word& word, const Name& from, Source source, double now);
    void learn_of_self(const Word& word);
    void set(Member& member, const Word& word, double now);
    void suspect(Member& member, const Name& accuser, double now);
    void refute(std::uint64_t above);
    void retire();
    void end_suspicions(double now, std::vector<Letter>& out);
    double period() const;
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    std::size_t tellings() const;
    static Letter to_member(const Member& member, Message message);
    Message with_news(Kind kind, std::uint64_t number, const Name& to);
    MemberDigests digests() const;
    void list_to(const Name& asker, const Address& to, const Message& join, std::vector<Letter>& out);
    void list_heard(const Message& message, bool told_news, double now);
    std::optional<Name> next_probed();
    std::vector<const Member*> some(std::size_t count, const Name& but);
    void begin_probe(double now, std::vector<Letter>& out);
    void end_probe(double now);
    void ask_for_help(std::vector<Letter>& out);
    void sync(std::vector<Letter>& out);
    void ask_for_list(double now, std::vector<Letter>& out);
    void stood_still(double missed);

    const Settings set_;
    Word self_;
    std::mt19937_64 random_;
    std::map<Name, Member> members_;
    Suspicions suspicions_;
    GossipQueue gossip_;
    std::vector<Name> round_;      // still to be probed in this one
    std::optional<Name> doubted_;  // did not answer in the period before
    std::optional<Probe> probe_;
    PingRelays relays_;
    std::optional<Twin> twin_;
    std::uint64_t numbers_ = 0;
    double next_probe_, next_sync_, next_list_, turned_;
    double list_pause_ = 0;
    std::uint64_t list_asked_ = 0;  // number of the last one asked for; 0: it was answered
    unsigned sickness_ = 0;
    bool refuted_ = false;  // and nobody was told yet
    bool retired_ = false;
    std::vector<Event> events_;
    std::vector<std::uint64_t> forgotten_;
    Counts counts_;
};

}  // namespace jasperspread::fleet
