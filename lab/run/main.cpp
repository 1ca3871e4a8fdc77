// The laboratory's command line: runs one experiment and writes its figures.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/run/experiments.h"
#include "lab/slopes/counted_agent.h"

// NOLINTNEXTLINE(bugprone-exception-escape): only a fault in the table of options throws here
int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    // The laboratory starts itself in this way, as an agent whose system calls are counted.
    if (argc == 4 && std::string(argv[1]) == "counted-agent") return lab::serve_counted(argv[2], argv[3]);
    CLI::App app("The laboratory of jasperspread: emulated servers and viewers round the real agent.");
    std::string name, json_file;
    lab::Ask ask;
    std::string names;
    for (const auto& one : lab::experiments()) names += std::string("\n  ") + one.name + ": " + one.meaning;
    app.add_option("experiment", name, "one of" + names)->required();
    app.add_option("--seed", ask.seed, "the same seed gives the same world");
    app.add_option("--json", json_file, "the figures as JSON go there too");
    app.add_option("--plot-data", ask.plot, "where the experiment has a picture, its points go there");
    app.add_option("--program", ask.program, "the agent, for experiments on sockets");
    app.add_option("--agents", ask.agents, "how many agents; processes of the program: 40 at most")
        ->check(CLI::Range(2, 1000));
    app.add_option("--broken", ask.broken, "a broken agent in place of the sound one, by its name");
    app.add_option("--broken-program", ask.broken_program, "the program that can be broken");
    app.add_option("--hollow-program", ask.hollow_program, "the process that holds hollow agents");
    app.add_option("--order", ask.order, "of return after a power loss: only this one is played");
    app.add_option("--links", ask.links, "of membership: only calm or lossy ones are played")
        ->check(CLI::IsMember({"calm", "lossy"}));
    app.add_option("--resting", ask.resting, "connections that rest: only beside so many");
    app.add_option("--follow", ask.follow, "print all that is seen of this session");
    app.add_option("--only", ask.only, "of an experiment with parts, these, with commas");
    app.add_option("--seeds", ask.seeds, "of soak: all of these, as in 1-50");
    app.add_option("--family", ask.family,
                   "of soak: shutdowns, discovery, clients, network or bytes alone, or several joined by +");
    app.add_option("--plan", ask.plan, "of soak: a file with the faults to play, a line each");
    app.add_option("--evidence", ask.evidence,
                   "of soak: a folder for what a trial that breaks a rule leaves");
    app.add_flag("--cut-down", ask.cut_down, "look for a smaller plan of faults that still fails");
    CLI11_PARSE(app, argc, argv);
    for (const auto& one : lab::experiments()) {
        if (name != one.name) continue;
        try {
            std::string folder =
                (std::filesystem::temp_directory_path() / "jasperspread-lab-XXXXXX").string();
            if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no folder for its files");
            ask.folder = folder;
            const lab::Result result = one.run(ask);
            std::filesystem::remove_all(folder);
            nlohmann::ordered_json figures = nlohmann::ordered_json::object();
            for (const auto& [key, value] : result.figures) {
                std::printf("%-22s %.6g\n", key.c_str(), value);
                figures[key] = value;
            }
            std::printf("%-22s %zu\n", "violations", result.violations.size());
            constexpr std::size_t shown = 10;
            for (std::size_t i = 0; i < std::min(shown, result.violations.size()); ++i)
                std::printf("  %s\n", result.violations[i].c_str());
            for (const std::string& note : result.notes) std::printf("  %s\n", note.c_str());
            const std::string seeds =
                ask.seeds.empty() ? "--seed " + std::to_string(ask.seed) : "--seeds " + ask.seeds;
            if (!result.violations.empty())
                std::printf("again: scripts/lab %s %s\n", one.name, seeds.c_str());
            nlohmann::ordered_json slopes = nlohmann::ordered_json::array();
            for (const lab::Slope& slope : result.slopes) {
                std::printf("%-34s %.4g (%.4g .. %.4g) %s per %s, from %.4g\n", slope.name.c_str(),
                            slope.slope, slope.low, slope.high, slope.unit.c_str(), slope.per.c_str(),
                            slope.intercept);
                slopes.push_back(lab::to_json(slope));
            }
            nlohmann::ordered_json json = {{"experiment", one.name},
                                           {"seed", ask.seed},
                                           {"violations", result.violations.size()},
                                           {"figures", figures}};
            if (!slopes.empty()) json["slopes"] = slopes;
            if (!json_file.empty()) std::ofstream(json_file) << json.dump(2) << "\n";
            return result.violations.empty() ? 0 : 1;
        } catch (const std::exception& error) {
            std::fprintf(stderr, "lab: %s\n", error.what());
            return 2;
        }
    }
    std::fprintf(stderr, "lab: there is no experiment %s; there are%s\n", name.c_str(), names.c_str());
    return 2;
}
