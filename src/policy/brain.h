// Every decision of cinderfront, in this order: the server schedule, guards (one for each rule), scarcity,
// health, placing a request, and the events.
#pragma once
#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <utility>
#include "accounting/demand_curve.h"
#include "accounting/table.h"
#include "policy/state.h"

namespace cinderfront {

struct Brain {
    Settings set;
    std::mt19937_64 random;
    double birth = never, now = 0, told_late = 0;
    accounting::Table<Session> sessions;
    std::map<std::uint32_t, Server> servers;
    std::map<std::uint32_t, Rack> racks;
    std::map<std::uint64_t, std::uint64_t> timers;  // token: request
    std::uint64_t next_token = ask_token + 1;
    std::deque<double> queries, resends;  // inside the attempt budget's window
    double asked = never;
    bool subscribed = false, ask_pending = false;
    std::vector<Action>* out = nullptr;

    Brain(const Settings& settings, std::uint64_t seed) : set(settings), random(seed) {
        told_late = std::max(0.0, finite_or(set.told_late, 0));
        bound_price();
    }

    template <typename T>
    void act(T action) {
        out->push_back(std::move(action));
    }

    double uniform() { return static_cast<double>(random() >> 11) * 0x1p-53; }

    Session* find(std::uint64_t id) { return sessions.find(id); }
    Server* find_server(std::uint32_t id) {
        const auto it = servers.find(id);
        return it == servers.end() ? nullptr : &it->second;
    }
    const ClassSettings& cls(const Session& s) const { return set.classes[s.req.cls]; }

    // Many fronts: none sees much of any server, and all that hear the same do the same.
    bool many() const { return set.fronts > few_fronts; }
    double fronts() const { return std::max(1U, set.fronts); }

    // ---- The server schedule ----

    double rate_of(const Session& s, int rung) const {
        if (rung < 0 || rung >= static_cast<int>(set.ladder_kb.size())) return 0;
        return std::max(0.0, finite_or(set.ladder_kb[static_cast<std::size_t>(rung)] * cls(s).scale, 0));
    }

    bool shares(const Session& s) const { return cls(s).live && set.shared_adds > 0 && set.shared_adds < 1; }
    // What one more viewer adds to a server: a further viewer of a live title adds only a part of the rate.
    double added_rate(const Session& s, int rung, const Server& server) const {
        const bool part = shares(s) && server.held.sharing(s.req.cls, s.req.title, rung);
        return rate_of(s, rung) * (part ? set.shared_adds : 1);
    }

    int rungs() const { return static_cast<int>(std::min(set.ladder_kb.size(), set.worth_by_rung.size())); }
    double worth(int rung) const {
        return rung >= 0 && rung < rungs() ? set.worth_by_rung[static_cast<std::size_t>(rung)] : 0;
    }

    double slot_of(double time) const { return std::floor(time / slot_s); }

    // kB/s taken in the slot of now: what was told, and the charges since; unheard servers count as average.
    // Every charge begins now or before: the first slot is the fullest, and its test is the test of all.
    double schedule(const Server& server) const {
        double told = heard(server) ? server.link.value : average;
        // Threat: many fronts leave one that has started empty: it is taken to fill over a session's length.
        const double age = now - server.entry.last_start.value_or(never);
        if (many() && server.held.empty() && age < mean_life) told = average * age / mean_life;
        return std::max(
            0.0, told * server.link_kb + server.held.charges.charged_since(server.link.as_of, slot_of(now)));
    }

    // Threat: a reading from where this front holds nothing stands still, as of one that hung and is back.
    bool heard(const Server& server) const {
        if (!server.held.empty()) return server.link.as_of > never;
        const double every = set.told_every > 0 ? set.told_every : reading_every_s;
        return server.link.as_of >= now - reading_lives * every - told_late;
    }

    // The same for a rack's uplink: its reading, or what its servers carry, no link more than it has.
    double schedule(const Rack& rack) const {
        const bool told = rack.is_told();
        double sum = told ? rack.told.value * set.rack_link_kb : 0;
        for (const Server* server : rack.servers) {
            if (told) sum += server->held.charges.charged_since(rack.told.as_of, slot_of(now));
            if (!told && server->listed) sum += std::min(schedule(*server), server->link_kb);
        }
        return std::max(sum, 0.0);
    }

    // Takes stock of the whole: average use of the links heard of, what links and uplinks give and carry, and
    // how full the heard ones are on average, of link and uplink.
    void look() {
        double links = 0, full = 0;
        int count = 0;
        for (const auto& [id, server] : servers) {
            if (!server.listed || !heard(server)) continue;
            links += std::min(server.link.value, 1.0);
            ++count;
        }
        heard_any = count > 0;
        average = heard_any ? links / count : 0;
        use = gives = fullness = 0;
        count = 0;
        for (auto& [id, rack] : racks) {
            take_stock(rack);
            links = 0;
            for (const Server* server : rack.servers) {
                if (!server->listed) continue;
                const double own = schedule(*server);
                links += server->link_kb;
                use += std::min(own, server->link_kb);
                if (!heard(*server) || looks_bad(*server) || !(server->link_kb > 0)) continue;
                // A server that gives less counts as full: its shortage is relief's to mend.
                full += std::min(1.0, std::max(own / server->link_kb, rack.used / rack.gives));
                ++count;
            }
            gives += std::min(links, rack.gives);
        }
        fullness = count > 0 ? full / count : -1;
    }
    double mean_life = default_length_s / 4;
    double average = 0, use = 0, gives = 0, fullness = -1;
    bool heard_any = false;

