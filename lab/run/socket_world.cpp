#include "socket_world.h"

#include <signal.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "lab/run/files.h"

namespace lab {
namespace {

constexpr double tick_s = 0.05, starts_within_s = 20, agent_starts_after_s = 0.3;
// A turn of this process that took so long is the laboratory's own fault, not an agent's, s.
constexpr double stall_s = 0.1;

}  // namespace

SocketWorld::SocketWorld(const WorldPlan& plan, SocketOptions options)
    : plan_(plan),
      options_(std::move(options)),
      loop_(kernel_),
      fleet_(plan_),
      ledger_(plan_),
      random_(plan.seed),
      ticker_(loop_) {
    take_all_descriptors();
    ledger_.count_falls(
        plan_.cold.falls
            ? [this](int server) { after(0, [this, server] { kill_server(server, plan_.cold.back_s); }); }
            : std::function<void(int)>());
    servers_.resize(static_cast<std::size_t>(plan_.servers));
    server_at_.resize(servers_.size());
    agents_.resize(static_cast<std::size_t>(plan_.agents));
    next_spare_ = plan_.servers - plan_.spares;
    for (int server = 0; server < plan_.servers; ++server) relay_of_.push_back(server);
    for (int server = 0; server < next_spare_; ++server) start_server(server);
    for (Slot& own : agents_) {
        if (plan_.agents_talk) own.from_agents = std::make_unique<DatagramRelay>(loop_, random_());
    }
    for (int agent = 0; agent < plan_.agents; ++agent) {
        Slot& own = slot(agent);
        own.folder = options_.folder + "/n" + std::to_string(agent);
        make_folder(own.folder);
        own.process = std::make_unique<AgentProcess>(own.folder + "/log");
        own.feed = std::make_unique<Feed>(loop_, plan_);
        own.feed_at = own.feed->listen(reserve_address());
        own.listen = reserve_address();
        const auto seed = plan_.seed * 7919 + static_cast<std::uint64_t>(agent);
        for (int server = 0; server < next_spare_; ++server) {
            auto address = server_at_[static_cast<std::size_t>(server)][static_cast<std::size_t>(agent)];
            if (options_.relayed) {
                own.to_servers.push_back(std::make_unique<Relay>(loop_, seed + 31));
                own.to_servers.back()->lead_to(address);
                own.to_servers.back()->delay(options_.delay_s, options_.delay_s);
                address = own.to_servers.back()->listen(reserve_address());
            }
            own.feed->add({server, address, "up", 0});
        }
        own.viewers = std::make_unique<Viewers>(loop_, plan_, agent, ledger_, seed);
        own.viewers->route_by([this, agent] { return somebody_else(agent); });
        start_agent(agent);
    }
    ticked_ = now();
    tick();
    const auto all_up = [&] {
        return std::all_of(agents_.begin(), agents_.end(),
                           [](const Slot& own) { return own.viewers->takes_new(); });
    };
    if (!run_until(all_up, starts_within_s))
        throw std::runtime_error("an agent did not come up: see " + options_.folder);
}

SocketWorld::~SocketWorld() {
    for (Slot& own : agents_) {
        own.bad_clients.reset();
        own.process.reset();
        own.viewers.reset();
        own.from_viewers.reset();
        own.from_agents.reset();
        own.to_servers.clear();
        own.feed.reset();
    }
    servers_.clear();
}

void SocketWorld::after(double seconds, std::function<void()> what) {
    loop_.deadlines().add(now() + seconds, std::move(what));
}

jasperspread::net::Address SocketWorld::reserve_address() {
    return reserved_.emplace_back().address();
}

void SocketWorld::start_server(int server) {
    const auto at = static_cast<std::size_t>(server);
    auto& made = servers_[at];
    made = std::make_unique<LessonServer>(loop_, plan_, server, fleet_, ledger_,
                                          plan_.seed * 104729 + ++server_starts_);
    auto& addresses = server_at_[at];
    // A listener for each agent tells whose connection it is: all come from one address here.
    for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
        if (addresses.size() <= agent) addresses.push_back(reserve_address());
        addresses[agent] = made->listen(addresses[agent], agent + 1);
    }
    ledger_.server_trouble(server, false, now());
}

