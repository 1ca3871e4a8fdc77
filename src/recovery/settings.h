// What an operator sets for the return of service (docs/operate/power-loss.md).
#pragma once

#include <string>

namespace jasperspread::recovery {

struct Settings {
    std::string order = "off";  // in which service returns: off (all at once), delay, alone, fleet
    std::string uptime_file = "/proc/uptime";  // tells how long the machine has been up, s, as its first word
    // Machines that lost power at one instant are up again within so long of each other, s.
    double spread_s = 120;
    double ask_s = 3;              // longest wait for others' answers
    unsigned answers_enough = 12;  // with so many answers nobody is waited for
    double list_s = 5;             // longest wait for a list that is not behind
    double probe_s = 3;            // for a first answer of a server
    double paid_s = 10;            // until those of the paid classes who come are served
    double rest_s = 20;            // until all others are let in
    double rest_from = 2;          // of whom so many a second are let in at first
    double calm_s = 5;             // gentle orders hold nobody back once all has been well for so long
    double delay_s = 10;           // with the order `delay`: nobody is let in for so long
    double stay_away_s = 0.5;      // those who are turned away are told to, up to twice as long
};

}  // namespace jasperspread::recovery