    bool has_racks() const { return set.racks > 0 && set.rack_link_kb > 0; }
    void take_stock(Rack& rack) const {
        rack.used = schedule(rack);
        rack.gives = uplink_kb(rack);
    }
    // How the price of a kB changes with how full a server is, of its link or its rack's uplink.
    double local_price(const Server& server) const {
        if (!many() || !heard_any) return 1.0;
        const double link = schedule(server) / std::max(1e-9, server.link_kb);
        const double fill = std::max(link, server.rack->used / server.rack->gives);
        return std::exp(local_gain * (fill / aim_fill - 1));
    }
    double room(const Server& s, double limit) const { return limit * s.link_kb - schedule(s); }

    // minRead of an uplink, calibrated: what it was seen to give while short, fading back to what is told.
    double uplink_kb(const Rack& rack) const {
        if (!has_racks()) return forever;
        if (rack.kb < 0) return set.rack_link_kb;
        const double weight = std::exp((rack.learned - now) / uplink_memory_s);
        return set.rack_link_kb + (rack.kb - set.rack_link_kb) * weight;
    }

    bool is_short(const Server& server) const {
        return server.share.as_of >= now - share_lives_s && server.share.value < short_share;
    }
    // The share that a rack's uplink delivers: the middle (one late note must not hide a shortage) of what
    // its servers deliver where this front holds sessions and the link itself is told as not full.
    double share_of(const Rack& rack) const {
        std::vector<double> shares;
        for (const Server* server : rack.servers) {
            if (server->held.empty() || server->link.value > short_share) continue;
            // Threat: shares are told before links: where all links give less, each rack would look short.
            if (many() && is_short(*server) &&
                (server->link.as_of < server->short_since - told_late ||
                 now < server->relieved + told_late + relief_pause_s)) {
                continue;
            }
            shares.push_back(is_short(*server) ? server->share.value : 1.0);
        }
        if (shares.empty()) return 1.0;
        std::sort(shares.begin(), shares.end());
        return shares[shares.size() / 2];
    }

    // ---- Shortage: the exception to rungs held while a session plays ----

    // Threat: a link or uplink that gives less than is asked: all there lose several points of worth for each
    // point missing. Observed condition: notes say so; it ends when they do. This front lowers its sessions
    // there, least worth lost for a kB first, to the part that notes leave. May hurt if it passes in seconds.
    void relieve(const std::vector<Server*>& where, double factor) {
        std::vector<std::pair<Session*, int>> own;  // and the rung that it goes to
        double over = 0;
        for (const Server* server : where) {
            for (const std::uint64_t id : server->held.charges.ids()) {
                Session& s = sessions.at(id);
                over += s.rate * (1 - factor);
                if (s.playing && s.rung < rungs()) own.emplace_back(&s, s.rung);
            }
        }
        std::set<std::tuple<double, std::size_t, double>>
            steps;  // worth lost for a kB, of which in `own`, kB/s
        const auto offer = [&](std::size_t i) {
            const auto [s, rung] = own[i];
            if (rung <= std::max(0, cls(*s).floor)) return;
            const double change = rung < s->rung ? 0 : set.switch_cost_s / relief_horizon_s;
            const double lost = cls(*s).points * (worth(rung) - worth(rung - 1) + change);
            const double step = rate_of(*s, rung) - rate_of(*s, rung - 1);
            steps.emplace(lost / std::max(1e-9, step), i, step);
        };
        for (std::size_t i = 0; i < own.size(); ++i) offer(i);
        while (over > 0 && !steps.empty()) {
            const auto [loss, least, step] = *steps.begin();
            if (uniform() * step > over) break;
            steps.erase(steps.begin());
            over -= step;
            --own[least].second;
            offer(least);
        }
        for (const auto& [s, rung] : own) {
            if (rung != s->rung) change_rung(*s, rung);
        }
    }

    void change_rung(Session& s, int rung) {
        const double rate = rate_of(s, rung);
        if (s.at != nullptr) s.at->held.charges.end(now, s.rate - rate, s.since);
        count(s, false);
        s.rung = rung;
        s.rate = rate;
        count(s, true);
        s.changed = now;
        act(SetRung{s.req.id, rung});
    }

