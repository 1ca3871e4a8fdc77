// jasperspread store check|dump|export|compact FOLDER: to look after a store while no agent runs on it.
#pragma once

#include <iosfwd>
#include <string>

namespace CLI {  // NOLINT(readability-identifier-naming): the library's
class App;
}

namespace jasperspread::ops {

class StoreCommand {
public:
    explicit StoreCommand(CLI::App& app);
    bool wanted() const;
    int run(std::ostream& out) const;  // the status to exit with; throws store::StoreError

private:
    CLI::App* all_ = nullptr;
    CLI::App* check_ = nullptr;
    CLI::App* dump_ = nullptr;
    CLI::App* export_ = nullptr;
    CLI::App* compact_ = nullptr;
    std::string folder_;
};

}  // namespace jasperspread::ops
