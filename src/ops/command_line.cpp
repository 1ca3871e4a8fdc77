#include "command_line.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "ops/operator_file.h"
#include "ops/store_command.h"

namespace jasperspread::ops {

std::optional<Command> read_command_line(int argc, char** argv, int& status) {
    CLI::App app("The session agent: places viewers' sessions on lesson servers.", "jasperspread");
    app.set_version_flag("--version", "jasperspread " JASPERSPREAD_VERSION);
    Command command;
    if (const char* path = std::getenv("RELAY_CONFIG")) command.config = path;
    app.add_option("config", command.config, "the platform's configuration (JSON; else RELAY_CONFIG)");
    app.add_option("--operator", command.operator_file, "the operator file (YAML)");
    std::string checked;
    CLI::App* check = app.add_subcommand("check-config", "check an operator file, and end");
    check->add_option("file", checked, "the operator file (YAML)")->required();
    CLI::App* explain = app.add_subcommand("explain-config", "print every key of the operator file, and end");
    StoreCommand store(app);
    status = 0;
    try {
        app.parse(argc, argv);
        if (check->parsed()) {
            load_operator(checked);
            std::cout << checked << ": can be used\n";
            return std::nullopt;
        }
        if (explain->parsed()) {
            explain_operator(std::cout);
            return std::nullopt;
        }
        if (store.wanted()) {
            status = store.run(std::cout);
            return std::nullopt;
        }
        if (!command.config.empty()) return command;
        throw CLI::RequiredError("RELAY_CONFIG or an argument to name the configuration");
    } catch (const CLI::Success& done) {  // help, version
        status = app.exit(done);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasperspread: %s\n", error.what());
        status = 2;
    }
    return std::nullopt;
}

}  // namespace jasperspread::ops