    // The end of both exceptions: a session held under what its viewer and price allow goes back up. All that
    // hear the same take each its part of the room, larger steps by chance, so that together they fill it.
    void restore(Server& server) {
        if (server.link.as_of <= server.restored) return;
        server.restored = now;
        if (is_short(server)) return;
        Rack& rack = *server.rack;
        take_stock(rack);
        const double own = server.held.charges.rate();
        double part = room(server, aim_fill) * own / std::max(own, schedule(server));
        part = std::min(part, (aim_fill * rack.gives - rack.used) * own / std::max(own, rack.used));
        const double dear = price() * local_price(server);
        for (const std::uint64_t id : server.held.rising_at(dear)) {
            Session& s = sessions.at(id);
            const int top = top_rung(s);
            if (now < s.changed + restore_rest_s) continue;
            const int rung = rung_at(s.req.cls, top, dear * s.taste);
            const double more = rate_of(s, rung) - s.rate;
            // A change of rung must earn its told price back within the payback time.
            const bool pays = (worth(rung) - worth(s.rung)) * restore_payback_s >= set.switch_cost_s;
            if (rung <= s.rung || !pays || uniform() * more > part) continue;
            part -= more;
            change_rung(s, rung);
        }
    }

    void relieve_where_short(Server& at) {
        const double pause = told_late + relief_pause_s;
        if (!stands_still(at) && at.link.value * short_share > 1 && at.link.as_of > at.relieved) {
            const double to = many() ? relief_fill_of_many : relief_fill;
            relieve({&at}, to / at.link.value);
            at.relieved = now;
            if (many()) at.link = {to, now};
        }
        Rack& rack = *at.rack;
        const double share = share_of(rack);
        if (has_racks() && share >= dead_share && share < short_share && now > rack.relieved + pause) {
            const double depth = rack.is_told() ? 1 : smoothed_by;
            const double part = std::max(dead_share, 1 - depth * (1 - share));
            rack.kb = std::min(schedule(rack) * part, set.rack_link_kb);
            rack.learned = rack.relieved = now;
            relieve(rack.servers, part * relief_fill);
        }
    }

    void hear(Server& server, double value, double as_of) {
        if (!std::isfinite(value) || value < 0 || as_of < server.link.as_of) return;
        server.link = {value, as_of};
        server.held.charges.forget_ended(now - ended_kept_s);
    }

    void hear_rack(const Server& server, double value, double as_of) {
        Reading& told = server.rack->told;
        if (has_racks() && std::isfinite(value) && value >= 0 && as_of >= told.as_of) told = {value, as_of};
    }

    void hear(Server& server, const LoadReport& report) {
        const double as_of = now - report_age_s;
        if (report.rack_asked) hear_rack(server, *report.rack_asked, as_of);
        if (report.link_asked) return hear(server, *report.link_asked, as_of);
        if (!report.link_share) return;
        const double told = *report.link_share;
        hear(server, told >= full_share ? std::max(told, server.link.value) : told, as_of);
    }

    // ---- Guards: one place for each rule ----

    double end_margin() const { return std::max(end_margin_s, end_rounds * finite_or(set.round, 0)); }

    // Rule 2: may be refused (and resent) although an attempt may have run.
    bool may_refuse(const Session& s) const {
        if (!s.may_have_run || cls(s).semantics == Semantics::ReadLike) return true;
        return cls(s).semantics == Semantics::IdempotencyKey && cls(s).key_scope == KeyScope::All;
    }
    bool may_resend_to(const Session& s, const Server& server) const {
        if (!s.may_have_run || cls(s).semantics == Semantics::ReadLike) return true;
        if (cls(s).semantics == Semantics::NonIdempotent || now > s.first_send + cls(s).window) return false;
        if (cls(s).key_scope == KeyScope::Zone) return server.entry.zone == s.first_zone;
        return cls(s).key_scope == KeyScope::All || server.entry.cell == s.first_cell;
    }

    // Servers know an attempt by its session alone: what one still says of an attempt that was given up, or
    // whose connection broke, would be taken for a word on the next one there.
    static bool may_live_on(const Session& s, std::uint32_t server) {
        return std::ranges::find(s.unsettled, server) != s.unsettled.end();
    }

    // Rule 3, and holders: only servers that the list names as up, and in a cell that holds the title.
    bool may_serve(const Session& s, const Server& server) const {
        if (!server.listed || server.entry.state != ServerState::Up) return false;
        if (set.cells == 0) return false;
        const std::uint32_t cell = server.entry.cell % set.cells, start = s.req.start_cell % set.cells;
        return (cell + set.cells - start) % set.cells < s.req.holders;
    }

