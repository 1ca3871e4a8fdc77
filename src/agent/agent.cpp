#include "agent.h"

#include <algorithm>
#include <iterator>

namespace jasperspread::agent {
namespace {

// After SIGTERM new set-ups keep coming for 0.6 s or so, and none may be lost: no end before this, s.
constexpr double stay_least = 0.9;
// Sessions that play are worth staying for. SIGKILL comes no sooner than the longest deadline, 3 s at most,
// and 0.7 s after SIGTERM: so long after that deadline the program goes by itself, s, and answers what is
// open.
constexpr double longest_counted = 3.0, stay_over_deadline = 0.4;
constexpr double look_every = 0.05, last_words = 0.2;
constexpr std::size_t spare = 24;  // standard streams, listener, feed, signals, and some to breathe
// Buffers that lie idle, and the part of the memory that buffers may take where some do without.
constexpr std::size_t buffers_kept = 128, memory_over_buffers = 4;
// Where the settings don't tell, s and sessions.
constexpr double usual_connect_timeout = 0.25;
constexpr std::size_t usual_streams = 32;

std::size_t viewers_most(const Config& config) {
    return config.descriptors / 2;
}
std::size_t closing_most(const Config& config) {
    return config.descriptors / 8;
}

Config begun(net::Loop& loop, Between& between, Config config) {
    between.starts(loop, config);
    return config;
}

}  // namespace

LinkLimits Agent::link_limits() const {
    const Profile& profile = config_.profile;
    LinkLimits limits;
    limits.connect_timeout = profile.connect_timeout > 0 ? profile.connect_timeout : usual_connect_timeout;
    limits.conn_idle = profile.conn_idle;
    limits.streams_per_conn = profile.streams_per_conn > 0 ? profile.streams_per_conn : usual_streams;
    const std::size_t kept =
        viewers_most(config_) + closing_most(config_) + std::min(spare, config_.descriptors / 4);
    limits.connections = config_.descriptors - kept;
    limits.note_every = profile.settings.told_every;
    limits.note_late = profile.settings.told_late;
    limits.can_probe = profile.settings.can_probe;
    return limits;
}

ServerPort& Agent::servers_side() {
    if (journal_) return *journal_;
    return servers_;
}

Agent::Agent(net::Loop& loop, Log& log, Config config, Between* between, const MemoryOrder* memory)
    : loop_(loop),
      log_(log),
      between_(between != nullptr ? *between : nothing_between_),
      config_(begun(loop, between_, std::move(config))),
      pool_(buffers_kept, config_.memory / memory_over_buffers / net::buffer_size),
      sessions_(loop, log, config_.profile.settings, config_.seed, config_.directory, config_.memory),
      journal_(memory == nullptr
                   ? nullptr
                   : std::make_unique<SessionJournal>(loop, log, *memory, config_.profile, config_.directory,
                                                      between_.from_servers(sessions_))),
      servers_(loop, pool_, log,
               journal_ ? static_cast<ServerEvents&>(*journal_) : between_.from_servers(sessions_),
               config_.directory, link_limits()),
      viewers_(loop, pool_, log, between_.from_viewers(sessions_), config_.profile, config_.listen,
               {viewers_most(config_), closing_most(config_)}),
      feed_(loop, pool_, log, {config_.feed, config_.known_number, config_.directory.revision()},
            config_.profile, [this](const ListChange& change) { listed(change); }),
      wake_(loop) {
    if (journal_) journal_->connect(servers_);
    sessions_.connect(between_.to_viewers(viewers_), between_.to_servers(servers_side()));
    if (memory != nullptr) between_.remembers(memory->found);
    sessions_.listed(config_.directory.restored());
    if (journal_) journal_->listed();
    double deadline = 0;
    for (const auto& cls : config_.profile.settings.classes) deadline = std::max(deadline, cls.deadline);
    stay_most_ = std::max(stay_least, std::min(deadline, longest_counted) + stay_over_deadline);
    log_.info("listening", {{"name", config_.name}, {"address", net::to_text(address())}});
}

void Agent::listed(ListChange change) {
    told_ = true;
    between_.heard(change);
    const auto list = config_.directory.apply(change);
    sessions_.listed(list);
    servers_.listed();
    if (journal_) journal_->listed();
    // Where agents talk they are compared: which of them goes by which list, and since when.
    if (peers_) log_.info("list_in_force", {{"number", std::to_string(change.number)}});
    config_.directory.forget_gone(loop_.now(),
                                  [this](ServerNumber number) { return servers_.holds(number); });
}

void Agent::talk(const PeerOrder& order) {
    if (peers_) return peers_->change_key(order.key);
    peers_ = std::make_unique<Peers>(loop_, log_, order, config_.name);
    peers_->answer_by([this](const Peers::Sessions& asked) {
        Peers::Sessions held;
        std::copy_if(asked.begin(), asked.end(), std::back_inserter(held),
                     [this](SessionId id) { return sessions_.holds(id); });
        return held;
    });
    if (journal_) journal_->talk(*peers_);
    if (recovery_) recovery_->talk(*peers_);
}

void Agent::recover(const RecoveryOrder& order) {
    RecoveryCoordinator::Inputs inputs;
    inputs.list_known = [this] { return told_ && !(journal_ && journal_->list_is_behind()); };
    inputs.revision = [this] { return config_.directory.revision(); };
    inputs.flow = [this](bool paid) { return sessions_.flow(paid); };
    inputs.running = [this] { return servers_.running(); };
    RecoveryCoordinator::Callbacks callbacks;
    callbacks.server_running = [this](const cinderfront::ServerRunning& running) {
        sessions_.learn(running);
    };
    callbacks.scope = [this](recovery::Scope scope) {
        if (journal_) journal_->scope_is(scope);
    };
    callbacks.allow = [this](const cinderfront::Allowance& allowance) { sessions_.allow(allowance); };
    recovery_ =
        std::make_unique<RecoveryCoordinator>(loop_, log_, order, config_.profile, loop_.kernel().random(),
                                              std::move(inputs), std::move(callbacks));
}

void Agent::ask_to_end() {
    if (term_at_ != 0) return;
    log_.info("asked_to_end");
    term_at_ = loop_.now();
    sessions_.begin_no_moves();
    wake_.set(loop_.now() + look_every, [] {});
}

bool Agent::may_end() {
    const double stayed = loop_.now() - term_at_;
    if (stayed < stay_most_)
        return stayed >= stay_least && sessions_.unanswered() + sessions_.standing() == 0;
    // SIGKILL may come before the time of what is open still is over.
    sessions_.take_no_more();
    return true;
}

// What has ended is to be gone from the disk too; a disk that is stuck is not waited for.
bool Agent::all_written() {
    constexpr double written_within_s = 1;
    if (!journal_ || loop_.now() >= words_until_ + written_within_s) return true;
    const store::Batcher& batcher = journal_->memory().batcher();
    return batcher.pending() == 0 && !batcher.out();
}

bool Agent::over() {
    if (term_at_ == 0) return false;
    // Guards against a set-up that has come on a connection nobody has accepted yet: it was taken, and must
    // be answered. Those that wait are accepted and heard first, and nobody else can come any more.
    const bool ends = words_until_ == 0 && may_end();
    if (ends && closed_at_ == 0) {
        viewers_.accept_no_more();
        closed_at_ = loop_.now();
    } else if (ends && loop_.now() >= closed_at_ + look_every) {
        log_.info("ends", {{"standing", std::to_string(sessions_.standing())}});
        sessions_.take_no_more();
        sessions_.report();
        sessions_.end_all();
        if (peers_) peers_->leave();
        words_until_ = loop_.now() + last_words;
    }
    if (words_until_ != 0) {
        // Viewers who go on asking see the end this way, and not by a reset.
        const bool late = loop_.now() >= words_until_ - last_words / 2;
        viewers_.finish(late ? ViewerSide::Finish::All : ViewerSide::Finish::WhereRead);
    }
    const bool said = words_until_ != 0 && (viewers_.connections() == 0 || loop_.now() >= words_until_);
    if (said && all_written()) return true;
    if (!wake_.is_set()) wake_.set(loop_.now() + look_every, [] {});
    return false;
}

}  // namespace jasperspread::agent
