// What sessions at servers count for, kept as they change so that no question walks the sessions.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "accounting/charge_ledger.h"
#include "accounting/counted_sum.h"
#include "accounting/counter.h"

namespace cinderfront::accounting {

using Title = std::optional<std::uint64_t>;

/// A session at a server with all that it counts for.
struct Holding {
    std::uint32_t cls = 0;
    Title title;
    int rung = -1;
    bool playing = false;
    bool limited = false;    // its class has a limit of sessions for each title
    bool shares = false;     // sessions of its title, class and rung share a part of their rate
    double rises_below = 0;  // price of a kB under which it might take a higher rung; 0: none
    Charge charge;
};

/// The sessions at one server.
class ServerHoldings {
public:
    void add(const Holding& holding) {
        charges.add(holding.charge);
        if (holding.shares) sharing_.add(key_of(holding));
        if (holding.rises_below > 0) low_.insert({holding.rises_below, holding.charge.id});
    }
    /// Takes away a holding that was added just like this.
    void remove(const Holding& holding) {
        charges.remove(holding.charge);
        if (holding.shares) sharing_.remove(key_of(holding));
        if (holding.rises_below > 0) low_.erase({holding.rises_below, holding.charge.id});
    }

    bool empty() const { return charges.empty(); }
    /// Whether a session of this class and title shares its rate at this rung.
    bool sharing(std::uint32_t cls, const Title& title, int rung) const {
        return sharing_.count({cls, title, rung}) > 0;
    }
    /// The ids, in order, of all sessions that would take a higher rung at this price, and by rounding maybe
    /// of others that nearly would; visits no others.
    std::vector<std::uint64_t> rising_at(double price) const {
        constexpr double rounding = 1e-9;
        std::vector<std::uint64_t> found;
        for (auto it = low_.rbegin(); it != low_.rend() && it->first >= price * (1 - rounding); ++it) {
            found.push_back(it->second);
        }
        std::ranges::sort(found);
        visits_ += found.size();
        return found;
    }
    /// Entries read so far, by which tests tell what a question costs.
    std::uint64_t visits() const { return visits_ + charges.visits(); }

    ChargeLedger charges;

private:
    using Key = std::tuple<std::uint32_t, Title, int>;
    static Key key_of(const Holding& holding) { return {holding.cls, holding.title, holding.rung}; }

    Counter<Key> sharing_;
    std::set<std::pair<double, std::uint64_t>> low_;  // by the price to rise below, and the id
    mutable std::uint64_t visits_ = 0;
};

/// The sessions at all servers together.
class FleetHoldings {
public:
    void add(const Holding& holding) {
        ++size_;
        rates_.add(holding.charge.rate);
        if (holding.limited) limited_.add({holding.cls, holding.title});
        if (holding.playing && holding.title) playing_.add(*holding.title);
    }
    /// Takes away a holding that was added just like this.
    void remove(const Holding& holding) {
        --size_;
        rates_.remove(holding.charge.rate);
        if (holding.limited) limited_.remove({holding.cls, holding.title});
        if (holding.playing && holding.title) playing_.remove(*holding.title);
    }

    std::size_t size() const { return size_; }
    /// kB/s of all.
    double rate() const { return rates_.sum(); }
    bool plays(std::uint64_t title) const { return playing_.count(title) > 0; }
    /// Sessions of a class with a limit that have this title.
    int limited(std::uint32_t cls, const Title& title) const { return limited_.count({cls, title}); }

private:
    std::size_t size_ = 0;
    CountedSum rates_;
    Counter<std::pair<std::uint32_t, Title>> limited_;
    Counter<std::uint64_t> playing_;
};

}  // namespace cinderfront::accounting
