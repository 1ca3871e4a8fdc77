#include "lab/scale/host_link.h"

#include <algorithm>

#include "lab/run/files.h"

namespace lab {

HostLinks::HostLinks(jasperspread::net::Loop& loop, const std::string& program, const std::string& folder,
                     int hosts, Heard heard)
    : heard_(std::move(heard)),
      party_(loop, [this](std::uint64_t from, std::string_view line) { this->heard(from, line); }) {
    const std::string at = jasperspread::net::to_text(party_.listen(own_loopback_address()));
    for (int host = 0; host < hosts; ++host) {
        processes_.push_back(
            std::make_unique<AgentProcess>(folder + "/host" + std::to_string(host) + ".log"));
        processes_.back()->start(program, {std::to_string(host), at});
    }
}

bool HostLinks::all_run() {
    return std::all_of(processes_.begin(), processes_.end(), [](auto& process) { return process->runs(); });
}

void HostLinks::tell(int host, const Command& command) {
    party_.say(connections_.at(host), encode(command));
}

void HostLinks::tell_all(const Command& command) {
    for (const auto& [host, connection] : connections_) party_.say(connection, encode(command));
}

void HostLinks::heard(std::uint64_t connection, std::string_view line) {
    const Report report = decode_report(line);
    connections_[report.host] = connection;
    heard_(report);
}

}  // namespace lab
