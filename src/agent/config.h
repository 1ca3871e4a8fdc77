// What a session agent is told at its start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "agent/directory.h"
#include "agent/settings.h"
#include "net/socket.h"

namespace jasperspread::agent {

struct Config {
    std::string name;
    net::Address listen, feed;
    std::uint64_t seed = 0;
    std::size_t descriptors = 0;
    std::size_t memory = 0;  // bytes
    Profile profile;
    std::uint64_t known_number = 0;  // of the last event under `known`
    ServerDirectory directory;       // as those events leave it
};

// Throws SettingsError, which names the field.
Config read_config(std::string_view text);

}  // namespace jasperspread::agent
