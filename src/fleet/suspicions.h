// The members that are suspected, and when a suspicion ends in death: the sooner the more others confirm it
// (Lifeguard), and never before the suspect was pinged some last times.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "fleet/member.h"
#include "fleet/settings.h"

namespace jasperspread::fleet {

class Suspicions {
public:
    explicit Suspicions(const Settings& settings)
        : suspect_s_(settings.suspect_s), last_call_s_(last_call_answers * settings.answer_s) {}

    void begin(const Name& suspect, const Name& by, double now);
    void confirm(const Name& suspect, const Name& by);  // nothing where it is not suspected
    void end(const Name& suspect) { suspicions_.erase(suspect); }
    bool empty() const { return suspicions_.empty(); }
    // This process stood still for so long, s: the time counts against nobody.
    void postpone(double seconds);

    struct Due {
        std::vector<Name> to_ping;  // before they are called dead
        std::vector<Name> dead;     // still suspected until end() is called
    };
    // `present`: how many members there are, as an update takes the longer to reach all the more there are.
    Due take_due(double now, std::size_t present);
    double due(std::size_t present) const;  // infinity where nobody is suspected

private:
    // The last call lasts for so many times the usual answer.
    static constexpr double last_call_answers = 2;

    struct Suspicion {
        double began = 0;
        std::set<Name> by;
        double last_call = 0;  // when it began, if pings > 0
        unsigned pings = 0;
    };
    double least_s(std::size_t present) const;
    double ends(const Suspicion& suspicion, double least) const;

    const double suspect_s_, last_call_s_;
    std::map<Name, Suspicion> suspicions_;
};

}  // namespace jasperspread::fleet