void SocketWorld::write_settings(const Slot& own, const std::string& key) const {
    write_file(own.folder + "/key", key);
    const auto& set = plan_.handover;
    std::ostringstream yaml;
    yaml << "handover:\n  enabled: " << (plan_.agents_hand_over ? "true" : "false")
         << "\n  key_file: " << own.folder << "/key\n  hold_s: " << set.hold_s
         << "\n  probation_s: " << set.probation_s << "\n  rest_s: " << set.rest_s
         << "\n  moves_per_minute: " << set.moves_per_minute << "\n  out_of_source: " << set.out_of_source
         << "\n  into_target: " << set.into_target << "\n";
    if (plan_.agents_log_all) yaml << "log:\n  level: debug\n";
    if (plan_.agents_remember) {
        const auto& store = plan_.store;
        yaml << "store:\n  folder: " << own.folder << "\n  boot_file: " << own.folder << "/boot"
             << "\n  claim_s: " << store.claim_s << "\n  lazy_s: " << store.lazy_s
             << "\n  again_s: " << store.again_s << "\n  without: " << store.without << "\n";
    }
    if (plan_.agents_remember || plan_.agents_recover) {
        auto back = plan_.recovery;
        back.uptime_file = own.folder + "/uptime";
        write_recovery_section(yaml, back);
    }
    if (plan_.agents_talk) {
        auto talk = plan_.fleet;
        constexpr std::size_t seeds_named = 3;
        talk.key_file = own.folder + "/key";
        talk.listen = "127.0.0.1:0";
        talk.advertise = jasperspread::net::to_text(own.from_agents->address());
        for (std::size_t i = 0; i < std::min(seeds_named, agents_.size()); ++i)
            talk.seeds.push_back(jasperspread::net::to_text(agents_[i].from_agents->address()));
        write_fleet_section(yaml, talk);
    }
    write_file(own.folder + "/operator.yaml", yaml.str());
}

void SocketWorld::write_boot(const Slot& own) {
    constexpr double long_up_s = 1e6;
    write_file(own.folder + "/boot", "boot " + std::to_string(own.boots));
    write_file(own.folder + "/uptime", std::to_string(own.boots == 0 ? long_up_s : now() - own.up_since));
}

void SocketWorld::boots(int agent, double up_since) {
    ++slot(agent).boots;
    slot(agent).up_since = up_since;
}

void SocketWorld::start_agent(int agent) {
    Slot& own = slot(agent);
    write_boot(own);
    nlohmann::json config = agent_config(plan_, agent, own.listen, own.feed_at, own.feed->known());
    ++own.starts;  // with the same configuration each time, as an operator would
    own.config = config.dump();
    write_file(own.folder + "/config.json", own.config);
    if (own.starts == 1) write_settings(own, ticket_key());
    std::vector<std::pair<std::string, std::string>> variables;
    if (!options_.broken.empty()) variables.emplace_back("JASPERSPREAD_BREAK", options_.broken);
    if (options_.lossy_disk)
        variables.emplace_back("JASPERSPREAD_LOSSY", std::to_string(plan_.seed * 1000 + ++disk_starts_));
    constexpr std::uint64_t dies_from = 12, dies_over = 120;  // syncs; the first are those of its start
    if (options_.dies_at_syncs)
        variables.emplace_back("JASPERSPREAD_DIES", std::to_string(dies_from + random_() % dies_over));
    own.process->start(options_.program,
                       {own.folder + "/config.json", "--operator", own.folder + "/operator.yaml"}, variables);
    own.up = own.asked_to_end = own.stopped = false;
}

