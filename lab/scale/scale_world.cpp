#include "lab/scale/scale_world.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>

#include "lab/run/files.h"

namespace lab {
namespace {

constexpr double long_up_s = 1e6;  // of machines that did not lose power
constexpr double starts_within_s = 30;
// What the sides of a cut say of each other goes round for a while once it is healed, s.
constexpr double cut_echo_s = 15;

}  // namespace

ScaleWorld::ScaleWorld(const ScalePlan& plan, const ScaleOptions& options)
    : plan_(plan),
      options_(options),
      loop_(kernel_),
      changes_(plan.agents()),
      deaths_(plan.agents()),
      feeds_(index(plan.placement.zones)),
      agents_(index(plan.agents())),
      from_reals_(index(plan.hosts + 1), std::vector<CountingKernel::FromReal>(real_agents_most)),
      hosts_(loop_, options_.hollow_program, options_.folder, plan.hosts,
             [this](const Report& report) { hear(report); }),
      logs_timer_(loop_),
      samples_timer_(loop_) {
    take_all_descriptors();
    deaths_.cut_by([this](int one, int other, double at) { return was_cut(one, other, at); });
    write_file(options_.folder + "/key", ticket_key());
    start_feeds();
    if (!run_until([this] { return hosts_.all_up(); }, starts_within_s))
        throw std::runtime_error("a host of hollow agents did not come up: see " + options_.folder);
    look_at_logs();
    sample_reals();
    try {
        start_agents();
        latest_look_s_ = 0;  // files are written up to here
    } catch (...) {
        relays_.end();  // nothing passes on what is about to go
        throw;
    }
}

ScaleWorld::~ScaleWorld() {
    relays_.end();
    for (Slot& own : agents_) own.real.reset();
    for (FeedSlot& own : feeds_) own.feed.reset();
}

// ---- The start ----

void ScaleWorld::start_feeds() {
    for (int zone = 0; zone < plan_.placement.zones; ++zone) {
        FeedSlot& own = feeds_[index(zone)];
        own.feed = std::make_unique<Feed>(loop_, plan_.world);
        // Agents without viewers call no server: nobody needs to be there.
        for (int server = 0; server < plan_.world.servers; ++server)
            own.feed->add({server,
                           *jasperspread::net::parse_address("127.66." + std::to_string(server / 200) + "." +
                                                             std::to_string(server % 200 + 1) + ":2906"),
                           "up", 0});
        own.at = own.feed->listen(feed_address(zone));
    }
}

void ScaleWorld::add_agent(int agent) {
    Slot& own = agents_[index(agent)];
    const bool real = plan_.is_real(agent);
    const int zone = plan_.placement.zone_of(agent);
    own.folder = options_.folder + "/n" + std::to_string(agent);
    make_folder(own.folder);
    auto feed_at = feeds_[index(zone)].at;
    if (real) {
        own.real = std::make_unique<RealAgent>(relays_, agent, options_.program, own.folder);
        feed_at = own.real->feed_relay(feed_at);
        own.real->cut_where([this, agent](const jasperspread::net::Address& from) {
            const int sender_zone = zone_of(from);
            return cut_ && sender_zone >= 0 &&
                   plan_.placement.region_of_zone(sender_zone) != plan_.placement.region_of(agent);
        });
        own.real->observe([this](const jasperspread::net::Address& from, std::string_view datagram) {
            const int sender = real_agent_of(from);
            if (sender >= 0) from_reals_.back()[index(sender)].add(datagram);
        });
    }
    const auto listen = *jasperspread::net::parse_address(address_of(plan_.placement, agent, real));
    const auto config = agent_config(plan_.world, agent, listen, feed_at, feeds_[index(zone)].feed->known());
    write_file(own.folder + "/config.json", config.dump());
}

void ScaleWorld::write_files(int agent) {
    Slot& own = agents_[index(agent)];
    auto talk = plan_.world.fleet;
    talk.key_file = options_.folder + "/key";
    talk.listen =
        own.talks_at.empty() ? address_of(plan_.placement, agent, plan_.is_real(agent)) : own.talks_at;
    if (own.real) talk.advertise = jasperspread::net::to_text(own.real->datagrams_at());
    for (const int seed : plan_.seeds()) {
        const std::string& at = agents_[index(seed)].talks_at;
        if (!at.empty()) talk.seeds.push_back(at);
    }
    auto recovery = plan_.world.recovery;
    recovery.uptime_file = own.folder + "/uptime";
    std::ostringstream yaml;
    write_fleet_section(yaml, talk);
    write_recovery_section(yaml, recovery);
    write_file(own.folder + "/operator.yaml", yaml.str());
}

void ScaleWorld::start_agents() {
    for (int agent = 0; agent < plan_.agents(); ++agent) add_agent(agent);
    relays_.begin();
    const auto talk = [](const Slot& own) { return own.talks || !own.runs; };
    const auto all_talk = [&] { return std::all_of(agents_.begin(), agents_.end(), talk); };
    const std::vector<int> seeds = plan_.seeds();
    for (const int seed : seeds) {
        write_files(seed);
        start(seed, long_up_s);
    }
    if (!run_until(all_talk, starts_within_s)) throw std::runtime_error("a first agent did not come up");
    std::vector<int> others;
    for (int agent = 0; agent < plan_.agents(); ++agent) {
        if (!agents_[index(agent)].runs) others.push_back(agent);
    }
    for (const int agent : others) write_files(agent);
    // In no order: what an agent asks of others depends on how long ago it started, and real ones and hollow
    // ones are compared.
    std::shuffle(others.begin(), others.end(), std::mt19937_64(plan_.seed));
    for (const int agent : others) start(agent, long_up_s);
    if (!run_until(all_talk, starts_within_s))
        throw std::runtime_error("an agent did not come up: see " + options_.folder);
}

// ---- Time ----

void ScaleWorld::run_for(double seconds) {
    const double until = now() + seconds;
    while (now() < until) loop_.turn(until - now());
}

bool ScaleWorld::run_until(const std::function<bool()>& done, double longest_s) {
    constexpr double look_every_s = 0.05;
    const double until = now() + longest_s;
    while (!done()) {
        if (now() >= until) return false;
        loop_.turn(look_every_s);
    }
    return true;
}

void ScaleWorld::after(double seconds, std::function<void()> what) {
    loop_.deadlines().add(now() + seconds, std::move(what));
}

// ---- Faults ----

void ScaleWorld::kill(int agent) {
    Slot& own = agents_[index(agent)];
    if (!own.runs) return;
    own.runs = own.talks = false;
    deaths_.dies(agent, now());
    note_reachable(agent);
    changes_.restarts(agent);
    if (own.real) return own.real->kill();
    hosts_.tell(plan_.host_of(agent), KillAgent{agent});
}

void ScaleWorld::start(int agent, double machine_s) {
    Slot& own = agents_[index(agent)];
    if (own.runs) return;
    own.runs = true;
    // Before the first start all files are there already.
    if (++own.starts > 1) write_files(agent);
    deaths_.starts(agent, now());
    if (own.real) return own.real->start(machine_s);
    hosts_.tell(plan_.host_of(agent),
                StartAgent{agent, plan_.placement.zone_of(agent), own.folder, machine_s});
}

void ScaleWorld::cut_regions(bool is_cut) {
    cut_ = is_cut;
    (is_cut ? cut_at_ : healed_at_) = now();
    const Placement& placement = plan_.placement;
    for (int zone = 0; zone < placement.zones; ++zone) {
        CountingKernel::Zones senders = 0;
        for (int other = 0; is_cut && other < placement.zones; ++other) {
            if (placement.region_of_zone(zone) != placement.region_of_zone(other))
                senders |= CountingKernel::Zones{1} << other;
        }
        hosts_.tell_all(BlockZones{zone, senders});
    }
    for (int agent = 0; agent < plan_.agents(); ++agent) note_reachable(agent);
    for (int zone = 0; !is_cut && zone < placement.zones; ++zone) {
        FeedSlot& own = feeds_[index(zone)];
        for (const auto& [server, phase] : std::exchange(own.held_back, {})) own.feed->change(server, phase);
    }
}

bool ScaleWorld::was_cut(int one, int other, double at) const {
    const bool apart = plan_.placement.region_of(one) != plan_.placement.region_of(other);
    const bool during = cut_at_ > 0 && at >= cut_at_ && (cut_ || at <= healed_at_);
    const bool echo = healed_at_ > 0 && at >= healed_at_ && at <= healed_at_ + cut_echo_s;
    return (apart && during) || echo;
}

void ScaleWorld::feed_down(int zone) {
    feeds_[index(zone)].is_up = false;
    feeds_[index(zone)].feed->loses_power();
    for (int agent = 0; agent < plan_.agents(); ++agent) note_reachable(agent);
}

void ScaleWorld::feed_up(int zone) {
    FeedSlot& own = feeds_[index(zone)];
    own.is_up = true;
    own.feed->comes_back(own.at);
    for (int agent = 0; agent < plan_.agents(); ++agent) note_reachable(agent);
}

void ScaleWorld::change() {
    const int server = static_cast<int>(changes_told_ / 2) % plan_.world.servers;
    const std::string phase = changes_told_ % 2 == 0 ? "draining" : "up";
    constexpr std::uint64_t first_number = 2;  // the first is the list in the configuration
    changes_.told(first_number + changes_told_++, now());
    for (int zone = 0; zone < plan_.placement.zones; ++zone) {
        FeedSlot& own = feeds_[index(zone)];
        if (source_reaches(zone))
            own.feed->change(server, phase);
        else
            own.held_back.emplace_back(server, phase);
    }
}

}  // namespace lab
