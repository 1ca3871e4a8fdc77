#include "recovery_coordinator.h"

#include <algorithm>
#include <utility>

namespace jasperspread::agent {

using recovery::Stage;

namespace {

constexpr double step_interval_s = 0.25;
// So many others are asked at a look, those that have not told first: 300 agents that come back together
// send each other some 5,000 datagrams a second for as long as that lasts.
constexpr std::size_t peers_queried_at_once = 4;
// What another one told of itself is old after so long, s.
constexpr double status_valid_s = 2.0;

std::string zone_of(const Profile& profile) {
    const auto zone = profile.settings.zone;
    return zone && *zone < profile.zone_names.size() ? profile.zone_names[*zone] : "";
}

recovery::ScopeSettings scope_settings(const recovery::Settings& set) {
    return {set.spread_s, set.ask_s, set.answers_enough};
}

std::size_t others_there_are(const Profile& profile) {
    return std::max<std::size_t>(profile.settings.fronts, 1) - 1;
}

// A machine that has been up for longer than machines come back in did not lose power just now.
bool is_young(const RecoveryOrder& order) {
    return order.machine_s <= 2 * order.settings.spread_s;
}

}  // namespace

RecoveryCoordinator::RecoveryCoordinator(net::Loop& loop, Log& log, const RecoveryOrder& order,
                                         const Profile& profile, std::uint64_t seed, Inputs inputs,
                                         Callbacks callbacks)
    : loop_(loop),
      log_(log),
      profile_(profile),
      set_(order.settings),
      began_(loop.now()),
      machine_s_(order.machine_s),
      inputs_(std::move(inputs)),
      callbacks_(std::move(callbacks)),
      scope_(scope_settings(order.settings), zone_of(profile), order.boot, order.boot_before, order.machine_s,
             others_there_are(profile), loop.now()),
      stages_(order.settings, recovery::order_named(order.settings.order).value_or(recovery::Order::Off),
              !scope_.same_boot() && is_young(order), loop.now()),
      paid_(loop.now()),
      rest_(loop.now()),
      settled_(!order.asks_scope && stages_.stage() == Stage::Ordinary),
      zone_(zone_of(profile)),
      random_(seed),
      learn_servers_until_(loop.now() + profile.settings.cold),
      timer_(loop) {
    step();
}

void RecoveryCoordinator::talk(Peers& peers) {
    peers_ = &peers;
    peers.tell_status([this] { return status(); });
    peers.hear_status([this](const fleet::Name& by, const fleet::Status& told) { heard(by, told); });
}

// Also between looks, so that one in ordinary service tells of now.
void RecoveryCoordinator::update_pressure() {
    const auto paid = inputs_.flow(true), rest = inputs_.flow(false);
    paid_.told(paid.asked, paid.turned, loop_.now());
    rest_.told(rest.asked, rest.turned, loop_.now());
}

fleet::Status RecoveryCoordinator::status() {
    update_pressure();
    fleet::Status own;
    own.zone = zone_.substr(0, fleet::zone_most);
    own.agent_s = loop_.now() - began_;
    own.machine_s = machine_s_ + own.agent_s;
    own.revision = inputs_.revision();
    own.stage = static_cast<std::uint64_t>(stages_.stage());
    own.pressed = stages_.stage() < Stage::Paid || paid_.pressed();
    // Where there are more than a message holds, in turn.
    const auto running = inputs_.running();
    for (std::size_t i = 0; i < std::min(running.size(), fleet::runs_most); ++i) {
        const auto& [server, since] = running[(next_running_server_ + i) % running.size()];
        own.runs.emplace_back(server, loop_.now() - since);
    }
    next_running_server_ += own.runs.size();
    return own;
}

void RecoveryCoordinator::heard(const fleet::Name& by, const fleet::Status& told) {
    if (loop_.now() < learn_servers_until_) {
        for (const auto& [server, seconds] : told.runs)
            callbacks_.server_running({server, loop_.now() - seconds});
    }
    if (!settled_) scope_.told(by, {told.zone, told.machine_s}, loop_.now());
    if (stages_.stage() == Stage::Ordinary && settled_) return;  // nothing is kept of them then
    others_[by] = {told.pressed, loop_.now()};
}

double RecoveryCoordinator::others_pressed() const {
    double heard = 0, pressed = 0;
    for (const auto& [name, other] : others_) {
        if (loop_.now() > other.heard + status_valid_s) continue;
        heard += 1;
        pressed += other.pressed ? 1 : 0;
    }
    return heard > 0 ? pressed / heard : 0;
}

void RecoveryCoordinator::query_peers() {
    if (peers_ == nullptr) return;
    std::vector<fleet::Name> there = peers_->membership().there();
    std::shuffle(there.begin(), there.end(), random_);
    std::stable_partition(there.begin(), there.end(),
                          [this](const fleet::Name& name) { return !others_.contains(name); });
    there.resize(std::min(there.size(), peers_queried_at_once));
    for (const fleet::Name& name : there) peers_->query_status(name);
}

void RecoveryCoordinator::step() {
    const double now = loop_.now();
    update_pressure();
    if (!settled_ && scope_.settled(now)) {
        settled_ = true;
        log_.info("scope", {{"is", std::string(name_of(scope_.scope()))},
                            {"answers", std::to_string(scope_.answers())}});
        callbacks_.scope(scope_.scope());
    }
    recovery::Seen seen;
    if (settled_) seen.scope = scope_.scope();
    seen.list_known = inputs_.list_known();
    seen.server_answers = inputs_.flow(true).answered + inputs_.flow(false).answered > 0;
    seen.pressed = paid_.pressed();
    seen.others_pressed = others_pressed();
    seen.rest_asked = rest_.asked_per_s();
    const Stage before = stages_.stage();
    stages_.step(seen, now);
    if (stages_.stage() != before) log_.info("stage", {{"is", std::string(name_of(stages_.stage()))}});
    const bool ordinary = stages_.stage() == Stage::Ordinary;
    if (const recovery::Let let = stages_.let(); let != let_ || stays_away_ == ordinary) {
        let_ = let;
        stays_away_ = !ordinary;
        cinderfront::Allowance allowance;
        for (const auto& cls : profile_.settings.classes) {
            if (!ordinary) allowance.per_s.push_back(is_paid(cls) ? let.paid : let.rest);
        }
        allowance.stay_away = ordinary ? 0 : set_.stay_away_s;
        callbacks_.allow(allowance);
    }
    if (ordinary && settled_) others_.clear();
    if (ordinary && settled_ && now >= learn_servers_until_) return timer_.cancel();
    query_peers();
    timer_.set(now + step_interval_s, [this] { step(); });
}

}  // namespace jasperspread::agent
