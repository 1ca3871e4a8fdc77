// What a process costs the machine: its processor time in nanoseconds, its memory, and what the kernel keeps
// for sockets.
#pragma once

#include <sys/types.h>

#include <optional>

namespace lab {

double processor_time_s(pid_t process);  // user and system, by the process's own clock; 0: it is gone
double thread_time_s();                  // of the calling thread
std::size_t resident_bytes(pid_t process);
// Slab objects that belong to sockets, of the whole machine: sockets, their inodes, for each of these a file
// and a directory entry, and entries of epoll. nullopt where the kernel does not tell. Buffers are not in it.
std::optional<double> socket_slab_bytes();

}  // namespace lab
