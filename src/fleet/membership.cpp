#include "membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace jasperspread::fleet {
namespace {

// Our own local health, from 0 (well): each step makes our probes wait longer by one period, up to:
constexpr unsigned unhealthiest = 4;
// A turn that comes so much later than it was due means that this process stood still, as a part of the
// period.
constexpr double late_part = 0.5;
// An update is told so many times log2 of the fleet, which reaches all but surely.
constexpr double transmissions_factor = 3;
constexpr std::size_t leave_receivers = 8;
constexpr int name_conflict_pings = 5;
// The longest pause between two whole lists, in periods.
constexpr double list_pause_most = 64;
// A refutation goes to so many at once, beside the gossip.
constexpr std::size_t refutation_receivers = 4;
// A probe for another is forgotten after so many periods.
constexpr double relay_periods = 8;

}  // namespace

std::string_view name_of(Event::What what) {
    constexpr std::array<std::string_view, 7> names = {"joined", "returned", "suspected", "recovered",
                                                       "died",   "left",     "name_taken"};
    return names[static_cast<std::size_t>(what)];
}

Membership::Membership(const Settings& settings, MemberRecord self, std::uint64_t seed, double now)
    : set_(settings),
      self_(std::move(self)),
      random_(seed),
      suspicions_(set_),
      relays_(relay_periods * set_.probe_every_s),
      next_probe_(now),
      next_sync_(now),
      next_list_(now),
      turned_(now) {
    if (self_.incarnation.number == 0) self_.incarnation.number = 1;
    // Spread over the period, so that a fleet that starts at one instant does not probe in step.
    next_probe_ += uniform() * set_.probe_every_s;
    self_.health = Health::Alive;
    gossip_.push(self_);
}

std::size_t Membership::present() const {
    return 1 +
           static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
               return entry.second.record.health <= Health::Suspect;
           }));
}

std::vector<Name> Membership::there() const {
    std::vector<Name> names;
    for (const auto& [name, member] : members_) {
        if (member.record.health <= Health::Suspect) names.push_back(name);
    }
    return names;
}

double Membership::period() const {
    return set_.probe_every_s * (1 + unhealthiness_);
}

std::size_t Membership::transmissions_most() const {
    return static_cast<std::size_t>(
        std::ceil(transmissions_factor * std::log2(static_cast<double>(present()) + 1)));
}

// ---- The member table ----

void Membership::set(Member& member, const MemberRecord& update, double now) {
    const MemberRecord before = member.record;
    if (before.incarnation.token != update.incarnation.token) forgotten_.push_back(before.incarnation.token);
    member.record = update;
    member.since = now;
    if (update.health != Health::Suspect) suspicions_.end(update.name);
    using What = Event::What;
    const bool was_there = before.health <= Health::Suspect,
               same_process = before.incarnation.token == update.incarnation.token;
    // A new process may be heard of by a suspicion first.
    if (!same_process && update.health <= Health::Suspect) events_.push_back({What::Returned, update});
    if (update.health == Health::Alive) {
        if (same_process && before.health != Health::Alive)
            events_.push_back({was_there ? What::Recovered : What::Joined, update});
    } else if (update.health == Health::Suspect) {
        events_.push_back({What::Suspected, update});
    } else if (was_there || !same_process) {
        events_.push_back({update.health == Health::Dead ? What::Died : What::Left, update});
    }
    gossip_.push(update);
}

void Membership::apply(const MemberRecord& update, const Name& from, Source source, double now) {
    if (update.name.empty() || update.incarnation.token == 0) return;
    if (update.name == self_.name) return apply_to_self(update);
    const auto it = members_.find(update.name);
    if (it == members_.end()) {
        // Of the dead whom we never knew nothing is kept: told round and round, they would never be
        // forgotten.
        if (update.health > Health::Suspect) return;
        members_[update.name] = {update, now};
        events_.push_back({Event::What::Joined, update});
        if (update.health == Health::Suspect) suspicions_.begin(update.name, from, now);
        // Whoever lacks a member that a list told of asks for a list, too; queued with all agents, the
        // members of a fleet that starts at once would hold up suspicions and refutations for minutes.
        if (source == Source::Gossip || update.health == Health::Suspect) gossip_.push(update);
        return;
    }
    Member& member = it->second;
    const bool is_newer =
        supersedes(update.incarnation, update.health, member.record.incarnation, member.record.health);
    if (update.health == Health::Suspect && update.incarnation == member.record.incarnation &&
        member.record.health <= Health::Suspect)
        return suspect(member, from, now);
    if (!is_newer) return;
    if (update.health == Health::Suspect) suspicions_.begin(update.name, from, now);
    set(member, update, now);
}

