// Whether hollow agents talk as real ones do: messages and bytes of agents that lived through the whole run.
#pragma once

#include "lab/scale/scale_run.h"

namespace lab {

// Of a hollow agent over that of a real one, on average; and the standard error of that, by how far hollow
// agents differ among each other.
struct Ratio {
    double value = 0, error = 0;
};

struct Likeness {
    Ratio messages, bytes;
    // Without messages of the kind List: whole lists are few and large, and chance has much say in who sends
    // one.
    Ratio messages_without_lists, bytes_without_lists;
    Ratio received;            // messages, without those sent
    int real = 0, hollow = 0;  // compared
};

// From the baseline on. What either sends is counted where it is received: a real one's sockets can't be
// seen.
Likeness compare(ScaleWorld& world, const ScaleOutcome& outcome);

}  // namespace lab
