// The program from its command line to its end: files, signals, the loop. src/main.cpp calls it, and so does
// the laboratory's broken program.
#pragma once

#include "agent/between.h"

namespace jasperspread::ops {

int run_program(int argc, char** argv, agent::Between* between = nullptr);  // gives the status to exit with

}  // namespace jasperspread::ops