    // Rule 4. How many set-ups a cold server bears in a window from all fronts, while it is coldest.
    double cold_budget(const Server& server) const {
        const double places =
            server.entry.kind < set.places_by_kind.size() ? set.places_by_kind[server.entry.kind] : 0;
        const double all = set.fall_multiple * places * set.cold_from * set.fall / set.cold;
        return all > 0 && std::isfinite(all) ? all : fronts();
    }
    bool cold(const Server& server) const { return server.fell || now < server.cold_since + set.cold; }
    // This front's part of it at a time: most of the whole set-ups are dealt to the fronts in a ring, and as
    // many as are left go on to the next fronts within a window, so that no window holds more than all.
    double dealt(const Server& server, double at) const {
        const double all = std::floor(cold_budget(server));
        const double most = std::max(1.0, std::floor(cold_margin * all));
        const double moved = std::floor(at / set.fall * std::max(1.0, all - most));
        const double first = std::floor(std::fmod(server.entry.server * golden_ratio, 1) * fronts());
        return std::ceil((most - std::fmod(set.position + first + moved, fronts())) / fronts());
    }
    double even_part(const Server& s) const { return cold_margin * cold_budget(s) / fronts(); }
    // Threat: a front that starts again beside a cold server has forgotten what it spent in the last window.
    // One only not known to be warm (as after an own start) takes a set-up in so many windows as make up one.
    bool may_warm(const Server& server) const {
        if (!(set.cold > 0 && set.fall > 0 && set.fall_multiple > 0) || !cold(server)) return true;
        const double age = now - server.entry.last_start.value_or(never), own_age = now - birth;
        const bool forgot = age < set.cold && own_age < std::min(age, set.fall);
        const double spent = forgot ? std::max(dealt(server, birth), dealt(server, birth - set.fall)) : 0;
        const double sent = spent + count_since(server.sends, now - set.fall);
        if (age < set.cold || server.fell) return sent < dealt(server, now);
        const double part = even_part(server), from = now - set.fall * std::ceil(1 / std::min(1.0, part));
        return count_since(server.sends, from) < std::max(1.0, std::floor(part));
    }
    static double count_since(const std::deque<double>& times, double from) {
        return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), from));
    }

    // Rule 5. Seats of a title and class, set-ups included.
    bool has_seat(const Session& s) const {
        return cls(s).seats <= 0 || all_held.limited(s.req.cls, s.req.title) < cls(s).seats;
    }
    // Rule 5. The viewer's top rung within the class's; -1 when the class's floor lies above it.
    int top_rung(const Session& s) const {
        const int top = std::min({s.req.ceiling, cls(s).top, static_cast<int>(set.ladder_kb.size()) - 1});
        return top < cls(s).floor ? -1 : top;
    }

    // Threat: all viewers come at once to servers that have just come up, and replays take what paid lessons
    // need. Observed condition: an allowance, from whoever knows that power was lost. May hurt by its length.
    bool let_in(std::uint32_t cls_index) {
        if (cls_index >= allowance.per_s.size()) return true;
        auto& [left, at] = let[cls_index];
        const double per_s = allowance.per_s[cls_index];
        left = std::min(std::max(1.0, per_s * let_burst_s), left + per_s * (now - std::exchange(at, now)));
        return left >= 1 ? (left -= 1, true) : false;
    }
    double stay_away() {
        if (!(allowance.stay_away > 0)) return 0;
        return std::min(set.max_retry_after, allowance.stay_away * (1 + uniform()));
    }
    Allowance allowance;
    std::vector<std::pair<double, double>> let;  // by class: set-ups that may begin, and as of when

    // Rule 6, and the limit of tries.
    bool may_try_again(const Session& s) {
        if (s.sends == 0) return true;
        if (set.try_limit > 0 && s.sends >= set.try_limit) return false;
        if (!set.look_back || !(set.spare_attempts || set.resend_ratio)) return true;
        const double from = now - *set.look_back;
        while (!queries.empty() && queries.front() <= from) queries.pop_front();
        while (!resends.empty() && resends.front() < from) resends.pop_front();
        return static_cast<double>(resends.size()) + 1 <=
               set.spare_attempts.value_or(0) +
                   set.resend_ratio.value_or(0) * static_cast<double>(queries.size());
    }

    // ---- Lasting scarcity: the one exception to rungs held at the viewer's top ----

    // Threat: demand far over the links: top rungs fill them and the rest are refused, again and again. A kB
    // has a price; sessions start at the rung worth most after it. Observed condition: what this front holds
    // and refused would not fit its part of the links, or links are fuller than the aim. It falls by itself.

    double kb_of(std::uint32_t cls_index, int rung) const {
        return set.ladder_kb[static_cast<std::size_t>(rung)] * set.classes[cls_index].scale;
    }
    int rung_at(std::uint32_t cls_index, int top, double dear) const {
        const ClassSettings& c = set.classes[cls_index];
        int best = top;
        double best_value = never;
        for (int r = top; r >= std::max(0, c.floor); --r) {
            const double value = c.points * worth(r) - dear * kb_of(cls_index, r);
            if (value > best_value) {
                best = r;
                best_value = value;
            }
        }
        return best;
    }

    // The demand of the sessions held and turned away, in groups of those with one class and top rung.
    accounting::DemandCurve demand;
    std::size_t group_of(std::uint32_t cls_index, int top) {
        const std::size_t group = cls_index * set.ladder_kb.size() + static_cast<std::size_t>(top);
        if (demand.defined(group)) return group;
        const auto rung = [&](double dear) { return rung_at(cls_index, top, dear); };
        demand.define(group, rung, dearest, [&](int taken) { return kb_of(cls_index, taken); });
        return group;
    }

    double price() {
        for (; !turned_away.empty() && turned_away.front().at < now - refused_kept_s; turned_away.pop_front())
            demand.remove(turned_away.front().group, 1);
        // The quick hand: the price at which this front's own viewers fit its part, for rushes and restarts.
        const double even = 1 / fronts(), own = all_held.rate();
        const auto held = static_cast<double>(all_held.size());
        const double part = (use > 0 ? std::clamp(own / use, even, 1.0) : even) * aim_fill * gives;
        const double quick = demand.price_for(part, least_price, most_price, price_steps);
        // The slow hand: few sessions misjudge their part, so the price also follows how full links are.
        if (fullness >= 0 && now >= priced + price_every_s) {
            priced = now;
            const double more = static_cast<double>(turned_away.size()) / std::max(1.0, held);
            slow *= std::pow(fullness * (1 + more) / aim_fill, price_gain);
            slow = std::clamp(slow, least_price, most_price);
        }
        const double weight = held / (held + even_at);
        return std::pow(quick, weight) * std::pow(slow, 1 - weight);
    }
    double usual_worth = 0;  // of a session, a second
    double priced = never, slow = 0, least_price = 0, most_price = 0;

    // The prices between which rungs differ: under the least all take their tops, over the most their floors.
    void bound_price() {
        least_price = forever;
        for (const ClassSettings& c : set.classes) {
            usual_worth += c.points / static_cast<double>(set.classes.size());
            for (int r = 1; r < rungs(); ++r) {
                const auto i = static_cast<std::size_t>(r);
                const double kb = (set.ladder_kb[i] - set.ladder_kb[i - 1]) * c.scale;
                const double slope = c.points * (worth(r) - worth(r - 1)) / kb;
                if (!(slope > 0) || !std::isfinite(slope)) continue;
                least_price = std::min(least_price, slope / taste_spread);
                most_price = std::max(most_price, slope * taste_spread);
            }
        }
        if (!(most_price > 0)) least_price = most_price = 0;
        // Until it has heard, a front takes the middle price for what the others hold, and none for itself.
        const double others = 1 - 1 / fronts();
        slow = least_price * std::pow(most_price / std::max(1e-300, least_price), others / 2);
    }

    // ---- Health ----

    void failed(Server& server) {
        if (now > server.last_failure + shun_fade_s) server.failures = 0;
        server.failures = std::min(server.failures + 1, 16);
        server.last_failure = now;
        server.shun_until = now + std::min(shun_most_s, shun_base_s * std::ldexp(1.0, server.failures - 1));
    }
    void worked(Server& server) {
        server.failures = server.failures / 2;
        server.shun_until = never;
        if (server.fell) server.cold_since = now;
        server.fell = false;
    }
    // Threat: requests that no server can use would have sound servers left out. An error, or a refusal as
    // something wanted, counts only where its title plays. May hurt where a faulty server has rare titles.
    bool plays(const Session& s) const { return !s.req.title || all_held.plays(*s.req.title); }
    bool stands_still(const Server& server) const {
        return server.share.as_of >= now - share_lives_s && server.share.value < dead_share;
    }
    // Threat: new sessions sent to servers whose sessions tell that they are gone, cut off or stand still.
    bool looks_bad(const Server& server) const {
        if (stands_still(server)) return true;
        if (server.failures == 0 || now > server.last_failure + shun_fade_s) return false;
        return now < server.shun_until || server.setting_up > 0;
    }

    // ---- Placing a request ----

    struct Turned {
        double at = 0;
        std::size_t group = 0;  // of the demand, with the taste 1: others could not be served for less
    };
    std::deque<Turned> turned_away;

    struct Choice {
        bool again = false, bad = false;  // tried before, looks bad
        std::uint64_t tie = 0;
        double net = never, room = 0;  // what the session is worth there, after all prices; room left
        int rung = -1;
        std::uint32_t server = 0;
        auto rank() const { return std::tuple(again, bad, -net, -room); }
        auto order() const { return std::tuple(again, bad, tie); }
    };

    void place(Session& s) {
        const int top = top_rung(s);
        if (now >= s.req.not_after - end_margin() || top < 0 || !may_try_again(s) || !has_seat(s))
            return end(s);
        look();
        const double dear = price() * s.taste;
        Choice best;
        // Few fronts: one price for all servers, and the next rung down only where none has room for more.
        for (int r = many() ? top : rung_at(s.req.cls, top, dear); best.rung < 0 && r >= cls(s).floor; --r) {
            best = choose(s, many() ? cls(s).floor : r, r, dear);
        }
        if (best.rung >= 0) return send(s, *find_server(best.server), best.rung);
        if (plays(s)) {
            turned_away.push_back({now, group_of(s.req.cls, top)});
            demand.add(turned_away.back().group, 1);
        }
        end(s);
    }

    // Threat: many fronts open a connection for nearly every session: its price is weighed with the gain.
    bool apart(const Server& server) const {
        return set.price_handshake > 0 && server.held.empty() &&
               now > server.left + connected_part * set.conn_idle;
    }
    // Threat: many fronts that see one emptiest server all fill it before they hear of each other: each
    // compares only as many drawn holders as its part of the fleet is worth.
    std::size_t draws(double holders) const {
        const double own = holders / fronts();
        return static_cast<std::size_t>(std::ceil(draws_each * std::max(1.0, own)));
    }

    // The drawn holder where the session is worth most, and its rung there: fuller links are dearer, so most
    // room comes first; ties at random. As many are drawn of those that this front is connected to as others.
    Choice choose(const Session& s, int low, int top, double dear) {
        std::array<std::vector<Choice>, 2> drawn;
        double holders = 0, bad = 0;
        for (auto& [id, server] : servers) {
            if (!may_serve(s, server) || (s.out && id == s.server)) continue;
            holders += 1;
            bad += looks_bad(server);
            if (!may_resend_to(s, server) || may_live_on(s, id) || !may_warm(server) ||
                now < server.full_until)
                continue;
            const Rack& rack = *server.rack;
            const double there = (rack.is_told() ? told_limit : link_limit) * rack.gives - rack.used;
            const double most = std::min(room(server, link_limit), there);
            const double here = dear * local_price(server);
            const bool again = std::find(s.tried.begin(), s.tried.end(), id) != s.tried.end();
            if (again && set.try_limit == 0) continue;  // nothing else would end the round of those that fail
            Choice c{again, looks_bad(server), 0, never, most, -1, id};
            for (int r = top; r >= low; --r) {
                if (heard_any && added_rate(s, r, server) > most) continue;
                const double net = cls(s).points * worth(r) - here * rate_of(s, r);
                if (net > c.net) std::tie(c.net, c.rung) = std::tie(net, r);
            }
            if (c.rung < 0) continue;
            c.tie = random();
            if (apart(server)) c.net -= set.price_handshake * usual_worth;
            const bool crosses = many() && set.zone && server.entry.zone != *set.zone;
            if (crosses) c.net -= set.price_cross_zone * usual_worth;
            drawn[apart(server)].push_back(c);
        }
        Choice best;
        for (auto& group : drawn) {
            if (bad <= doubt_part * holders) std::erase_if(group, [](const Choice& c) { return c.bad; });
            std::ranges::sort(group, {}, [](const Choice& c) { return c.order(); });
            group.resize(std::min(group.size(), draws(holders)));
            for (const Choice& c : group) {
                if (best.rung < 0 || c.rank() < best.rank()) best = c;
            }
        }
        return best;
    }

    // How long an attempt may take: leaves time for one more inside the aim, unless none may follow.
    double attempt_cap(const Session& s) const {
        const double left = s.req.not_after - now - end_margin();
        if (cls(s).semantics == Semantics::NonIdempotent) return left;
        const double to_aim = s.taken + cls(s).aim - now;
        return std::min(left, std::max(least_cap_s, (to_aim > 0 ? to_aim : left) * attempt_part));
    }

    void send(Session& s, Server& server, int rung) {
        if (s.rung != rung) act(SetRung{s.req.id, rung});
        s.rung = rung;
        s.rate = added_rate(s, rung, server);
        s.since = now;
        s.until = now + std::max(0.0, s.req.hint.value_or(default_length_s));
        hold(s, server.entry.server);
        s.tried.push_back(s.server);
        if (!s.may_have_run) {
            s.first_send = now;
            s.first_zone = server.entry.zone;
            s.first_cell = server.entry.cell;
        }
        if (s.sends++ > 0) resends.push_back(now);
        server.sends.push_back(now);
        const double kept = set.fall * std::ceil(1 / std::min(1.0, even_part(server)));
        while (server.sends.front() < now - kept) server.sends.pop_front();
        ++server.setting_up;
        act(Send{s.req.id, s.server, attempt_cap(s)});
    }

    // Ends a request that does not play: refused if that is allowed, else failed.
    void end(Session& s) {
        const bool fails = s.out || !may_refuse(s);
        if (s.out && set.can_cancel) act(Cancel{s.req.id, s.sends - 1});
        fails ? act(Fail{s.req.id}) : act(Refuse{s.req.id, stay_away()});
        s.open = false;
        drop_if_done(s.req.id);
    }

    void drop_if_done(std::uint64_t id) {
        const Session* s = find(id);
        if (s == nullptr || s->open || s->out) return;
        if (const int top = top_rung(*s); top >= 0) demand.remove(group_of(s->req.cls, top), s->taste);
        sessions.erase(id);
    }

    // Takes a session off its server: the end of a set-up or of a stream has been told.
    void release(Session& s) {
        Server* server = s.at;
        count(s, false);
        s.out = false;
        s.at = nullptr;
        if (server == nullptr) return;
        server->left = now;
        if (!s.playing) --server->setting_up;
        if (s.playing) server->held.charges.end(now, s.rate, s.since);
        forget_if_idle(s.server);
    }

    // What sessions at servers count for. All of it changes here, so that no event walks the sessions: who
    // changes one at a server takes it off before, and counts it again after.
    void hold(Session& s, std::uint32_t server) {
        s.out = true;
        s.server = server;
        s.at = find_server(server);
        count(s, true);
    }
    void count(const Session& s, bool enters) {
        if (!s.out) return;
        const int top = top_rung(s);
        const bool low = s.playing && s.rung >= 0 && s.rung < top;
        const accounting::Holding holding{
            .cls = s.req.cls,
            .title = s.req.title,
            .rung = s.rung,
            .playing = s.playing,
            .limited = cls(s).seats > 0,
            .shares = shares(s),
            .rises_below = low ? demand.price_down_to(group_of(s.req.cls, top), s.taste, s.rung) : 0,
            .charge = {s.req.id, s.since, slot_of(s.until), s.rate}};
        enters ? all_held.add(holding) : all_held.remove(holding);
        if (s.at != nullptr) enters ? s.at->held.add(holding) : s.at->held.remove(holding);
    }
    accounting::FleetHoldings all_held;

    void leave_rack(Server& server) {
        if (server.rack == nullptr) return;
        std::erase(server.rack->servers, &server);
        if (!has_racks() && server.rack->servers.empty()) racks.erase(server.entry.server);
    }
    void unlist(std::uint32_t id) {
        if (Server* server = find_server(id)) server->listed = false;
        forget_if_idle(id);
    }
    void forget_if_idle(std::uint32_t id) {
        Server* server = find_server(id);
        if (server == nullptr || server->listed || !server->held.empty()) return;
        leave_rack(*server);
        servers.erase(id);
    }

    // ---- Events ----

    void ask_for_list() {
        if (!set.list_on_request) return;
        asked = now;
        ask_pending = true;
        act(Subscribe{true});
        if (set.must_ask_in > 0) act(Timer{now + ask_part * set.must_ask_in, ask_token});
    }

    void on(const ServerList& list) {
        if (list.kind == ListKind::Unavailable) {
            ask_pending = ask_pending || set.list_on_request;
            if (set.list_on_request) act(Timer{now + ask_again_s, ask_token});
            return;
        }
        std::set<std::uint32_t> named;
        for (const ServerEntry& entry : list.entries) {
            named.insert(entry.server);
            if (entry.state == ServerState::Gone) {
                unlist(entry.server);
                continue;
            }
            Server& server = servers[entry.server];
            leave_rack(server);
            server.entry = entry;
            server.rack = &racks[has_racks() ? entry.cell % set.racks : entry.server];
            server.rack->servers.push_back(&server);
            server.listed = true;
            server.link_kb = std::max(0.0, finite_or(set.weight_kb * entry.size, 0));
            if (entry.last_start && std::isfinite(*entry.last_start)) {
                server.cold_since = std::max(server.cold_since, *entry.last_start);
                // Its link carries nothing yet: taken for average among full ones, it would never be tried.
                hear(server, 0, *entry.last_start);
            }
            // Rule 4: one who started after a server counts as told of its start, whatever an old list says.
            if (list.kind == ListKind::Restored) server.cold_since = std::max(server.cold_since, birth);
        }
        ask_pending = ask_pending && list.kind == ListKind::Restored;
        if (list.kind == ListKind::Update) return;
        for (auto it = servers.begin(); it != servers.end();) {
            const std::uint32_t id = it->first;
            ++it;
            if (!named.contains(id)) unlist(id);
        }
        if (list.kind == ListKind::Restored) ask_for_list();
    }

    Session& take(const Request& request) {
        Session& s = sessions.add(request.id);
        s.req = request;
        s.taken = now;
        s.taste = std::pow(taste_spread, 2 * uniform() - 1);
        if (const int top = top_rung(s); top >= 0) demand.add(group_of(s.req.cls, top), s.taste);
        return s;
    }

    void on(const NewRequest& event) {
        const Request& req = event.request;
        if (find(req.id) != nullptr) return;
        if (set.look_back) queries.push_back(now);
        while (!queries.empty() && queries.front() <= now - set.look_back.value_or(0)) queries.pop_front();
        if (req.cls >= set.classes.size()) return act(Refuse{req.id, 0});
        if (req.hint && std::isfinite(*req.hint)) mean_life += (std::max(0.0, *req.hint) - mean_life) / 16;
        Session& s = take(req);
        s.req.not_after = finite_or(req.not_after, now + finite_or(cls(s).deadline, 0));
        if (req.hint && !std::isfinite(*req.hint)) s.req.hint.reset();
        let_in(req.cls) ? place(s) : end(s);
        if (find(req.id) == nullptr) return;
        const double at = std::max(now, s.req.not_after - end_margin());
        timers[next_token] = req.id;
        act(Timer{at, next_token++});
    }

    void on(const TakenOver& event) {
        if (find(event.request.id) != nullptr || event.request.cls >= set.classes.size()) return;
        Session& s = take(event.request);
        s.open = false;
        s.playing = s.noted = true;
        s.sends = 1;
        hold(s, event.server);
    }

    void on(const Started& event) {
        Session* s = find(event.id);
        if (s == nullptr || !s->out || s->playing || event.attempt + 1 != s->sends) return;
        s->open = false;
        count(*s, false);
        s->playing = true;
        s->since = s->changed = now;
        count(*s, true);
        if (Server* server = find_server(s->server)) {
            --server->setting_up;
            worked(*server);
        }
    }

    void on(const Note& note) {
        Session* s = find(note.id);
        if (s == nullptr || !s->out || note.server != s->server || !std::isfinite(note.value)) return;
        Server* server = find_server(s->server);
        if (note.kind == NoteKind::Rung) {
            const auto rungs = static_cast<double>(set.ladder_kb.size());
            if (note.value < 0 || note.value >= rungs) return;
            count(*s, false);
            s->rung = static_cast<int>(note.value);
            s->rate = rate_of(*s, s->rung);
            count(*s, true);
        } else if (note.kind == NoteKind::Link && server != nullptr) {
            // The set-up note speaks of now, the later ones of told_late ago.
            const double as_of = s->noted ? now - told_late : now;
            s->noted = true;
            hear(*server, note.value, as_of);
            look();
            relieve_where_short(*server);
            restore(*server);
        } else if (note.kind == NoteKind::Delivered && server != nullptr && note.value >= 0) {
            if (!is_short(*server)) server->short_since = now;
            server->share = {note.value, now};
            look();
            relieve_where_short(*server);
        } else if (note.kind == NoteKind::Rack && server != nullptr) {
            hear_rack(*server, note.value, now - told_late);
        }
    }

    void on(const Outcome& event) {
        Session* s = find(event.id);
        if (Server* server = find_server(event.server)) hear(*server, event.report);
        if (s == nullptr || !s->out || event.attempt + 1 != s->sends) return;
        Server* server = find_server(s->server);
        const bool was_setup = !s->playing;
        const bool unrun = event.ending == Ending::Shed || event.ending == Ending::DialFailed ||
                           event.ending == Ending::Unused;
        if (was_setup && !unrun) s->may_have_run = true;
        if (was_setup && !unrun && event.ending != Ending::AppError) s->unsettled.push_back(s->server);
        if (server != nullptr) {
            // Rule 4: who sees a server break or stay unreachable knows of its next start.
            const bool breaks = event.ending == Ending::Dropped || event.ending == Ending::DialFailed;
            if (breaks) server->fell = true;
            const bool fault =
                breaks || event.ending == Ending::Expired || (event.ending == Ending::AppError && plays(*s));
            if (event.ending == Ending::Shed) server->full_until = now + full_s;
            if (!was_setup) server->full_until = never;
            const bool broke = event.ending == Ending::Dropped && now > server->last_failure + shun_base_s;
            if (was_setup ? fault : broke) failed(*server);
        }
        release(*s);
        if (event.last) s->open = false;
        if (s->open) return place(*s);
        drop_if_done(event.id);
    }

    void on(const Abandoned& event) {
        Session* s = find(event.id);
        if (s == nullptr || s->playing) return;
        s->open = false;
        drop_if_done(event.id);
    }

    void on(const TimerFired& event) {
        const bool ask_due = now >= asked + std::min(ask_again_s, ask_part * set.must_ask_in);
        if (event.token == ask_token && ask_pending && ask_due) ask_for_list();
        const auto rung = timers.extract(event.token);
        Session* s = rung.empty() ? nullptr : find(rung.mapped());
        if (s != nullptr && s->open && !s->playing) end(*s);
    }

    // What a second of a session is worth where it plays: a short link costs points for what is missing, and
    // a server that leaves takes all with it.
    double worth_here(const Session& s, const Server& server) const {
        const double short_by =
            1 - std::min(is_short(server) ? server.share.value : 1.0, 1 / std::max(1.0, server.link.value));
        const double kept = short_by > 1 - short_share ? std::max(0.0, 1 - set.stall_cost * short_by) : 1;
        return server.entry.state == ServerState::Up ? cls(s).points * worth(s.rung) * kept : 0;
    }
    void on(const Seek& event) {
        Session* s = find(event.id);
        Server* here = s != nullptr && s->playing && s->out ? find_server(s->server) : nullptr;
        if (here == nullptr || top_rung(*s) < 0) return;
        look();
        const Choice best = choose(*s, cls(*s).floor, top_rung(*s), price() * s->taste);
        if (best.rung < 0 || best.bad) return;
        const double gain = cls(*s).points * worth(best.rung) - worth_here(*s, *here);
        if (gain <= 0) return;
        find_server(best.server)->sends.push_back(now);  // it counts there as a set-up would, done or not
        act(Offer{event.id, best.server, best.rung, gain});
    }
    void on(const HandoverCompleted& event) {
        Session* s = find(event.id);
        if (s == nullptr || !s->playing || !s->out) return;
        release(*s);
        s->rung = event.rung;
        s->rate = rate_of(*s, s->rung);
        s->since = s->changed = now;
        hold(*s, event.server);
    }
    void on(const ProbeResult&) {}
    void on(const PeerMessage&) {}
    // Rule 4: a server that an own start alone had taken for cold is known to be as warm as that.
    void on(const ServerRunning& event) {
        Server* server = find_server(event.server);
        const bool old = server != nullptr && server->entry.last_start.value_or(never) > event.since;
        if (server == nullptr || server->fell || old) return;
        server->cold_since = std::min(server->cold_since, event.since);
    }
    void on(const Allowance& event) {
        allowance = event;
        let.resize(event.per_s.size(), {0, now});
    }

    void handle(double at, const Event& event, std::vector<Action>& actions) {
        now = at;
        out = &actions;
        if (birth == never) birth = now;
        std::visit([this](const auto& e) { on(e); }, event);
        out = nullptr;
    }
};

}  // namespace cinderfront
