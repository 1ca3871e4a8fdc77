// Stands between two parties on loopback and passes on what they say over TCP, in order: late, held back in
// one direction or in both, or broken off.
#pragma once

#include <deque>
#include <map>
#include <random>

#include "lab/model/party.h"

namespace lab {

class Relay final : public Party {
public:
    Relay(jasperspread::net::Loop& loop, std::uint64_t seed) : Party(loop), random_(seed) {}
    ~Relay() override;

    void lead_to(const jasperspread::net::Address& target) { target_ = target; }
    void delay(double least_s, double jitter_s) { least_s_ = least_s, jitter_s_ = jitter_s; }
    // Each message arrives in pieces from here on, with pauses between them.
    void in_pieces(bool are) { in_pieces_ = are; }
    // What is said meanwhile waits, as TCP would send it again, and arrives once it heals.
    void cut(bool forth, bool back);
    void break_all();  // every connection ends without a word
    // Connects are refused, as where the target's process is gone.
    void refuse(bool refuses);
    std::uint64_t bytes() const { return bytes_; }  // taken from both ends

private:
    struct Way {  // one direction of one connection
        std::deque<std::pair<double, std::string>> bytes;
        double last_due = 0;
        bool ends = false;
        jasperspread::net::Deadlines::Key due{0, 0};
    };
    struct End {
        std::uint64_t other = 0;
        bool caller = false;  // it came to us; the other end is our connect
        Way out;              // towards this end
    };
    void arrived(std::uint64_t number, Connection&) override;
    void left(std::uint64_t number, Connection::End why) override;
    std::size_t heard(std::uint64_t number, std::string_view bytes) override;
    void opened(Connection& connection) override { pass(number_of(connection)); }
    void pass(std::uint64_t number);
    void add(Way& way, std::string_view bytes, double pause_s);
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    bool is_cut(const End& end) const { return end.caller ? cut_back_ : cut_forth_; }

    std::mt19937_64 random_;
    jasperspread::net::Address target_, at_;
    double least_s_ = 0, jitter_s_ = 0;
    std::uint64_t bytes_ = 0;
    bool cut_forth_ = false, cut_back_ = false, in_pieces_ = false;
    std::map<std::uint64_t, End> ends_;
};

}  // namespace lab
