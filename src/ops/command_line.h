// The command line.
#pragma once

#include <optional>
#include <string>

namespace jasperspread::ops {

struct Command {
    std::string config;         // the platform's configuration; RELAY_CONFIG where no argument names it
    std::string operator_file;  // empty: none
};

// What is to be served; nullopt when the command is done, with `status` to exit with. A wrong command line
// prints one line and has status 2.
std::optional<Command> read_command_line(int argc, char** argv, int& status);

}  // namespace jasperspread::ops
