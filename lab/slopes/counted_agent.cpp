#include "counted_agent.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <new>
#include <stdexcept>

#include "agent/agent.h"

namespace lab {
namespace {

class StderrLog final : public jasperspread::agent::Log {
public:
    void write(jasperspread::agent::Level, std::string_view event,
               std::initializer_list<jasperspread::agent::Field> fields) override {
        std::string line(event);
        for (const auto& field : fields) line += " " + std::string(field.key) + "=" + field.value;
        std::fprintf(stderr, "%s\n", line.c_str());
    }
};

std::string text_of(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace

SharedCounts::SharedCounts(const std::string& file) {
    const int fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    const bool sized = fd >= 0 && ::ftruncate(fd, sizeof(KernelCounts)) == 0;
    void* memory =
        sized ? ::mmap(nullptr, sizeof(KernelCounts), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0) : MAP_FAILED;
    if (fd >= 0) ::close(fd);
    if (memory == MAP_FAILED) throw std::runtime_error("can't map " + file);
    // A fresh file holds zeros, which is how an atomic number of this size begins.
    counts_ = std::launder(reinterpret_cast<KernelCounts*>(memory));
}

SharedCounts::~SharedCounts() {
    ::munmap(counts_, sizeof(KernelCounts));
}

int serve_counted(const std::string& config_file, const std::string& counts_file) {
    SharedCounts shared(counts_file);
    jasperspread::net::SystemKernel system;
    CountingKernel kernel(system, shared.counts());
    jasperspread::net::Loop loop(kernel);
    StderrLog log;
    jasperspread::agent::Agent agent(loop, log, jasperspread::agent::read_config(text_of(config_file)));
    while (!agent.over()) loop.turn();
    return 0;
}

}  // namespace lab