void SocketWorld::look_after(int agent) {
    Slot& own = slot(agent);
    if (!own.process->started()) return;
    if (!own.process->runs()) {
        constexpr int killed = 128 + SIGKILL;
        if (options_.dies_at_syncs && own.process->status() == killed) {
            ++deaths_at_syncs_;
            return gone(agent, false, agent_starts_after_s);
        }
        // Before it blocks signals the first SIGTERM ends it, having taken nothing.
        constexpr int ended_by_term = 128 + SIGTERM;
        const bool hardly_began = own.asked_to_end && !own.up && own.process->status() == ended_by_term;
        if (!hardly_began && (own.process->status() != 0 || !own.asked_to_end))
            ledger_.violate("agent " + std::to_string(agent) + " ended with status " +
                                std::to_string(own.process->status()),
                            now());
        return gone(agent, true, agent_starts_after_s);
    }
    if (own.up) return;
    const auto listens = own.process->listens();
    if (plan_.agents_talk) own.talks_from = own.process->listens(" at=");
    if (!listens || (plan_.agents_talk && !own.talks_from)) return;
    if (own.from_agents) own.from_agents->lead_to(*own.talks_from);
    own.up = true;
    own.listen = own.listens = *listens;
    if (options_.relayed && !own.from_viewers) {
        own.from_viewers = std::make_unique<Relay>(loop_, plan_.seed + 17);
        own.from_viewers->delay(options_.delay_s, options_.delay_s);
        own.listens = own.from_viewers->listen(reserve_address());
    }
    if (own.from_viewers) own.from_viewers->lead_to(own.listen);
    if (!std::exchange(own.viewers_began, true)) own.viewers->start(own.listens);
}

void SocketWorld::gone(int agent, bool by_itself, std::optional<double> back_after, double excuses_until) {
    if (!by_itself) ledger_.agent_died(agent, now(), excuses_until);
    if (std::exchange(slot(agent).stopped, false)) ledger_.agent_stops(agent, false, now());
    constexpr double last_words_s = 0.1;  // what it said last is on its way still
    after(last_words_s, [this, agent, by_itself] { viewers(agent).agent_gone(by_itself); });
    if (!back_after) return;
    // What was ordered before the last loss is void.
    after(*back_after, [this, agent, which = ++slot(agent).goings] {
        if (slot(agent).goings == which && !process(agent).started()) start_agent(agent);
    });
}

void SocketWorld::tick() {
    const double passed = now() - ticked_;
    if (passed > tick_s + stall_s) ledger_.laboratory_stalled(ticked_, now());
    ticked_ = now();
    for (auto& server : servers_) {
        if (server) server->tick(passed);
    }
    for (int agent = 0; agent < plan_.agents; ++agent) {
        viewers(agent).tick(passed);
        look_after(agent);
    }
    ticker_.set(now() + tick_s, [this] { tick(); });
}

Viewers* SocketWorld::somebody_else(int agent) {
    std::vector<Viewers*> there;
    for (int other = 0; other < plan_.agents; ++other) {
        if (other != agent && viewers(other).takes_new()) there.push_back(&viewers(other));
    }
    return there.empty() ? nullptr : there[random_() % there.size()];
}

void SocketWorld::run_for(double seconds) {
    const double until = now() + seconds;
    while (now() < until) loop_.turn(until - now());
}

bool SocketWorld::run_until(const std::function<bool()>& done, double longest) {
    const double until = now() + longest;
    while (!done()) {
        if (now() >= until) return false;
        loop_.turn(0.05);
    }
    return true;
}

void SocketWorld::finish(double settles_s) {
    for (Slot& own : agents_) own.viewers->stop_arrivals();
    run_for(settles_s);
    ledger_.close(now());
}

// ---- Faults ----

void SocketWorld::freeze_server(int server, bool frozen) {
    if (auto& one = servers_[static_cast<std::size_t>(server)]) one->freeze(frozen);
}

void SocketWorld::kill_server(int server, std::optional<double> starts_again_after) {
    auto& one = servers_[static_cast<std::size_t>(server)];
    if (!one) return;
    one->die();
    one.reset();
    ledger_.server_down(server);
    if (options_.relayed) {
        for (int agent = 0; agent < plan_.agents; ++agent) relay(agent, server).refuse(true);
    }
    if (!starts_again_after) return;
    after(*starts_again_after, [this, server] {
        if (!is_listed(server)) return;
        start_server(server);
        ledger_.starts_cold(server, now());
        for (int agent = 0; agent < plan_.agents; ++agent) {
            if (options_.relayed) relay(agent, server).refuse(false);
            slot(agent).feed->change(server, "up", now());
        }
    });
}

void SocketWorld::drain_server(int server) {
    if (!is_listed(server)) return;
    for (Slot& own : agents_) own.feed->change(server, "draining");
    ledger_.drained(server, now());
}

