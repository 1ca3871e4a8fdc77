#include "membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace jasperspread::fleet {
namespace {

// Our own health, from 0 (well): each step makes our probes wait longer by one period, up to:
constexpr unsigned sickest = 4;
// A turn that comes so much later than it was due means that this process stood still, as a part of the
// period.
constexpr double late_part = 0.5;
// News is told so many times log2 of the fleet, which reaches all but surely.
constexpr double tellings_each = 3;
constexpr std::size_t leave_told = 8;
constexpr int twin_asks = 5;
// The longest pause between two whole lists, in periods.
constexpr double list_pause_most = 64;
// Who says that it lives says so to so many at once, beside the news.
constexpr std::size_t refutation_told = 4;
// A probe for another is forgotten after so many periods.
constexpr double relay_periods = 8;

}  // namespace

std::string_view name_of(Event::What what) {
    constexpr std::array<std::string_view, 7> names = {"joined", "returned", "suspected", "recovered",
                                                       "died",   "left",     "name_taken"};
    return names[static_cast<std::size_t>(what)];
}

Membership::Membership(const Settings& settings, Word self, std::uint64_t seed, double now)
    : set_(settings),
      self_(std::move(self)),
      random_(seed),
      suspicions_(set_),
      relays_(relay_periods * set_.probe_every_s),
      next_probe_(now),
      next_sync_(now),
      next_list_(now),
      turned_(now) {
    if (self_.life.incarnation == 0) self_.life.incarnation = 1;
    // Spread over the period, so that a fleet that starts at one instant does not probe in step.
    next_probe_ += uniform() * set_.probe_every_s;
    self_.health = Health::Alive;
    gossip_.push(self_);
}

std::size_t Membership::present() const {
    return 1 +
           static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
               return entry.second.word.health <= Health::Suspect;
           }));
}

std::vector<Name> Membership::there() const {
    std::vector<Name> names;
    for (const auto& [name, member] : members_) {
        if (member.word.health <= Health::Suspect) names.push_back(name);
    }
    return names;
}

double Membership::period() const {
    return set_.probe_every_s * (1 + sickness_);
}

std::size_t Membership::tellings() const {
    return static_cast<std::size_t>(std::ceil(tellings_each * std::log2(static_cast<double>(present()) + 1)));
}

// ---- What is known ----

void Membership::set(Member& member, const Word& word, double now) {
    const Word before = member.word;
    if (before.life.token != word.life.token) forgotten_.push_back(before.life.token);
    member.word = word;
    member.since = now;
    if (word.health != Health::Suspect) suspicions_.end(word.name);
    using What = Event::What;
    const bool was_there = before.health <= Health::Suspect, same_life = before.life.token == word.life.token;
    // A new life may be heard of by a doubt first.
    if (!same_life && word.health <= Health::Suspect) events_.push_back({What::Returned, word});
    if (word.health == Health::Alive) {
        if (same_life && before.health != Health::Alive)
            events_.push_back({was_there ? What::Recovered : What::Joined, word});
    } else if (word.health == Health::Suspect) {
        events_.push_back({What::Suspected, word});
    } else if (was_there || !same_life) {
        events_.push_back({word.health == Health::Dead ? What::Died : What::Left, word});
    }
    gossip_.push(word);
}

void Membership::learn(const Word& word, const Name& from, Source source, double now) {
    if (word.name.empty() || word.life.token == 0) return;
    if (word.name == self_.name) return learn_of_self(word);
    const auto it = members_.find(word.name);
    if (it == members_.end()) {
        // Of the dead whom we never knew nothing is kept: told round and round, they would never be
        // forgotten.
        if (word.health > Health::Suspect) return;
        members_[word.name] = {word, now};
        events_.push_back({Event::What::Joined, word});
        if (word.health == Health::Suspect) suspicions_.begin(word.name, from, now);
        // Whoever lacks a member that a list told of asks for a list, too; queued with all agents, the
        // members of a fleet that starts at once would hold up suspicions and refutations for minutes.
        if (source == Source::Gossip || word.health == Health::Suspect) gossip_.push(word);
        return;
    }
    Member& member = it->second;
    const bool news = supersedes(word.life, word.health, member.word.life, member.word.health);
    if (word.health == Health::Suspect && word.life == member.word.life &&
        member.word.health <= Health::Suspect)
        return suspect(member, from, now);
    if (!news) return;
    if (word.health == Health::Suspect) suspicions_.begin(word.name, from, now);
    set(member, word, now);
}

