// Real processes and hollow agents at the size of the next two years, with faults and changes.
#include "lab/scale/scale_figures.h"

namespace lab {

Result run_scale(const Ask& ask) {
    ScaleSize size;
    if (ask.agents > 0) {
        size.real = std::max(2, ask.agents / 10);
        size.hollow = ask.agents - size.real;
    }
    ScaleWorld world(draw_plan(ask.seed, size), {ask.program, ask.hollow_program, ask.folder});
    const ScaleOutcome outcome = play_scale(world);
    return scale_figures(world, outcome);
}

}  // namespace lab
