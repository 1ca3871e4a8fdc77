// The figures of a scale run, and which of the wanted ones it misses.
#pragma once

#include "lab/run/common.h"
#include "lab/scale/scale_run.h"

namespace lab {

Result scale_figures(ScaleWorld& world, const ScaleOutcome& outcome);

}  // namespace lab