void Membership::suspect(Member& member, const Name& accuser, double now) {
    if (member.word.health != Health::Alive) return suspicions_.confirm(member.word.name, accuser);
    suspicions_.begin(member.word.name, accuser, now);
    Word word = member.word;
    word.health = Health::Suspect;
    set(member, word, now);
}

// Whoever would call it dead first speaks with it once more: what it said to others may not have come here
// yet.
void Membership::end_suspicions(double now, std::vector<Letter>& out) {
    if (suspicions_.empty()) return;
    const Suspicions::Due due = suspicions_.take_due(now, present());
    for (const Name& name : due.to_ping)
        out.push_back(to_member(members_.at(name), with_news(Kind::Ping, ++numbers_, name)));
    for (const Name& name : due.dead) {
        Word word = members_.at(name).word;
        word.health = Health::Dead;
        set(members_.at(name), word, now);
    }
}

// ---- Ourselves ----

void Membership::refute(std::uint64_t above) {
    self_.life.incarnation = std::max(self_.life.incarnation, above + 1);
    refuted_ = true;
    gossip_.push(self_);
}

void Membership::retire() {
    retired_ = true;
    events_.push_back({Event::What::NameTaken, self_});
}

void Membership::learn_of_self(const Word& word) {
    if (word.life.token == self_.life.token) {
        // Somebody takes us for sick or dead: we say that we live, louder.
        if (word.health != Health::Alive && word.life.incarnation >= self_.life.incarnation)
            refute(word.life.incarnation);
        return;
    }
    // An earlier life of ours, or a twin. Both are told that we live, above what they say; where the other
    // one is said to be at another address it is asked there, too.
    if (word.life.incarnation >= self_.life.incarnation) refute(word.life.incarnation);
    const bool there = word.health <= Health::Suspect && word.address != self_.address;
    if (there && !twin_) twin_ = Twin{word.address, twin_asks};
}

// ---- What is said ----

Letter Membership::to_member(const Member& member, Message message) {
    return {member.word.address, std::move(message), member.word.life.token};
}

Message Membership::with_news(Kind kind, std::uint64_t number, const Name& to) {
    Message message;
    message.kind = kind;
    message.number = number;
    // Who is taken for sick or dead hears of it from whoever speaks with it, so that it can say that it
    // lives.
    const auto doubted = members_.find(to);
    if (doubted != members_.end() && doubted->second.word.health != Health::Alive)
        message.words.push_back(doubted->second.word);
    gossip_.fill(message.words, tellings());
    return message;
}

MemberDigests Membership::digests() const {
    MemberDigests digests;
    digests.add(self_);
    for (const auto& [name, member] : members_) {
        if (member.word.health <= Health::Suspect) digests.add(member.word);
    }
    return digests;
}

// All who are there, in as many messages as it takes, less those in whose buckets the asker's digests show
// nothing else than is known here; and what is known of the asker, its earlier lives too.
void Membership::list_to(const Name& asker, const Address& to, const Message& join,
                         std::vector<Letter>& out) {
    const MemberDigests own = digests();
    Message message;
    message.kind = Kind::List;
    message.number = join.number;
    message.words.push_back(self_);
    const auto flush = [&] {
        out.push_back({to, message});
        message.words.clear();
    };
    for (const auto& [name, member] : members_) {
        const bool is_listed = member.word.health <= Health::Suspect && !own.agrees(join.digests, name);
        const bool asker_differs = name == asker && member.word.health != Health::Alive;
        if (!is_listed && !asker_differs) continue;
        if (message.words.size() >= words_most) flush();
        message.words.push_back(member.word);
    }
    flush();
}

std::vector<const Member*> Membership::some(std::size_t count, const Name& but) {
    std::vector<const Member*> there;
    for (const auto& [name, member] : members_) {
        if (member.word.health <= Health::Suspect && name != but) there.push_back(&member);
    }
    std::shuffle(there.begin(), there.end(), random_);
    there.resize(std::min(there.size(), count));
    return there;
}