void Membership::suspect(Member& member, const Name& by, double now) {
    if (member.record.health != Health::Alive) return suspicions_.confirm(member.record.name, by);
    suspicions_.begin(member.record.name, by, now);
    MemberRecord update = member.record;
    update.health = Health::Suspect;
    set(member, update, now);
}

// Whoever would call it dead first speaks with it once more: what it said to others may not have come here
// yet.
void Membership::check_suspicions(double now, std::vector<Outgoing>& out) {
    if (suspicions_.empty()) return;
    const Suspicions::Due due = suspicions_.take_due(now, present());
    for (const Name& name : due.to_ping)
        out.push_back(to_member(members_.at(name), with_gossip(Kind::Ping, ++numbers_, name)));
    for (const Name& name : due.dead) {
        MemberRecord update = members_.at(name).record;
        update.health = Health::Dead;
        set(members_.at(name), update, now);
    }
}

// ---- Ourselves ----

void Membership::refute(std::uint64_t above) {
    self_.incarnation.number = std::max(self_.incarnation.number, above + 1);
    refutation_due_ = true;
    gossip_.push(self_);
}

void Membership::retire() {
    retired_ = true;
    events_.push_back({Event::What::NameTaken, self_});
}

void Membership::apply_to_self(const MemberRecord& update) {
    if (update.incarnation.token == self_.incarnation.token) {
        // Somebody suspects us, or takes us for dead: a higher incarnation refutes it.
        if (update.health != Health::Alive && update.incarnation.number >= self_.incarnation.number)
            refute(update.incarnation.number);
        return;
    }
    // An earlier process of our name, or a name conflict. We go above what either says; where the other
    // one is said to be at another address it is asked there, too.
    if (update.incarnation.number >= self_.incarnation.number) refute(update.incarnation.number);
    const bool there = update.health <= Health::Suspect && update.address != self_.address;
    if (there && !name_conflict_) name_conflict_ = NameConflict{update.address, name_conflict_pings};
}

// ---- Messages ----

Outgoing Membership::to_member(const Member& member, Message message) {
    return {member.record.address, std::move(message), member.record.incarnation.token};
}

Message Membership::with_gossip(Kind kind, std::uint64_t number, const Name& to) {
    Message message;
    message.kind = kind;
    message.number = number;
    // Who is suspected or dead to us hears of it from whoever speaks with it, so that it can refute that.
    const auto receiver = members_.find(to);
    if (receiver != members_.end() && receiver->second.record.health != Health::Alive)
        message.updates.push_back(receiver->second.record);
    gossip_.fill(message.updates, transmissions_most());
    return message;
}

MemberDigests Membership::digests() const {
    MemberDigests digests;
    digests.add(self_);
    for (const auto& [name, member] : members_) {
        if (member.record.health <= Health::Suspect) digests.add(member.record);
    }
    return digests;
}

// All who are there, in as many messages as it takes, less those in whose buckets the asker's digests show
// nothing else than is known here; and what is known of the asker, its earlier processes too.
void Membership::list_to(const Name& asker, const Address& to, const Message& join,
                         std::vector<Outgoing>& out) {
    const MemberDigests own = digests();
    Message message;
    message.kind = Kind::List;
    message.number = join.number;
    message.updates.push_back(self_);
    const auto flush = [&] {
        out.push_back({to, message});
        message.updates.clear();
    };
    for (const auto& [name, member] : members_) {
        const bool is_listed = member.record.health <= Health::Suspect && !own.agrees(join.digests, name);
        const bool asker_differs = name == asker && member.record.health != Health::Alive;
        if (!is_listed && !asker_differs) continue;
        if (message.updates.size() >= updates_most) flush();
        message.updates.push_back(member.record);
    }
    flush();
}

std::vector<const Member*> Membership::random_members(std::size_t count, const Name& but) {
    std::vector<const Member*> there;
    for (const auto& [name, member] : members_) {
        if (member.record.health <= Health::Suspect && name != but) there.push_back(&member);
    }
    std::shuffle(there.begin(), there.end(), random_);
    there.resize(std::min(there.size(), count));
    return there;
}