void SocketWorld::list_server(int server) {
    if (!is_listed(server)) return;
    for (Slot& own : agents_) own.feed->change(server, "up");
    ledger_.listed(server);
}

void SocketWorld::cut(int agent, int server, bool is_cut) {
    if (!options_.relayed || !is_listed(server)) return;
    relay(agent, server).cut(is_cut, is_cut);
    ledger_.link_cut(agent, server, is_cut, now());
}

void SocketWorld::kill_agent(int agent) {
    if (!process(agent).runs()) return;
    process(agent).kill();
    gone(agent, false, agent_starts_after_s);
}

// All are killed first, so that none sees another one die.
void SocketWorld::power_fails(const PowerLoss& loss) {
    std::mt19937_64 random(loss.seed);
    const auto uniform = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
    const auto dark = [&](int zone) { return !loss.building || *loss.building == zone; };
    std::vector<std::optional<double>> back;
    for (int agent = 0; agent < plan_.agents; ++agent) {
        const double at = loss.outage_s + loss.agents_s * uniform();
        back.push_back(uniform() < loss.never_part ? std::nullopt : std::optional(at));
        if (dark(agent % plan_.zones)) process(agent).kill();
    }
    for (int server = 0; server < plan_.servers; ++server) {
        const double at = loss.outage_s + loss.servers_s * uniform();
        if (dark(plan_.zone_of(server))) kill_server(server, at);
    }
    for (int agent = 0; agent < plan_.agents; ++agent) {
        const double feed_back = loss.outage_s + loss.feeds_s * uniform();
        if (!dark(agent % plan_.zones)) continue;
        Slot& own = slot(agent);
        own.feed->loses_power();
        after(feed_back, [this, agent] { slot(agent).feed->comes_back(slot(agent).feed_at); });
        boots(agent, now() + loss.outage_s);
        gone(agent, false, back[static_cast<std::size_t>(agent)]);
    }
}

void SocketWorld::stop_agent(int agent, bool stopped) {
    Slot& own = slot(agent);
    if (!own.process->runs() || own.stopped == stopped) return;
    own.stopped = stopped;
    own.process->signal(stopped ? SIGSTOP : SIGCONT);
    ledger_.agent_stops(agent, stopped, now());
}

void SocketWorld::ask_agent_to_end(int agent) {
    Slot& own = slot(agent);
    if (!own.process->runs()) return;
    own.asked_to_end = true;
    own.process->signal(SIGTERM);
    own.viewers->agent_ends();
}

// A signal to this life of it alone.
void SocketWorld::signal_life(int agent, pid_t life, int number) {
    AgentProcess& own = process(agent);
    if (own.id() != life || !own.runs()) return;
    own.signal(number);
    if (number == SIGSTOP || number == SIGCONT) ledger_.agent_stops(agent, number == SIGSTOP, now());
}

void SocketWorld::end_and_kill_agent(int agent) {
    Slot& own = slot(agent);
    if (!own.process->runs() || own.asked_to_end) return;
    constexpr double longest_counted_s = 3, kill_after_deadline_s = 0.7;
    double deadline = 0;
    for (const ClassPlan& cls : plan_.classes) deadline = std::max(deadline, cls.deadline);
    own.asked_to_end = true;
    own.process->signal(SIGTERM);
    own.viewers->agent_ends_untold();
    const pid_t life = own.process->id();
    after(std::min(deadline, longest_counted_s) + kill_after_deadline_s,
          [this, agent, life, excuses_until = now() + kill_after_deadline_s] {
              if (process(agent).id() != life || !process(agent).runs()) return;
              process(agent).kill();
              gone(agent, false, agent_starts_after_s, excuses_until);
          });
}

void SocketWorld::signal_agent_in_series(int agent) {
    Slot& own = slot(agent);
    if (!own.process->runs()) return;
    const pid_t life = own.process->id();
    const std::string path = own.folder + "/config.json";
    const auto reread = [this, agent, life, path](double at, const std::string& text) {
        after(at, [this, agent, life, path, text] {
            if (process(agent).id() != life) return;
            write_file(path, text);
            signal_life(agent, life, SIGHUP);
        });
    };
    constexpr double step_s = 0.04;
    reread(0, own.config.substr(0, own.config.size() / 2));
    reread(step_s, own.config);
    constexpr int rereads = 6;
    for (int i = 2; i < rereads; ++i) reread(i * step_s, own.config);
    after(rereads * step_s, [this, agent, life] { signal_life(agent, life, SIGSTOP); });
    reread((rereads + 1) * step_s, own.config);
    after((rereads + 2) * step_s, [this, agent, life] { signal_life(agent, life, SIGCONT); });
}

