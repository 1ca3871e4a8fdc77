#include "lab/run/files.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace lab {

void write_file(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    if (!out.flush()) throw std::runtime_error("can't write " + path);
}

void make_folder(const std::string& path) {
    constexpr mode_t own_only = 0700;
    if (::mkdir(path.c_str(), own_only) != 0 && errno != EEXIST)
        throw std::runtime_error("can't make " + path);
}

void take_all_descriptors() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

jasperspread::net::Address own_loopback_address() {
    const auto own = static_cast<unsigned>(::getpid());
    const auto part = [own](unsigned shift) { return std::to_string(own >> shift & 0xFFU); };
    return *jasperspread::net::parse_address("127." + std::to_string(1 + (own >> 16) % 250) + "." + part(8) +
                                             "." + part(0) + ":0");
}

ReservedAddress::ReservedAddress()
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), address_(own_loopback_address()) {
    const int on = 1;
    socklen_t size = sizeof address_.in;
    const bool is_bound = ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                          ::bind(fd_.get(), address_.raw(), size) == 0 &&
                          ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address_.in), &size) == 0;
    if (!is_bound) throw std::system_error(errno, std::generic_category(), "can't reserve an address");
}

void write_fleet_section(std::ostream& yaml, const jasperspread::fleet::Settings& settings) {
    yaml << "fleet:\n  key_file: " << settings.key_file << "\n  listen: " << settings.listen;
    if (!settings.advertise.empty()) yaml << "\n  advertise: " << settings.advertise;
    yaml << "\n  probe_every_s: " << settings.probe_every_s << "\n  answer_s: " << settings.answer_s
         << "\n  suspect_s: " << settings.suspect_s << "\n  sync_s: " << settings.sync_s << "\n  seeds: [";
    for (std::size_t i = 0; i < settings.seeds.size(); ++i) yaml << (i > 0 ? ", " : "") << settings.seeds[i];
    yaml << "]\n";
}

void write_recovery_section(std::ostream& yaml, const jasperspread::recovery::Settings& settings) {
    yaml << "recovery:\n  order: \"" << settings.order << "\"\n  uptime_file: " << settings.uptime_file
         << "\n  spread_s: " << settings.spread_s << "\n  ask_s: " << settings.ask_s
         << "\n  list_s: " << settings.list_s << "\n  probe_s: " << settings.probe_s
         << "\n  paid_s: " << settings.paid_s << "\n  rest_s: " << settings.rest_s
         << "\n  rest_from: " << settings.rest_from << "\n  delay_s: " << settings.delay_s
         << "\n  stay_away_s: " << settings.stay_away_s << "\n";
}

}  // namespace lab
