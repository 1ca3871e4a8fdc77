// Power fails while the store is written: what was said to be on disk is there, on whatever image the disk
// was left with.
#include <doctest/doctest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "lab/broken/lossy_disk.h"
#include "store/sqlite/sqlite_store.h"

using namespace jasperspread::store;

namespace {

struct Folder {
    std::string path = (std::filesystem::temp_directory_path() / "jasperspread-power-XXXXXX").string();
    Folder() { REQUIRE(mkdtemp(path.data()) != nullptr); }
    ~Folder() { std::filesystem::remove_all(path); }
};

SessionRecord record(SessionId id, std::uint64_t life) {
    return {id, Phase::Intent, true, "s-00c41f7a", "attended-lesson", "7f3a", life, 0};
}

// What a child has been told to be on disk: records put (by life) and erased (0), in order.
struct Said {
    SessionId id = 0;
    std::uint64_t life = 0;
};

// A process that writes until it is killed, and says after each commit what that held.
[[noreturn]] void write_on(const std::string& folder, const lab::LossyDisk& disk, int out) {
    lab::use_lossy_disk(disk);
    Settings settings;
    settings.folder = folder;
    settings.megabytes = 4;  // so that the log is often carried over into the file
    try {
        SqliteStore store(settings, "n0", SqliteStore::Use::Serve);
        const std::uint64_t life = store.load("boot").before.starts + 1;
        std::mt19937_64 random(disk.seed);
        while (true) {
            std::vector<Change> batch;
            std::vector<Said> said;
            for (std::uint64_t i = 0; i < 1 + random() % 20; ++i) {
                const SessionId id = 1 + random() % 500;
                const bool erases = random() % 3 == 0;
                batch.push_back({id, erases ? std::optional<std::string>() : encode(record(id, life))});
                said.push_back({id, erases ? 0 : life});
            }
            if (store.apply(batch) != Fault::None) ::_exit(3);
            if (::write(out, said.data(), said.size() * sizeof(Said)) < 0) ::_exit(4);
        }
    } catch (const std::exception&) {
        ::_exit(2);
    }
}

// Lives one after the other on one folder, each cut off. The records that were said to be there and were not,
// or had been erased and were back, over all.
std::size_t wrong_after(int lives, bool lies, std::size_t& commits) {
    Folder folder;
    std::map<SessionId, std::uint64_t> wanted;
    std::size_t wrong = 0;
    for (int life = 1; life <= lives && wrong == 0; ++life) {
        int ends[2];
        REQUIRE_EQ(::pipe(ends), 0);
        const pid_t child = ::fork();
        REQUIRE(child >= 0);
        if (child == 0) {
            ::close(ends[0]);
            write_on(folder.path, {static_cast<std::uint64_t>(life), 0.2, 0.1, lies}, ends[1]);
        }
        ::close(ends[1]);
        Said said;
        const std::size_t least = 20 + static_cast<std::size_t>(life * 37 % 400);
        std::map<SessionId, std::uint64_t> unsure;
        for (std::size_t read = 0; ::read(ends[0], &said, sizeof said) == sizeof said; ++read) {
            ++commits;
            wanted[said.id] = said.life;
            if (read == least) ::kill(child, SIGKILL);  // and what it has said until then is read still
        }
        ::close(ends[0]);
        int how = 0;
        REQUIRE_EQ(::waitpid(child, &how, 0), child);
        REQUIRE(WIFSIGNALED(how));
        Settings settings;
        settings.folder = folder.path;
        SqliteStore store(settings, "n0", SqliteStore::Use::Serve);
        const Found found = store.load("boot");
        wrong += found.damaged + (found.set_aside ? 1 : 0);
        std::map<SessionId, std::uint64_t> there;
        for (const SessionRecord& one : found.sessions) there[one.id] = one.incarnation;
        // The batch that was out when the power failed is there whole or not at all, so that each record is
        // as it was said to be, or as that batch made it.
        for (const auto& [id, by_life] : wanted) {
            const auto it = there.find(id);
            const std::uint64_t is = it == there.end() ? 0 : it->second;
            if (is != by_life) unsure[id] = is;
        }
        constexpr std::size_t one_batch = 20;
        if (unsure.size() > one_batch) wrong += unsure.size();
        for (const auto& [id, is] : unsure) {
            if (is != 0 && is != static_cast<std::uint64_t>(2 * life - 1)) ++wrong;  // of an earlier life
        }
        wanted = std::move(there);
    }
    return wrong;
}

}  // namespace

TEST_CASE("store: power fails again and again, and nothing that was committed is missing") {
    std::size_t commits = 0;
    CHECK_EQ(wrong_after(25, false, commits), 0);
    CHECK_GT(commits, 1000);
}

TEST_CASE("store: a disk that says it has synced and has not is found out") {
    std::size_t commits = 0;
    CHECK_GT(wrong_after(10, true, commits), 0);
}
