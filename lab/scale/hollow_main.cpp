// A process of hollow agents: jasperspread_hollow NUMBER ADDRESS. Ends with the experiment that listens
// there.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <exception>

#include "lab/run/files.h"
#include "lab/scale/hollow_host.h"

int main(int argc, char** argv) {
    constexpr int arguments = 3;
    const auto at = argc == arguments ? jasperspread::net::parse_address(argv[2]) : std::nullopt;
    if (!at) {
        std::fprintf(stderr, "expected the host's number and the experiment's address\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    try {
        lab::take_all_descriptors();
        lab::HollowHost host(std::atoi(argv[1]), *at);
        host.run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "hollow host: %s\n", error.what());
        return 2;
    }
    return 0;
}
