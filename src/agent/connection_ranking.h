// The viewers' connections in two orders that are kept up to date: which of them is closed first for a
// newcomer, and which is told an end first. Pure: the connections are named by numbers, times are passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace jasperspread::agent {

class ConnectionRanking {
public:
    using Number = std::uint64_t;  // ascending in the order in which connections came
    // What is known of the peer. Each connection is in one of these.
    enum class Trust : std::uint8_t {
        Closing,       // from here: it waits for the peer's close
        Silent,        // no whole message has come yet
        Faulty,        // it has spoken, but asked for what nobody can do
        Spoken,        // it has spoken
        ServedFaulty,  // a viewer was served there, and has also asked for what nobody can do
        Served,        // a viewer was served there
    };
    struct Rank {
        Trust trust = Trust::Silent;
        bool busy = false;  // a set-up is open there
        double used = 0;    // last traffic
        Number number = 0;
        auto key() const { return std::tuple(trust, busy, used, number); }
        bool operator<(const Rank& other) const { return key() < other.key(); }
    };

    void add(const Rank& rank) { ranks_.insert(rank); }
    void remove(const Rank& rank) { ranks_.erase(rank); }
    void change(const Rank& from, const Rank& to);

    // Those with this trust that are not busy and were used last before `used_before`, those that rested
    // longest first, until `visit` says false.
    void each_rested(Trust trust, double used_before, const std::function<bool(Number)>& visit) const;
    // The same over two trusts, as if they were one.
    void each_rested(Trust trust, Trust other, double used_before,
                     const std::function<bool(Number)>& visit) const;

    // The connection that is most likely to have a viewer who listens: one where a viewer was served before
    // one that has only spoken, of these the one used last, the earliest where that is the same. `not_this`
    // only where there is no other one as good. Silent ones count once they are `silent_used_by` old.
    // nullopt: there is none.
    std::optional<Number> most_trusted(Number not_this, double silent_used_by) const;

private:
    using Ranks = std::set<Rank>;
    struct Best {
        std::optional<Rank> other, not_this;  // the best that is not `not_this`, and that one
    };
    void look(Trust trust, double used_by, Number not_this, Best& best) const;
    void look(Trust trust, bool busy, double used_by, Number not_this, Best& best) const;

    Ranks ranks_;
};

}  // namespace jasperspread::agent
