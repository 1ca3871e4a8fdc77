// The log: lines on standard error, each with the Unix time.
#pragma once

#include <cstdio>
#include <string>

#include "net/loop.h"

namespace jasperspread::agent {

inline void log_line(const std::string& text) {
    std::fprintf(stderr, "%.3f %s\n", net::unix_now(), text.c_str());
}

}  // namespace jasperspread::agent
