#include "process_cost.h"

#include <time.h>
#include <unistd.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>

namespace lab {
namespace {

double seconds_of(clockid_t clock) {
    timespec time{};
    if (::clock_gettime(clock, &time) != 0) return 0;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

}  // namespace

double processor_time_s(pid_t process) {
    clockid_t clock{};
    return ::clock_getcpuclockid(process, &clock) == 0 ? seconds_of(clock) : 0;
}

double thread_time_s() {
    return seconds_of(CLOCK_THREAD_CPUTIME_ID);
}

std::size_t resident_bytes(pid_t process) {
    std::ifstream in("/proc/" + std::to_string(process) + "/statm");
    std::size_t size = 0, resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::optional<double> socket_slab_bytes() {
    struct Cache {
        double objects = 0, size = 0;
    };
    std::map<std::string, Cache> caches;
    std::ifstream in("/proc/slabinfo");
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string name;
        Cache cache;
        double allocated = 0;
        if (words >> name >> cache.objects >> allocated >> cache.size) caches[name] = cache;
    }
    if (!caches.contains("TCP") || !caches.contains("sock_inode_cache")) return std::nullopt;
    const auto bytes = [&](const char* name) { return caches[name].objects * caches[name].size; };
    const double sockets = caches["sock_inode_cache"].objects;
    return bytes("TCP") + bytes("sock_inode_cache") + bytes("eventpoll_epi") + bytes("eventpoll_pwq") +
           sockets * (caches["filp"].size + caches["dentry"].size);
}

}  // namespace lab