// Round after round, each in an order of its own: nobody waits longer than two rounds for a probe.
std::optional<Name> Membership::next_probed() {
    for (int fresh = 0; fresh < 2; ++fresh) {
        while (!round_.empty()) {
            const Name name = std::move(round_.back());
            round_.pop_back();
            const auto it = members_.find(name);
            if (it != members_.end() && it->second.word.health <= Health::Suspect) return name;
        }
        round_ = there();
        std::shuffle(round_.begin(), round_.end(), random_);
    }
    return std::nullopt;
}

void Membership::begin_probe(double now, std::vector<Letter>& out) {
    next_probe_ = now + period();
    if (twin_) {
        Message ask;
        ask.kind = Kind::Ping;
        ask.number = ++numbers_;
        out.push_back({twin_->where, ask});
        if (--twin_->asks == 0) twin_.reset();  // no answer: it was an earlier life
    }
    const bool second = doubted_.has_value() && members_.contains(*doubted_);
    const auto name = second ? doubted_ : next_probed();
    doubted_.reset();
    if (!name) return;
    ++counts_.probes;
    probe_ =
        Probe{*name, ++numbers_, now + set_.answer_s * (1 + sickness_), next_probe_, false, second, 0, 0};
    out.push_back(to_member(members_.at(*name), with_news(Kind::Ping, probe_->number, *name)));
}

void Membership::ask_for_help(std::vector<Letter>& out) {
    probe_->asked_help = true;
    const auto whom = members_.find(probe_->whom);
    if (whom == members_.end()) return;
    out.push_back(to_member(whom->second, with_news(Kind::Ping, probe_->number, probe_->whom)));
    for (const Member* helper : some(set_.helpers, probe_->whom)) {
        Message message = with_news(Kind::PingFor, probe_->number, helper->word.name);
        message.target = whom->second.word;
        out.push_back(to_member(*helper, std::move(message)));
        ++probe_->helpers;
    }
}

// No answer by the period's end. Where the helpers are silent too, the fault may be ours.
void Membership::end_probe(double now) {
    const Probe probe = *std::exchange(probe_, std::nullopt);
    ++counts_.unanswered;
    const bool alone = probe.helpers > 0 && probe.nacks == 0;
    const bool still_to_doubt_ourselves = alone && sickness_ < sickest;
    if (sickness_ < sickest) sickness_ += alone || probe.helpers == 0 ? 1U : 0U;
    const auto it = members_.find(probe.whom);
    if (it == members_.end() || still_to_doubt_ourselves || it->second.word.health > Health::Suspect) return;
    // Over links that lose a fifth one period in ten ends like this though all are well; two in a row hardly
    // ever.
    if (!probe.second) {
        doubted_ = probe.whom;
        return;
    }
    suspect(it->second, self_.name, now);
}

// One of those who are dead to us, or a seed: after a split the first such word that gets through joins both
// sides. Until anybody is there, all seeds are asked.
void Membership::sync(std::vector<Letter>& out) {
    Message join;
    join.kind = Kind::Join;
    join.words.push_back(self_);
    std::vector<Address> gone;
    for (const auto& [name, member] : members_) {
        if (member.word.health == Health::Dead) gone.push_back(member.word.address);
    }
    if (present() == 1) {
        for (const Address& seed : set_.seeds) {
            if (seed != self_.address) out.push_back({seed, join});
        }
    } else {
        for (const Address& seed : set_.seeds) {
            const auto known = [&](const auto& entry) {
                return entry.second.word.address == seed && entry.second.word.health <= Health::Suspect;
            };
            if (seed != self_.address && std::none_of(members_.begin(), members_.end(), known))
                gone.push_back(seed);
        }
    }
    if (!gone.empty()) out.push_back({gone[random_() % gone.size()], join});
}

// The whole list from one who is there: soon after our start, when all may be new to each other and news
// would take long, and then ever more seldom, for what news has missed. An answer that never came is asked
// for again no later than the one before.
void Membership::ask_for_list(double now, std::vector<Letter>& out) {
    const double longer = list_asked_ == 0 ? 2 * list_pause_ : list_pause_;
    list_pause_ = std::clamp(longer, set_.probe_every_s, list_pause_most * set_.probe_every_s);
    next_list_ = now + list_pause_ * (0.75 + 0.5 * uniform());
    Message join;
    join.kind = Kind::Join;
    join.number = list_asked_ = ++numbers_;
    join.digests = digests().values();
    join.words.push_back(self_);
    for (const Member* one : some(1, "")) out.push_back(to_member(*one, join));
}

