// Every interleaving of a hand-over, within bounds: one session, two servers, one agent, with the program's
// own machines (handover::Move and handover::ServerSide). Messages are lost, repeated and overtaken; servers
// freeze and crash; the agent is killed; the viewer leaves.
#pragma once

#include <cstdint>
#include <string>

namespace explore {

// A fault planted on purpose, to show that the search finds it.
enum class Planted {
    None,
    ActivateEarly,     // the agent doesn't wait for the source's word
    NoProbation,       // a target that was activated streams on, confirmed or not
    ResumeEarly,       // the agent resumes the source before the target's time is over
    DenialForgotten,   // a repeat of a PREPARE that was denied finds another reservation and takes it
    ClockNotLookedAt,  // a server that thaws streams before it looks at its clock
    ReservationStays,  // a reservation never lapses
};

struct Bounds {
    int repeats = 1;  // messages that arrive twice
    int faults = 1;   // freezes, crashes, a killed agent, a viewer who leaves
    int moves = 1;    // hand-overs one after the other, there and back
    Planted planted = Planted::None;
};

struct Report {
    std::uint64_t states = 0, ends = 0;
    std::uint64_t moved = 0, stayed = 0, ended = 0;  // ends, by what became of the session
    std::string violation;                           // empty: none; else the first, with the way to it
    bool cut = false;                                // the bound on states was reached
};

Report search(const Bounds& bounds, std::uint64_t most_states = 30'000'000);

}  // namespace explore
