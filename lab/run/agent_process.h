// One session agent as a process of its own. It is ended with this object, and by the kernel should the
// laboratory die.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/socket.h"

namespace lab {

std::size_t peak_memory_kb(pid_t process);  // resident, the most so far; 0 where it has gone

class AgentProcess {
public:
    explicit AgentProcess(std::string log) : log_(std::move(log)) {}
    ~AgentProcess() { kill(); }
    AgentProcess(const AgentProcess&) = delete;
    AgentProcess& operator=(const AgentProcess&) = delete;

    // `variables`: beside this process's own. Throws std::runtime_error.
    void start(const std::string& program, const std::vector<std::string>& arguments,
               const std::vector<std::pair<std::string, std::string>>& variables = {});
    pid_t id() const { return pid_; }
    bool started() const { return pid_ > 0; }
    // False once it has ended; its status is kept then.
    bool runs();
    int status() const { return status_; }  // of exit, or 128 and the signal
    void signal(int number);
    void kill();  // outright, and waits for its end
    // Where it says that it listens, for viewers or (mark " at=") for other agents; nullopt: it has not said
    // so.
    std::optional<jasperspread::net::Address> listens(const std::string& mark = " address=") const;
    // Lines of its log, of all its lives, with this in them.
    std::size_t logged(const std::string& text) const;
    double cpu_s() const;  // processor time up to now, user and system
    std::size_t memory_kb() const;

private:
    const std::string log_;
    pid_t pid_ = -1;
    int status_ = 0;
    std::size_t log_from_ = 0;  // of this life
};

}  // namespace lab