void SocketWorld::silence_feed(int agent) {
    constexpr double told_within_s = 4;
    slot(agent).feed->fall_silent();
    ledger_.feed_unheard(agent, now());
    ledger_.feed_tells_by(agent, now() + told_within_s);
}

void SocketWorld::feed_down(int agent, bool is_down) {
    constexpr double told_once_back_s = 6;
    ledger_.feed_unheard(agent, now());
    if (is_down) return slot(agent).feed->loses_power();
    ledger_.feed_tells_by(agent, now() + told_once_back_s);
    slot(agent).feed->comes_back(slot(agent).feed_at);
}

void SocketWorld::replace_server(int server) {
    if (!options_.relayed || next_spare_ >= plan_.servers || !servers_[static_cast<std::size_t>(server)])
        return;
    const int successor = next_spare_++;
    kill_server(server, std::nullopt);
    replaced_.insert(server);
    relay_of_[static_cast<std::size_t>(successor)] = relay_of_[static_cast<std::size_t>(server)];
    start_server(successor);
    constexpr double list_late_s = 0.4;
    ledger_.starts_cold(successor, now(), list_late_s);
    for (int agent = 0; agent < plan_.agents; ++agent) {
        const auto at = static_cast<std::size_t>(successor);
        relay(agent, successor).lead_to(server_at_[at][static_cast<std::size_t>(agent)]);
        relay(agent, successor).refuse(false);
    }
    after(list_late_s, [this, server, successor] {
        for (int agent = 0; agent < plan_.agents; ++agent) {
            slot(agent).feed->change(server, "removed");
            slot(agent).feed->start_at(successor, relay(agent, successor).address(), now());
        }
        ledger_.drained(server, now());
    });
}

void SocketWorld::reset_links(int agent, int server) {
    if (!options_.relayed || !is_listed(server)) return;
    ledger_.link_reset(agent, server, now());
    relay(agent, server).break_all();
}

void SocketWorld::cut_one_way(int agent, int server, bool is_cut) {
    if (!options_.relayed || !is_listed(server)) return;
    relay(agent, server).cut(is_cut, false);
    ledger_.link_cut(agent, server, is_cut, now());
}

void SocketWorld::in_pieces(int agent, bool are) {
    for (auto& link : slot(agent).to_servers) link->in_pieces(are);
    if (slot(agent).from_viewers) slot(agent).from_viewers->in_pieces(are);
}

void SocketWorld::bad_clients(int agent, bool are) {
    Slot& own = slot(agent);
    own.bad_clients.reset();
    if (are && own.up)
        own.bad_clients =
            std::make_unique<BadClients>(loop_, own.listen, plan_.classes.front().name, random_());
}

void SocketWorld::spoil_answers(int server, bool spoils) {
    if (auto& one = servers_[static_cast<std::size_t>(server)]) one->spoil_answers(spoils);
}

void SocketWorld::hold_releases(int server, bool holds) {
    if (auto& one = servers_[static_cast<std::size_t>(server)]) one->hold_releases(holds);
}

void SocketWorld::deaden_connections(int agent, int server) {
    if (auto& one = servers_[static_cast<std::size_t>(server)]) one->deaden_connections(agent);
}

void SocketWorld::garble_lines(int server, bool garbles) {
    if (auto& one = servers_[static_cast<std::size_t>(server)]) one->garble_lines(garbles);
}

void SocketWorld::deaf(int from, int to, bool is_deaf) {
    if (slot(from).talks_from)
        slot(to).from_agents->cut(jasperspread::net::to_text(*slot(from).talks_from), is_deaf);
}

void SocketWorld::set_lossy(const Lossy& lossy) {
    for (Slot& own : agents_) own.from_agents->set_lossy(lossy);
}

void SocketWorld::reread_settings(int agent, const std::string& key) {
    write_settings(slot(agent), key);
    process(agent).signal(SIGHUP);
}

}  // namespace lab
