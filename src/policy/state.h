// What the decisions know: the constants with their reasons, and the state of a front. The mechanism is
// Instantaneous Maximum of Makaroff, Neufeld and Hutchinson, recast for links (docs/design/decisions.md).
#pragma once
#include <cinderfront/controller.h>
#include <cmath>
#include <deque>
#include <limits>
#include <vector>
#include "accounting/holdings.h"

namespace cinderfront {

constexpr double never = -std::numeric_limits<double>::infinity();
constexpr double forever = std::numeric_limits<double>::infinity();

constexpr double slot_s = 1.0;              // length of a slot, s: a finer one would only follow noise
constexpr double default_length_s = 120.0;  // length charged without a hint, s: charges leave by told ends
// Part of the told link that a slot may fill, the paper's minRead; an uplink's told use needs no margin.
constexpr double link_limit = 0.9, told_limit = 1.0;
constexpr double report_age_s = 0.5;  // age given to a load report in an outcome, s: not told; usual
// Periods of the notes that a reading lives where this front holds nothing; the period if untold, s.
constexpr double reading_lives = 2.0, reading_every_s = 4.0;
constexpr double ended_kept_s = 30.0;  // an ended session is taken off older readings so long, s
constexpr double full_share = 0.99;    // from here on a reported share is a floor, not a value
// A request ends so many rounds and at least s before its deadline: a late bell must still be in time.
constexpr double end_rounds = 2.0, end_margin_s = 0.02;
// Part of the time left to the aim; the least cap, s.
constexpr double attempt_part = 0.5, least_cap_s = 0.15;
// Health, s: after failed set-ups a server is left alone for base x 2^(failures in a row - 1), until `fade`.
constexpr double shun_base_s = 1.0, shun_most_s = 8.0, shun_fade_s = 20.0;
constexpr double doubt_part = 0.5;  // more bad holders than this part: doubted, ranked last
constexpr double full_s = 1.0;  // a server that sheds is left out so long, or until a session ends there, s
// Up to so many fronts are few, and see all holders. Many draw so many for each that one has to itself.
constexpr std::uint32_t few_fronts = 4;
constexpr double draws_each = few_fronts;
constexpr double local_gain = 1;        // many fronts: how steeply a kB's price rises with fullness
constexpr double connected_part = 0.5;  // part of the idle time in which a connection surely stands
constexpr double cold_margin = 0.8;     // part used of a cold server's budget: set-ups differ in work
constexpr double golden_ratio = 0.6180339887498949;  // its multiples, less the whole, lie evenly spread
// Scarcity: a refused viewer counts as wanting for so long, s (most are back then); halvings of the search.
constexpr double refused_kept_s = 3.0;
constexpr int price_steps = 30;
constexpr double dearest = 1e100;     // no rung changes at a higher price of a kB
constexpr double let_burst_s = 0.25;  // of an allowance so much may be used at once, s
// What price and restored rungs aim at, of links and uplinks, so that the slot test is still passed.
constexpr double aim_fill = 0.8;
// The slow hand's power of the ratio, each so many s (0.5 swings); own sessions at which it weighs half.
constexpr double price_gain = 0.15, price_every_s = 1.0, even_at = 20;
constexpr double taste_spread = 1.5;  // sessions differ by up to this factor in the price they see
// Shortage: a share delivered under `short_share` loses worth; under `dead_share` no lower rung mends it. A
// short link is brought to `relief_fill` of what it gives. Notes speak of before for told_late and the pause.
constexpr double short_share = 0.98, dead_share = 0.2, relief_fill = 0.97, relief_fill_of_many = 0.88;
constexpr double relief_pause_s = 1.5;
constexpr double smoothed_by = 1.5;      // a smoothed share alone: a shortage counts so many times
constexpr double uplink_memory_s = 8.0;  // what is learned of an uplink fades, s (20: links half empty)
constexpr double share_lives_s = 2.0;    // a note of delivered share older than this is over, s
// Restoring rungs, s: rest after a start or change; a restored rung must earn its change back within so long.
constexpr double restore_rest_s = 4.0, restore_payback_s = 4.0;
constexpr double relief_horizon_s = 8.0;  // over so long the told price of a lowered rung is spread, s
// Renewed asking for the list: part of the told time, and the pause after a failed call, s.
constexpr double ask_part = 0.5, ask_again_s = 1.0;
constexpr std::uint64_t ask_token = 0;

struct Session {
    Request req;
    double taken = 0;
    double taste = 1;      // multiplies the price, so that like sessions do not all change rung at one price
    bool open = true;      // an answer is owed
    bool playing = false;  // set up; its outcome tells the end
    bool out = false;      // an attempt is at `server`, as set-up or as stream
    std::uint32_t sends = 0, server = 0;
    struct Server* at = nullptr;  // `server`, where it holds this session
    int rung = -1;
    double rate = 0;                        // kB/s charged
    double since = never, until = forever;  // slots charged
    double changed = never;                 // its rung was last changed, or it began
    bool noted = false;                     // its set-up note has come
    bool may_have_run = false;              // some attempt is not proved unrun
    double first_send = never;              // and the first of those went here, then:
    std::uint32_t first_zone = 0, first_cell = 0;
    std::vector<std::uint32_t> tried;
    std::vector<std::uint32_t> unsettled;  // servers where an earlier attempt may live on
};

struct Reading {  // asked over given, and the time that it speaks of
    double value = 0, as_of = never;
};

struct Server {
    ServerEntry entry;
    bool listed = false;
    struct Rack* rack = nullptr;
    double link_kb = 0;
    Reading link;
    Reading share;                    // delivered, as_of when told
    double short_since = never;       // and told as short without a break
    double relieved = never;          // own sessions' rungs last lowered
    double restored = never;          // and raised
    accounting::ServerHoldings held;  // this front's, set-ups included
    double cold_since = never;        // it runs at least since then
    bool fell = false;                // seen to fail, and not seen to run since
    std::deque<double> sends;         // inside the cold window
    int failures = 0;                 // set-ups failed in a row
    double last_failure = never, shun_until = never;
    int setting_up = 0;
    double left = never;  // this front's last session there ended
    double full_until = never;
};

struct Rack {  // a server alone, where the site has no racks
    std::vector<Server*> servers;
    Reading told;  // of its uplink, where servers report it
    bool is_told() const { return told.as_of > never; }
    double kb = -1;  // learned of its uplink; less than 0: nothing learned
    double learned = never, relieved = never;
    double used = 0, gives = 0;  // its schedule and uplink when stock was last taken, kB/s
};

inline double finite_or(double value, double fallback) {
    return std::isfinite(value) ? value : fallback;
}

}  // namespace cinderfront
