// Whether hollow agents talk as real ones do: messages and bytes of agents that lived through the whole run.
#pragma once

#include "lab/scale/scale_run.h"

namespace lab {

struct Likeness {
    double messages = 0, bytes = 0;  // of a hollow agent over those of a real one, on average
    // Standard errors of these, by how far hollow agents differ among each other.
    double messages_error = 0, bytes_error = 0;
    int real = 0, hollow = 0;  // compared
};

// From the baseline on. What either sends is counted where it is received: a real one's sockets can't be
// seen.
Likeness compare(ScaleWorld& world, const ScaleOutcome& outcome);

}  // namespace lab
