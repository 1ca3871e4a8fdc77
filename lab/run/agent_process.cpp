#include "agent_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace lab {
namespace {

std::string text_of(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace

void AgentProcess::start(const std::string& program, const std::vector<std::string>& arguments,
                         const std::vector<std::pair<std::string, std::string>>& variables) {
    kill();
    log_from_ = text_of(log_).size();
    // NOLINTBEGIN(cppcoreguidelines-pro-type-const-cast): execv takes char*, and changes nothing
    std::vector<char*> words = {const_cast<char*>("jasperspread")};
    for (const std::string& argument : arguments) words.push_back(const_cast<char*>(argument.c_str()));
    // NOLINTEND(cppcoreguidelines-pro-type-const-cast)
    words.push_back(nullptr);
    const pid_t lab = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error("can't start a process");
    if (pid_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != lab) ::_exit(127);  // it died in between
    const int out = ::open(log_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    ::dup2(out, STDERR_FILENO);
    for (const auto& [name, value] : variables) ::setenv(name.c_str(), value.c_str(), 1);
    ::execv(program.c_str(), words.data());
    ::_exit(127);
}

bool AgentProcess::runs() {
    if (pid_ <= 0) return false;
    int how = 0;
    if (::waitpid(pid_, &how, WNOHANG) == 0) return true;
    status_ = WIFEXITED(how) ? WEXITSTATUS(how) : 128 + WTERMSIG(how);
    pid_ = -1;
    return false;
}

void AgentProcess::signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
}

void AgentProcess::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

std::optional<jasperspread::net::Address> AgentProcess::listens(const std::string& mark) const {
    const std::string text = text_of(log_);
    const std::size_t at = text.find(mark, std::min(log_from_, text.size())), end = text.find('\n', at);
    if (at == std::string::npos || end == std::string::npos) return std::nullopt;
    return jasperspread::net::parse_address(text.substr(at + mark.size(), end - at - mark.size()));
}

std::size_t AgentProcess::logged(const std::string& text) const {
    std::istringstream lines(text_of(log_));
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) count += line.find(text) != std::string::npos ? 1 : 0;
    return count;
}

double AgentProcess::cpu_s() const {
    clockid_t clock{};
    timespec spent{};
    if (pid_ <= 0 || ::clock_getcpuclockid(pid_, &clock) != 0 || ::clock_gettime(clock, &spent) != 0)
        return 0;
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

std::size_t peak_memory_kb(pid_t process) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (in >> word) {
        if (word == "VmHWM:" && in >> word) return std::stoul(word);
    }
    return 0;
}

std::size_t AgentProcess::memory_kb() const {
    return peak_memory_kb(pid_);
}

}  // namespace lab
