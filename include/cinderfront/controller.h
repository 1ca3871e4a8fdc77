// The interface of cinderfront: settings and events go in, actions come out. Nothing here decides anything,
// and nothing here knows a wire. Times are seconds of one clock that the caller keeps and passes in; rates
// are kB a second. A value that was not told stays at its initial 0, empty list or empty optional.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cinderfront {

enum class Semantics { ReadLike, IdempotencyKey, NonIdempotent };
enum class KeyScope { All, Zone, Cell };

struct ClassSettings {
    double aim = 0, deadline = 0;  // s: wanted set-up time; how long the viewer waits
    double points = 0;             // worth of one second at a rung of worth 1
    Semantics semantics = Semantics::ReadLike;
    KeyScope key_scope = KeyScope::All;
    double window = 0;  // s, in which a keyed set-up may be sent again
    double scale = 0;   // its rates over those of the ladder
    int floor = 0, top = 0;
    int seats = 0;  // sessions of one title that a front may hold; 0: no cap
    bool live = false;
};

struct TenantSettings {
    double portion = 0, quota_rps = 0;
};

struct Settings {
    std::uint32_t position = 0, fronts = 0;  // this front's number, and how many there are
    std::optional<std::uint32_t> zone;       // index; nullopt: not told
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::uint32_t cells = 0, racks = 0;
    std::vector<double> ladder_kb, worth_by_rung;
    std::vector<double> places_by_kind;  // streams that a server of each kind runs at most
    double all_links_kb = 0, rack_link_kb = 0, weight_kb = 0;
    double shared_adds = 0, guard = 0, stall_cost = 0, switch_cost_s = 0;
    double told_late = 0, told_every = 0;
    double over_share_worth = 0;
    double goal_whole = 0, goal_worst_window = 0, goal_worst_class = 0, goal_worst_tenant = 0;
    double price_cross_zone = 0, price_late_fail = 0, price_moves = 0, price_peer = 0, price_probe = 0;
    double price_handshake = 0;  // for each new connection to a server, per session asked for
    bool list_on_request = false;
    bool can_cancel = false, can_probe = false, can_message = false, can_advise_retry = false;
    std::uint32_t try_limit = 0;
    double max_retry_after = 0, round = 0;
    double conn_idle = 0;  // s; servers close connections that rest so long
    double answer_slack = 0, must_ask_in = 0, drain_grace = 0;
    double cold = 0, cold_from = 0, fall = 0, fall_multiple = 0;
    std::optional<double> spare_attempts, resend_ratio, look_back;  // told where attempts are rationed
};

enum class ServerState { Up, Leaving, Gone };
enum class ListKind { Update, Replace, Restored, Unavailable };
enum class Ending { Delivered, AppError, Shed, Expired, DialFailed, Dropped, Revoked, Unused };

struct ServerEntry {
    std::uint32_t server = 0, zone = 0, kind = 0, cell = 0;
    ServerState state = ServerState::Up;
    double size = 0;
    std::optional<double> last_start;
};

struct LoadReport {  // what a server says of itself; only the fields that the site reports are there
    std::optional<double> busy, pending, link_share, link_asked, rack_asked, setup_ms, served_ps, failed_ps;
};

struct Request {
    std::uint64_t id = 0;
    std::uint32_t cls = 0;
    std::optional<std::uint32_t> tenant;
    std::optional<std::uint64_t> key, title;
    double not_after = 0;
    std::optional<double> hint;  // s
    std::uint32_t start_cell = 0, holders = 0;
    int ceiling = 0;  // the viewer's best rung
    bool moved = false, repeat = false;
};

// Events.
struct ServerList {
    ListKind kind = ListKind::Update;
    std::vector<ServerEntry> entries;
};
struct NewRequest {
    Request request;
};
struct TakenOver {
    Request request;
    std::uint32_t server = 0;
};
struct Started {
    std::uint64_t id = 0;
    std::uint32_t server = 0, attempt = 0;
    double latency = 0;
};
enum class NoteKind { Delivered = 1, Rung = 2, Link = 3, Rack = 4 };
struct Note {
    std::uint64_t id = 0;
    NoteKind kind = NoteKind::Link;
    std::uint32_t attempt = 0, server = 0;
    double value = 0;
};
struct Outcome {
    std::uint64_t id = 0;
    std::uint32_t attempt = 0, server = 0;
    Ending ending = Ending::Delivered;
    double latency = 0;
    bool last = false;
    LoadReport report;
};
struct Abandoned {
    std::uint64_t id = 0;
};
struct TimerFired {
    std::uint64_t token = 0;
};
struct ProbeResult {
    std::uint32_t server = 0;
    Ending ending = Ending::Delivered;
    double latency = 0;
    LoadReport report;
};
// A session that stands could go to another server without a break: where would its worth be most?
struct Seek {
    std::uint64_t id = 0;
};
struct HandoverCompleted {  // it went there
    std::uint64_t id = 0;
    std::uint32_t server = 0;
    int rung = 0;
};
using Rehomed = HandoverCompleted;  // its former name
// What may be let in from here on, as while service comes back after a power loss. Until one is told, all is.
struct Allowance {
    std::vector<double> per_s;  // set-ups a second that this front may begin, by class; none: as they come
    double stay_away = 0;       // s: who is turned away meanwhile comes back after so long, up to twice that
};
// Proof that a server has run since then, as of a session that has played there all the time.
struct ServerRunning {
    std::uint32_t server = 0;
    double since = 0;
};
using Runs = ServerRunning;  // its former name
struct PeerMessage {
    std::uint32_t from = 0;
    std::string bytes;
};
using Event = std::variant<ServerList, NewRequest, TakenOver, Started, Note, Outcome, Abandoned, TimerFired,
                           ProbeResult, Seek, HandoverCompleted, PeerMessage, Allowance, ServerRunning>;

// Actions.
struct Send {
    std::uint64_t id = 0;
    std::uint32_t server = 0;
    double give_up_after = 0;
};
struct SetRung {
    std::uint64_t id = 0;
    int rung = 0;
};
struct Cancel {
    std::uint64_t id = 0;
    std::uint32_t attempt = 0;
};
struct Refuse {
    std::uint64_t id = 0;
    double retry_after = 0;
};
struct Fail {
    std::uint64_t id = 0;
};
struct Move {
    std::uint64_t id = 0;
};
struct Offer {  // the answer to Seek, where there is one: a second there is worth `gain` more
    std::uint64_t id = 0;
    std::uint32_t server = 0;
    int rung = 0;
    double gain = 0;
};
struct Timer {
    double at = 0;
    std::uint64_t token = 0;
};
struct Probe {
    std::uint32_t server = 0;
};
struct CloseIdle {
    std::uint32_t server = 0;
};
struct Tell {
    std::optional<std::uint32_t> to;  // nullopt: every other front
    std::string bytes;
};
struct Subscribe {
    bool enable = true;
};
struct FetchList {};
struct Trace {
    std::string text;
};
using Action = std::variant<Send, SetRung, Cancel, Refuse, Fail, Move, Offer, Timer, Probe, CloseIdle, Tell,
                            Subscribe, FetchList, Trace>;

// One front. Controllers share nothing; the same seed and events give the same actions.
class Controller {
public:
    Controller(const Settings& settings, std::uint64_t seed);
    ~Controller();
    Controller(Controller&&) noexcept;
    Controller& operator=(Controller&&) noexcept;

    // Takes one event at time `now` and appends what is to be done to `out`, in order.
    void handle(double now, const Event& event, std::vector<Action>& out);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace cinderfront