// Round after round, each in an order of its own: nobody waits longer than two rounds for a probe.
std::optional<Name> Membership::next_probed() {
    for (int fresh = 0; fresh < 2; ++fresh) {
        while (!probe_order_.empty()) {
            const Name name = std::move(probe_order_.back());
            probe_order_.pop_back();
            const auto it = members_.find(name);
            if (it != members_.end() && it->second.record.health <= Health::Suspect) return name;
        }
        probe_order_ = there();
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    return std::nullopt;
}

void Membership::begin_probe(double now, std::vector<Outgoing>& out) {
    next_probe_ = now + period();
    if (name_conflict_) {
        Message ask;
        ask.kind = Kind::Ping;
        ask.number = ++numbers_;
        out.push_back({name_conflict_->where, ask});
        if (--name_conflict_->asks == 0) name_conflict_.reset();  // no answer: it was an earlier process
    }
    const bool second = to_probe_again_.has_value() && members_.contains(*to_probe_again_);
    const auto name = second ? to_probe_again_ : next_probed();
    to_probe_again_.reset();
    if (!name) return;
    ++counts_.probes;
    probe_ = Probe{*name, ++numbers_, now + set_.answer_s * (1 + unhealthiness_), next_probe_, false, second,
                   0,     0};
    out.push_back(to_member(members_.at(*name), with_gossip(Kind::Ping, probe_->number, *name)));
}

void Membership::request_indirect_probes(std::vector<Outgoing>& out) {
    probe_->is_indirect = true;
    const auto whom = members_.find(probe_->whom);
    if (whom == members_.end()) return;
    out.push_back(to_member(whom->second, with_gossip(Kind::Ping, probe_->number, probe_->whom)));
    for (const Member* helper : random_members(set_.helpers, probe_->whom)) {
        Message message = with_gossip(Kind::PingRequest, probe_->number, helper->record.name);
        message.target = whom->second.record;
        out.push_back(to_member(*helper, std::move(message)));
        ++probe_->helpers;
    }
}

// No answer by the period's end. Where the helpers are silent too, the fault may be ours.
void Membership::end_probe(double now) {
    const Probe probe = *std::exchange(probe_, std::nullopt);
    ++counts_.unanswered;
    const bool alone = probe.helpers > 0 && probe.nacks == 0;
    const bool may_be_our_fault = alone && unhealthiness_ < unhealthiest;
    if (unhealthiness_ < unhealthiest) unhealthiness_ += alone || probe.helpers == 0 ? 1U : 0U;
    const auto it = members_.find(probe.whom);
    if (it == members_.end() || may_be_our_fault || it->second.record.health > Health::Suspect) return;
    // Over links that lose a fifth one period in ten ends like this though all are well; two in a row hardly
    // ever.
    if (!probe.second) {
        to_probe_again_ = probe.whom;
        return;
    }
    suspect(it->second, self_.name, now);
}

// One of those who are dead to us, or a seed: after a split the first such word that gets through joins both
// sides. Until anybody is there, all seeds are asked.
void Membership::rejoin(std::vector<Outgoing>& out) {
    Message join;
    join.kind = Kind::Join;
    join.updates.push_back(self_);
    std::vector<Address> gone;
    for (const auto& [name, member] : members_) {
        if (member.record.health == Health::Dead) gone.push_back(member.record.address);
    }
    if (present() == 1) {
        for (const Address& seed : set_.seeds) {
            if (seed != self_.address) out.push_back({seed, join});
        }
    } else {
        for (const Address& seed : set_.seeds) {
            const auto known = [&](const auto& entry) {
                return entry.second.record.address == seed && entry.second.record.health <= Health::Suspect;
            };
            if (seed != self_.address && std::none_of(members_.begin(), members_.end(), known))
                gone.push_back(seed);
        }
    }
    if (!gone.empty()) out.push_back({gone[random_() % gone.size()], join});
}

// The whole list from one who is there: soon after our start, when all may be new to each other and gossip
// would take long, and then ever more seldom, for what gossip has missed. An answer that never came is asked
// for again no later than the one before.
void Membership::request_list(double now, std::vector<Outgoing>& out) {
    const double longer = list_asked_ == 0 ? 2 * list_pause_ : list_pause_;
    list_pause_ = std::clamp(longer, set_.probe_every_s, list_pause_most * set_.probe_every_s);
    next_list_ = now + list_pause_ * (0.75 + 0.5 * uniform());
    Message join;
    join.kind = Kind::Join;
    join.number = list_asked_ = ++numbers_;
    join.digests = digests().values();
    join.updates.push_back(self_);
    for (const Member* one : random_members(1, "")) out.push_back(to_member(*one, join));
}

// One that told of somebody new may have had more to tell, in datagrams that were lost: soon another one.
void Membership::on_list(const Message& message, bool told_new_member, double now) {
    if (message.number == list_asked_) list_asked_ = 0;
    if (!told_new_member) return;
    list_pause_ = 0;
    next_list_ = std::min(next_list_, now + set_.probe_every_s * (0.75 + 0.5 * uniform()));
}

// A process that stood still judges nobody by the time that it missed.
void Membership::stood_still(double missed) {
    ++counts_.stood_still;
    probe_.reset();
    suspicions_.postpone(missed);
    relays_.postpone(missed);
}

std::vector<Outgoing> Membership::on_time(double now) {
    std::vector<Outgoing> out;
    if (retired_) return out;
    const double missed = now - std::max(turned_, std::min(due(), now));
    if (missed > late_part * set_.probe_every_s) stood_still(missed);
    turned_ = now;
    if (probe_ && !probe_->is_indirect && now >= probe_->indirect_at) request_indirect_probes(out);
    if (probe_ && now >= probe_->ends) end_probe(now);
    if (!probe_ && now >= next_probe_) begin_probe(now, out);
    for (const PingRelays::Relay& relay : relays_.take_unanswered(now)) {
        Message nack;
        nack.kind = Kind::Nack;
        nack.number = relay.asker_number;
        out.push_back({relay.asker, nack});
    }
    check_suspicions(now, out);
    if (now >= next_list_) request_list(now, out);
    if (now >= next_sync_) {
        // Spread, so that a fleet that came back at one instant does not ask in step.
        const double part = 0.75 + 0.5 * uniform();
        next_sync_ = now + (present() == 1 ? std::min(set_.sync_s, set_.probe_every_s) : set_.sync_s) * part;
        rejoin(out);
        for (auto it = members_.begin(); it != members_.end();) {
            const Member& member = it->second;
            const bool gone = member.record.health >= Health::Dead && now >= member.since + set_.forget_s;
            if (gone) forgotten_.push_back(member.record.incarnation.token);
            it = gone ? members_.erase(it) : std::next(it);
        }
    }
    return out;
}

double Membership::due() const {
    double at = std::min({next_probe_, next_sync_, next_list_});
    if (probe_)
        at = std::min(at, probe_->is_indirect ? probe_->ends : std::min(probe_->indirect_at, probe_->ends));
    at = std::min(at, relays_.due());
    return suspicions_.empty() ? at : std::min(at, suspicions_.due(present()));
}

std::vector<Outgoing> Membership::heard(const Name& from, const Address& at, const Incarnation& incarnation,
                                        const Message& message, double now) {
    std::vector<Outgoing> out;
    if (retired_) return out;
    if (from == self_.name) {
        // Only another process speaks under our name with another token; the larger one keeps it.
        const bool other_keeps_name =
            incarnation.token != self_.incarnation.token && incarnation.token > self_.incarnation.token;
        if (other_keeps_name) {
            retire();
            return out;
        }
        if (incarnation.token != self_.incarnation.token)
            out.push_back({at, with_gossip(Kind::Ack, message.number, from)});
        return out;
    }
    apply({from, at, incarnation, Health::Alive}, from, Source::Gossip, now);
    const std::size_t known = members_.size();
    const Source source = message.kind == Kind::List ? Source::List : Source::Gossip;
    for (const MemberRecord& update : message.updates) apply(update, from, source, now);
    if (message.kind == Kind::List) on_list(message, members_.size() > known, now);
    if (std::exchange(refutation_due_, false)) {
        Message refutation;
        refutation.kind = Kind::List;
        refutation.updates.push_back(self_);
        for (const Member* one : random_members(refutation_receivers, ""))
            out.push_back(to_member(*one, refutation));
    }
    switch (message.kind) {
        case Kind::Ping:
            out.push_back({at, with_gossip(Kind::Ack, message.number, from)});
            break;
        case Kind::Ack: {
            if (probe_ && message.number == probe_->number) {
                probe_.reset();
                if (unhealthiness_ > 0) --unhealthiness_;
            }
            const auto relay = relays_.take(message.number);
            if (!relay) break;
            Message ack;
            ack.kind = Kind::Ack;
            ack.number = relay->asker_number;
            out.push_back({relay->asker, ack});
            ++counts_.helped;
            break;
        }
        case Kind::Nack:
            if (probe_ && message.number == probe_->number) ++probe_->nacks;
            break;
        case Kind::PingRequest: {
            const std::uint64_t number = ++numbers_;
            relays_.add(number, {at, message.number, now + set_.answer_s, false});
            out.push_back({message.target.address, with_gossip(Kind::Ping, number, message.target.name),
                           message.target.incarnation.token});
            break;
        }
        case Kind::Join:
            list_to(from, at, message, out);
            break;
        case Kind::List:
        case Kind::Challenge:
        case Kind::SessionQuery:  // not the membership's
        case Kind::SessionReply:
        case Kind::StatusQuery:
        case Kind::StatusReply:
            break;
    }
    return out;
}

std::vector<Outgoing> Membership::leave() {
    std::vector<Outgoing> out;
    if (retired_) return out;
    retired_ = true;
    self_.health = Health::Left;
    Message message;
    message.kind = Kind::List;
    message.updates.push_back(self_);
    for (const Member* member : random_members(leave_receivers, ""))
        out.push_back(to_member(*member, message));
    return out;
}

}  // namespace jasperspread::fleet