// One that told of somebody new may have had more to tell, in datagrams that were lost: soon another one.
void Membership::list_heard(const Message& message, bool told_news, double now) {
    if (message.number == list_asked_) list_asked_ = 0;
    if (!told_news) return;
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

std::vector<Letter> Membership::on_time(double now) {
    std::vector<Letter> out;
    if (retired_) return out;
    const double missed = now - std::max(turned_, std::min(due(), now));
    if (missed > late_part * set_.probe_every_s) stood_still(missed);
    turned_ = now;
    if (probe_ && !probe_->asked_help && now >= probe_->help_at) ask_for_help(out);
    if (probe_ && now >= probe_->ends) end_probe(now);
    if (!probe_ && now >= next_probe_) begin_probe(now, out);
    for (const PingRelays::Relay& relay : relays_.take_unanswered(now)) {
        Message nack;
        nack.kind = Kind::Nack;
        nack.number = relay.asker_number;
        out.push_back({relay.asker, nack});
    }
    end_suspicions(now, out);
    if (now >= next_list_) ask_for_list(now, out);
    if (now >= next_sync_) {
        // Spread, so that a fleet that came back at one instant does not ask in step.
        const double part = 0.75 + 0.5 * uniform();
        next_sync_ = now + (present() == 1 ? std::min(set_.sync_s, set_.probe_every_s) : set_.sync_s) * part;
        sync(out);
        for (auto it = members_.begin(); it != members_.end();) {
            const Member& member = it->second;
            const bool gone = member.word.health >= Health::Dead && now >= member.since + set_.forget_s;
            if (gone) forgotten_.push_back(member.word.life.token);
            it = gone ? members_.erase(it) : std::next(it);
        }
    }
    return out;
}

double Membership::due() const {
    double at = std::min({next_probe_, next_sync_, next_list_});
    if (probe_)
        at = std::min(at, probe_->asked_help ? probe_->ends : std::min(probe_->help_at, probe_->ends));
    at = std::min(at, relays_.due());
    return suspicions_.empty() ? at : std::min(at, suspicions_.due(present()));
}

std::vector<Letter> Membership::heard(const Name& from, const Address& at, const Life& life,
                                      const Message& message, double now) {
    std::vector<Letter> out;
    if (retired_) return out;
    if (from == self_.name) {
        // Only a twin speaks under our name with another token; the larger one keeps it.
        const bool twin = life.token != self_.life.token && life.token > self_.life.token;
        if (twin) {
            retire();
            return out;
        }
        if (life.token != self_.life.token) out.push_back({at, with_news(Kind::Ack, message.number, from)});
        return out;
    }
    learn({from, at, life, Health::Alive}, from, Source::Gossip, now);
    const std::size_t known = members_.size();
    const Source source = message.kind == Kind::List ? Source::List : Source::Gossip;
    for (const Word& word : message.words) learn(word, from, source, now);
    if (message.kind == Kind::List) list_heard(message, members_.size() > known, now);
    if (std::exchange(refuted_, false)) {
        Message lives;
        lives.kind = Kind::List;
        lives.words.push_back(self_);
        for (const Member* one : some(refutation_told, "")) out.push_back(to_member(*one, lives));
    }
    switch (message.kind) {
        case Kind::Ping:
            out.push_back({at, with_news(Kind::Ack, message.number, from)});
            break;
        case Kind::Ack: {
            if (probe_ && message.number == probe_->number) {
                probe_.reset();
                if (sickness_ > 0) --sickness_;
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
        case Kind::PingFor: {
            const std::uint64_t number = ++numbers_;
            relays_.add(number, {at, message.number, now + set_.answer_s, false});
            out.push_back({message.target.address, with_news(Kind::Ping, number, message.target.name),
                           message.target.life.token});
            break;
        }
        case Kind::Join:
            list_to(from, at, message, out);
            break;
        case Kind::List:
        case Kind::Challenge:
        case Kind::Question:  // not the membership's
        case Kind::Answer:
        case Kind::Hail:
        case Kind::Status:
            break;
    }
    return out;
}

std::vector<Letter> Membership::leave() {
    std::vector<Letter> out;
    if (retired_) return out;
    retired_ = true;
    self_.health = Health::Left;
    Message message;
    message.kind = Kind::List;
    message.words.push_back(self_);
    for (const Member* member : some(leave_told, "")) out.push_back(to_member(*member, message));
    return out;
}

}  // namespace jasperspread::fleet
