#include "talk_world.h"

#include <algorithm>

#include "lab/model/world.h"

namespace lab {

namespace {
constexpr std::uint16_t port = 2910;
constexpr int seeds_named = 3;
}  // namespace

void TalkWorld::Log::write(jasperspread::agent::Level, std::string_view event,
                           std::initializer_list<jasperspread::agent::Field> fields) {
    if (event != "fleet") return;
    std::string what, name;
    for (const auto& field : fields) {
        if (field.key == "what") what = field.value;
        if (field.key == "name") name = field.value;
    }
    world->said(agent, what, name);
}

TalkWorld::TalkWorld(int agents, std::uint64_t seed, jasperspread::fleet::Settings settings, Lossy lossy)
    : network_(seed, {0.0002, 0.002}), settings_(std::move(settings)) {
    network_.set_lossy(lossy);
    settings_.seeds.clear();
    for (int agent = 0; agent < agents; ++agent) {
        add_slot("n" + std::to_string(agent));
        if (agent < seeds_named)
            settings_.seeds.push_back(jasperspread::net::to_text(host(agent).address(port)));
    }
    for (int agent = 0; agent < agents; ++agent) start(agent);
}

TalkWorld::~TalkWorld() {
    for (Slot& one : slots_) one.peers.reset();
}

void TalkWorld::add_slot(const std::string& name) {
    Slot& made = slots_.emplace_back();
    made.host = &network_.add_host(16);
    made.name = name;
    made.log = std::make_unique<Log>();
    made.log->world = this;
    made.log->agent = static_cast<int>(slots_.size()) - 1;
}

void TalkWorld::start(int agent) {
    Slot& own = slot(agent);
    jasperspread::agent::PeerOrder order{settings_, ticket_key()};
    order.settings.listen = jasperspread::net::to_text(own.host->address(port));
    own.died = 0;
    own.heard_by = 0;
    own.peers = std::make_unique<jasperspread::agent::Peers>(own.host->loop(), *own.log, order, own.name);
    own.host->run([] { return true; });
}

int TalkWorld::start_same_name(int agent) {
    add_slot(slot(agent).name);
    start(agents() - 1);
    return agents() - 1;
}

void TalkWorld::end(Slot& own) {
    own.sent += own.peers->counts().sent;
    own.sent_bytes += own.peers->counts().sent_bytes;
    own.host->kill([&] { own.peers.reset(); });
    own.stopped = false;
}

void TalkWorld::kill(int agent) {
    Slot& own = slot(agent);
    if (!own.peers) return;
    end(own);
    own.died = now();
}

void TalkWorld::leave(int agent) {
    Slot& own = slot(agent);
    if (!own.peers) return;
    own.peers->leave();
    constexpr double said_s = 0.05;
    network_.at(now() + said_s, [this, agent] {
        if (slot(agent).peers) end(slot(agent));
    });
}

void TalkWorld::stop(int agent, bool stopped) {
    slot(agent).stopped = stopped;
    slot(agent).host->stop(stopped);
}

void TalkWorld::split(const std::vector<int>& part, bool is_split) {
    for (const int inside : part) {
        for (int other = 0; other < agents(); ++other) {
            if (std::find(part.begin(), part.end(), other) == part.end())
                network_.cut(host(inside), host(other), is_split);
        }
    }
}

std::size_t TalkWorld::running() const {
    return static_cast<std::size_t>(
        std::count_if(slots_.begin(), slots_.end(), [](const Slot& one) { return one.peers != nullptr; }));
}

// Whether what `by` knows of this agent is of the process that runs, not of an earlier one of its name.
bool TalkWorld::is_running_life(int by, const Slot& of) {
    const auto& known = slot(by).peers->membership().members();
    const auto it = known.find(of.name);
    return it != known.end() &&
           it->second.record.incarnation.token == of.peers->membership().self().incarnation.token;
}

void TalkWorld::said(int by, const std::string& what, const std::string& name) {
    ++logged_[what];
    if (what != "died") return;
    const auto it =
        std::find_if(slots_.begin(), slots_.end(), [&](const Slot& one) { return one.name == name; });
    if (it == slots_.end()) return;
    if (it->died == 0) {
        ++(is_running_life(by, *it) ? false_deaths_of_running_ : late_deaths_);
        falsely_dead_.insert(name);
        return;
    }
    ++it->heard_by;
    if (it->heard_by == 1) first_heard_.push_back(now() - it->died);
    if (it->heard_by == running()) last_heard_.push_back(now() - it->died);
}

bool TalkWorld::all_agree() {
    return std::all_of(slots_.begin(), slots_.end(), [&](const Slot& one) {
        if (!one.peers || one.peers->membership().retired()) return true;
        return one.peers->membership().present() == running();
    });
}

std::uint64_t TalkWorld::sent() const {
    std::uint64_t sum = 0;
    for (const Slot& one : slots_) sum += one.sent + (one.peers ? one.peers->counts().sent : 0);
    return sum;
}

std::uint64_t TalkWorld::sent_bytes() const {
    std::uint64_t sum = 0;
    for (const Slot& one : slots_) sum += one.sent_bytes + (one.peers ? one.peers->counts().sent_bytes : 0);
    return sum;
}

std::size_t TalkWorld::logged(const std::string& what) const {
    const auto it = logged_.find(what);
    return it == logged_.end() ? 0 : it->second;
}

}  // namespace lab
