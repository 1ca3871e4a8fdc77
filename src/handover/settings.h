// What an operator sets for the hand-over of sessions between lesson servers (docs/operate/handover.md).
#pragma once

#include <cstdint>
#include <string>

namespace jasperspread::handover {

struct Settings {
    bool enabled = false;
    std::string key_file;             // names the file that holds the key; read by the wiring
    double hold_s = 2.0;              // how long a target keeps a reservation, by its own clock
    double probation_s = 0.4;         // how long a target streams before it must have heard CONFIRM
    double answer_s = 0.3;            // a step without an answer so long has failed, or is asked again
    double clock_slack = 0.05;        // part by which two clocks may run apart
    double look_every_s = 0.25;       // how often the sessions worth moving are looked for
    double least_gain = 0.05;         // worth of a second, as a part of the class's; under it nothing moves
    double payback_s = 4.0;           // a move must earn its price within so long
    double price_s = 0.2;             // seconds of the class's worth that a move costs
    double rest_s = 30.0;             // a session rests so long after a move: no ping-pong
    double moves_per_minute = 120;    // of this agent
    std::uint32_t out_of_source = 4;  // moves at once from one server
    std::uint32_t into_target = 2;    // and into one
    double back_off_s = 2.0;          // a target that failed a preparation is left alone, doubling
    double back_off_most_s = 30.0;
};

}  // namespace jasperspread::handover
