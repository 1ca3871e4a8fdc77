// Makes the tables of docs/CAPACITY.md from docs/capacity: jasperspread_capacity DOCS [--check]. With --check
// the page stays as it is, and the status is 1 where it is not what its inputs give.
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>

#include "lab/capacity/page.h"

namespace {

std::string read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw std::runtime_error("can't read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

nlohmann::json read_json(const std::string& path) {
    return nlohmann::json::parse(read(path));
}

// A measurement that has not been made yet has no file.
nlohmann::json read_run(const std::string& path) {
    if (!std::ifstream(path)) return nullptr;
    return read_json(path);
}

int run(const std::string& docs, bool check) {
    const std::string inputs = docs + "/capacity/", page_path = docs + "/CAPACITY.md";
    const std::string page = read(page_path);
    const auto tables = lab::capacity::make_tables(
        {read_json(inputs + "plan.json"), read_json(inputs + "rows.json"), read_json(inputs + "scenes.json"),
         read_run(inputs + "slopes.json"), read_run(inputs + "slopes-before.json"),
         read_run(inputs + "scale.json")});
    const std::string made = lab::capacity::with_tables(page, tables);
    if (!check) {
        std::ofstream(page_path, std::ios::binary) << made;
        return 0;
    }
    if (made == page) return 0;
    std::fprintf(stderr, "%s is not what its inputs give: run scripts/capacity\n", page_path.c_str());
    return 1;
}

}  // namespace

int main(int argc, char** argv) {
    const bool check = argc == 3 && std::string_view(argv[2]) == "--check";
    if (argc != 2 && !check) {
        std::fprintf(stderr, "usage: jasperspread_capacity DOCS [--check]\n");
        return 2;
    }
    try {
        return run(argv[1], check);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "capacity: %s\n", error.what());
        return 2;
    }
}
