// A lesson server of the laboratory: the protocol of PROTOCOL on one side, the fleet's links on the other,
// and the hand-over extension by its reference (handover::ServerSide).
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "codec/server_codec.h"
#include "handover/server_side.h"
#include "handover/ticket.h"
#include "lab/model/fleet.h"
#include "lab/model/ledger.h"
#include "lab/model/party.h"

namespace lab {

class LessonServer final : public Party {
public:
    LessonServer(jasperspread::net::Loop& loop, const WorldPlan& plan, int number, Fleet& fleet,
                 Ledger& ledger, std::uint64_t seed);
    ~LessonServer() override;

    void freeze(bool frozen);
    bool is_frozen() const { return frozen_; }
    // Of its answers some come a second time, some behind one to a session that nobody asked for, and in
    // place of some comes a line that can't be read.
    void spoil_answers(bool spoils) { spoils_ = spoils; }
    // It can't send releases meanwhile, though it says all else: they wait for the agent's next connection.
    void hold_releases(bool holds) { holds_releases_ = holds; }
    // The connections that this agent has now stay open, but nothing passes on them any more. New ones do.
    void deaden_connections(int agent);
    // Now and then a line that can't be read goes out on a connection, or one that stops short.
    void garble_lines(bool garbles) { garbles_ = garbles; }
    void set_keys(const std::string& text) { keys_ = jasperspread::handover::TicketKeys(text); }
    void die();                 // its process is about to go: what it streams ends
    void tick(double seconds);  // media delivered over the time just past

    struct Turned {
        std::uint64_t forged = 0, expired = 0, foreign = 0, full = 0, stale = 0;
    };
    const Turned& turned_away() const { return turned_; }
    std::size_t sessions() const { return sessions_.size(); }
    std::uint64_t reservations() const;
    double fill_after_move_most() const { return fill_after_move_most_; }

private:
    using Message = jasperspread::codec::ServerMessage;
    struct Held {
        int cls = 0, rung = 0;
        Wish wish;
        std::uint64_t agent = 0;       // by the address that it speaks from
        std::uint64_t connection = 0;  // of its set-up
        double at = 0, since = 0;      // media reached, and when that was noted
        bool playing = false;          // streams now, as the fleet and the ledger have it
        bool reserved = false;         // held by the fleet for a reservation
        bool waits = false;            // set up, not yet answered
        bool orphan = false;           // its connection has gone: another agent may hold it since
        jasperspread::handover::ServerSide side;
        jasperspread::net::Deadlines::Key due{0, 0}, lapse{0, 0};
    };

    void arrived(std::uint64_t number, Connection&) override;
    void left(std::uint64_t number, Connection::End why) override;
    std::size_t heard(std::uint64_t number, std::string_view bytes) override;
    void take(std::uint64_t from, const Message& message);
    void set_up(std::uint64_t from, const Message& message);
    void finish(std::uint64_t from, const Message& message);
    void hand_over(std::uint64_t from, const Message& message, jasperspread::handover::Verb verb);
    bool allowed(const Message& message, jasperspread::handover::Verb verb);
    void answer(SessionId id);
    bool spoil(SessionId id, const Held& held, const Message& started);
    void follow(SessionId id);  // after the state of the hand-over side may have changed
    void media_over(SessionId id);
    void erase(SessionId id);
    void end(SessionId id, int cause, bool tell);
    bool say(const Held& held, const Message& message);  // false: not sent to the agent that holds it
    void garble();
    int agent_number(std::uint64_t connection) const;
    bool is_dead(std::uint64_t connection) const { return dead_.contains(connection); }
    void deaden(std::uint64_t number);
    bool has_dead_connection(int agent) const;
    bool say_to_all(SessionId id, const std::string& text);  // false: not to the agent that holds it
    void say_on(std::uint64_t number, const Message& message);
    void notes();
    double rate_of(const Held& held, int rung) const;
    double media_now(const Held& held) const;
    void later(double at, jasperspread::net::Deadlines::Key& key, std::function<void()> what);

    const WorldPlan& plan_;
    const int number_;
    Fleet& fleet_;
    Ledger& ledger_;
    std::mt19937_64 random_;
    jasperspread::handover::TicketKeys keys_;
    std::map<SessionId, Held> sessions_;
    std::map<SessionId, std::uint64_t> fences_;        // of sessions that have gone
    std::map<std::uint64_t, std::uint64_t> agent_of_;  // by connection
    // By agent: releases for its next connection, and since when.
    std::map<std::uint64_t, std::deque<std::pair<double, std::string>>> owed_;
    struct OwedToAll {
        double at = 0;
        std::string text;
        std::set<std::uint64_t> told;
    };
    std::deque<OwedToAll> owed_all_;
    std::deque<std::pair<std::uint64_t, Message>> waiting_;  // what came while frozen
    std::deque<std::pair<double, double>> fills_;            // time and fill, for notes that speak of before
    std::map<std::uint64_t, bool> was_short_;
    std::set<std::uint64_t> dead_;  // connections on which nothing passes
    bool frozen_ = false, spoils_ = false, holds_releases_ = false, garbles_ = false;
    double noted_ = 0, shared_ = 0, smooth_share_ = 1, fill_after_move_most_ = 0;
    std::vector<std::unique_ptr<jasperspread::net::Timer>> second_answers_;
    std::vector<std::function<void()>> thawing_;  // timers that fell due while frozen
    jasperspread::net::Timer timer_;
    Turned turned_;
};

}  // namespace lab
