// The store alone: what a commit costs by the size of its batch, and what a start with many sessions costs.
#include <algorithm>
#include <filesystem>

#include "lab/run/common.h"
#include "net/kernel.h"
#include "store/sqlite/sqlite_store.h"

namespace lab {

namespace store = jasperspread::store;

Result run_durability(const Ask& ask) {
    Result result;
    jasperspread::net::SystemKernel kernel;
    store::Settings settings;
    settings.folder = ask.folder;
    const auto change = [](store::SessionId id) {
        const store::SessionRecord record{
            id, store::Phase::Intent, true, "s-00c41f7a", "attended-lesson", "7f3a9c21e0b4d655", 1, 0};
        return store::Change{id, encode(record)};
    };
    store::SessionId id = 0;
    {
        store::SqliteStore file(settings, "n0", store::SqliteStore::Use::Serve);
        file.load("boot");
        for (const std::size_t size : {1, 10, 100, 1000}) {
            constexpr std::size_t records = 25000;
            const std::size_t commits = std::clamp<std::size_t>(records / size, 25, 500);
            std::vector<double> took;
            for (std::size_t commit = 0; commit < commits; ++commit) {
                std::vector<store::Change> batch;
                for (std::size_t i = 0; i < size; ++i) batch.push_back(change(++id));
                const double began = kernel.now();
                if (file.apply(batch) != store::Fault::None)
                    result.violations.emplace_back("a commit failed");
                took.push_back((kernel.now() - began) * 1e3);
            }
            const std::string of = "commit_ms_" + std::to_string(size);
            result.figures.emplace_back(of + "_median", part(took, 0.5));
            result.figures.emplace_back(of + "_p99", part(took, 0.99));
        }
        constexpr store::SessionId many = 100000;
        while (id < many) {
            std::vector<store::Change> batch;
            for (int i = 0; i < 5000 && id < many; ++i) batch.push_back(change(++id));
            if (file.apply(batch) != store::Fault::None) result.violations.emplace_back("a commit failed");
        }
    }
    double bytes = 0;
    for (const auto& entry : std::filesystem::directory_iterator(ask.folder))
        bytes += static_cast<double>(entry.file_size());
    const double began = kernel.now();
    store::SqliteStore file(settings, "n0", store::SqliteStore::Use::Serve);
    const auto found = file.load("boot");
    result.figures.emplace_back("read_back_s", kernel.now() - began);
    result.figures.emplace_back("sessions", static_cast<double>(found.sessions.size()));
    result.figures.emplace_back("bytes_each", bytes / static_cast<double>(found.sessions.size()));
    return result;
}

}  // namespace lab
