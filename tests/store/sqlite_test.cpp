// The file of the store: reopened, another's, in use, damaged, full.
#include <doctest/doctest.h>
#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net/kernel.h"
#include "store/sqlite/writer.h"

using namespace jasperspread::store;
namespace files = std::filesystem;

namespace {

struct Folder {
    std::string path = (files::temp_directory_path() / "jasperspread-store-XXXXXX").string();
    Folder() { REQUIRE(mkdtemp(path.data()) != nullptr); }
    ~Folder() { files::remove_all(path); }
    std::string file() const { return path + "/sessions.db"; }
};

Settings settings_of(const Folder& folder) {
    Settings settings;
    settings.folder = folder.path;
    return settings;
}

SessionRecord record(SessionId id, Phase phase = Phase::Standing) {
    return {id, phase, phase == Phase::Intent, "s-00c41f7a", "attended-lesson", "7f3a", 1, 1796166311.5};
}

Found opened(const Folder& folder, const std::string& agent = "n0") {
    SqliteStore store(settings_of(folder), agent, SqliteStore::Use::Serve);
    return store.load("boot");
}

std::string error_of(const Folder& folder, const std::string& agent,
                     SqliteStore::Use use = SqliteStore::Use::Serve) {
    try {
        SqliteStore store(settings_of(folder), agent, use);
    } catch (const StoreError& error) {
        return error.what();
    }
    return "";
}

bool has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("store: a record that was changed in any bit is not taken for one") {
    const std::string body = encode(record(77));
    CHECK_EQ(decode(77, body), record(77));
    CHECK_FALSE(decode(78, body));
    for (std::size_t at = 0; at < body.size(); ++at) {
        for (int bit = 0; bit < 8; ++bit) {
            std::string changed = body;
            changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
            CHECK_FALSE(decode(77, changed));
        }
        CHECK_FALSE(decode(77, body.substr(0, at)));
    }
}

TEST_CASE("store: what was committed is there in the next life") {
    Folder folder;
    {
        SqliteStore store(settings_of(folder), "n0", SqliteStore::Use::Serve);
        const Found found = store.load("first boot");
        CHECK_EQ(found.before.starts, 0);
        CHECK(found.sessions.empty());
        CHECK_EQ(store.apply({{1, encode(record(1))}, {2, encode(record(2, Phase::Intent))}}), Fault::None);
        CHECK_EQ(store.apply({{1, std::nullopt}, {~0ULL, encode(record(~0ULL))}}), Fault::None);
        CHECK_EQ(store.apply({{list_place, encode(ListRecord{7, {"s-1", "s-2"}, 5})}}), Fault::None);
    }
    const Found found = opened(folder);
    CHECK_EQ(found.before.name, "n0");
    CHECK_EQ(found.before.starts, 1);
    CHECK_EQ(found.before.boot, "first boot");
    CHECK_EQ(found.list, ListRecord{7, {"s-1", "s-2"}, 5});
    CHECK_EQ(found.damaged, 0);
    REQUIRE_EQ(found.sessions.size(), 2);
    CHECK_EQ(found.sessions[0], record(~0ULL));
    CHECK_EQ(found.sessions[1], record(2, Phase::Intent));
    CHECK_EQ(opened(folder).before.starts, 2);
}

TEST_CASE("store: no folder, another agent's, in use, a later version's: one line each") {
    Folder folder;
    {
        const SqliteStore store(settings_of(folder), "n0", SqliteStore::Use::Serve);
        CHECK(has(error_of(folder, "n0"), "in use by another process"));
        CHECK(has(error_of(folder, "", SqliteStore::Use::Look), "in use by another process"));
    }
    CHECK(has(error_of(folder, "n1"), "is the store of agent n0"));
    CHECK_EQ(error_of(folder, "n0"), "");
    Folder empty;
    CHECK(has(error_of(empty, "", SqliteStore::Use::Look), "can't be opened"));
    files::remove_all(empty.path);
    CHECK(has(error_of(empty, "n0"), "expected a folder"));
    files::create_directory(empty.path);
    files::copy(folder.file(), empty.file());
    // The version stands at byte 60 of the file.
    std::fstream(empty.file(), std::ios::in | std::ios::out | std::ios::binary).seekp(63).put(9);
    CHECK(has(error_of(empty, "n0"), "later version (9)"));
}

TEST_CASE("store: a file cut at any length or of garbage never stops a start, and is kept") {
    Folder folder;
    {
        SqliteStore store(settings_of(folder), "n0", SqliteStore::Use::Serve);
        store.load("boot");
        std::vector<Change> batch;
        for (SessionId id = 1; id <= 200; ++id) batch.push_back({id, encode(record(id))});
        REQUIRE_EQ(store.apply(batch), Fault::None);
    }
    const auto whole = files::file_size(folder.file());
    for (std::uintmax_t size = 0; size < whole; size += 1531) {
        Folder torn;
        files::copy(folder.file(), torn.file());
        files::resize_file(torn.file(), size);
        CHECK_LE(opened(torn).sessions.size(), 200);
        CHECK_EQ(opened(torn).before.name, "n0");  // and the next start is a usual one
    }
    Folder garbage;
    std::ofstream(garbage.file()) << std::string(20000, 'x');
    CHECK(has(error_of(garbage, "", SqliteStore::Use::Look), "is damaged"));
    CHECK(opened(garbage).set_aside);
    CHECK(files::exists(garbage.file() + ".damaged-1"));
    CHECK_FALSE(opened(garbage).set_aside);
}

TEST_CASE("store: bytes changed inside the file never give a record that was not written") {
    Folder folder;
    {
        SqliteStore store(settings_of(folder), "n0", SqliteStore::Use::Serve);
        std::vector<Change> batch;
        for (SessionId id = 1; id <= 100; ++id) batch.push_back({id, encode(record(id))});
        REQUIRE_EQ(store.apply(batch), Fault::None);
    }
    const auto whole = static_cast<long>(files::file_size(folder.file()));
    std::size_t damaged = 0;
    for (long at = 4096; at < whole; at += 397) {
        Folder changed;
        files::copy(folder.file(), changed.file());
        std::fstream(changed.file(), std::ios::in | std::ios::out | std::ios::binary).seekp(at).put('\x5a');
        const Found found = opened(changed);
        damaged += found.damaged + (found.set_aside ? 1 : 0);
        for (const SessionRecord& one : found.sessions) CHECK_EQ(one, record(one.id));
    }
    CHECK_GT(damaged, 0);
}

TEST_CASE("store: a full one says so, keeps what it has, and goes on once there is room") {
    Folder folder;
    Settings settings = settings_of(folder);
    settings.megabytes = 4;
    SqliteStore store(settings, "n0", SqliteStore::Use::Serve);
    store.load("boot");
    Fault fault = Fault::None;
    SessionId id = 0;
    for (int i = 0; i < 400 && fault == Fault::None; ++i) {
        std::vector<Change> batch;
        batch.reserve(200);
        for (int j = 0; j < 200; ++j) batch.push_back({++id, encode(record(id))});
        fault = store.apply(batch);
    }
    CHECK_EQ(fault, Fault::Full);
    std::vector<Change> erased;
    for (SessionId one = 1; one <= 2000; ++one) erased.push_back({one, std::nullopt});
    CHECK_EQ(store.apply(erased), Fault::None);
    CHECK_EQ(store.apply({{id + 1, encode(record(id + 1))}}), Fault::None);
    CHECK_EQ(store.check(), "");
    std::uintmax_t size = 0;
    for (const auto& entry : files::directory_iterator(folder.path)) size += entry.file_size();
    CHECK_LE(size, 4U << 20);
}

TEST_CASE("store: the thread tells the loop of each batch, and writes what it was given before it ends") {
    Folder folder;
    jasperspread::net::SystemKernel kernel;
    jasperspread::net::Loop loop(kernel);
    {
        auto file = std::make_unique<SqliteStore>(settings_of(folder), "n0", SqliteStore::Use::Serve);
        file->load("boot");
        Writer writer(loop, std::move(file));
        int ends = 0;
        for (SessionId id = 1; id <= 5; ++id) {
            writer.commit({{id, encode(record(id))}}, [&](Fault fault) { ends += fault == Fault::None; });
            const double until = loop.now() + 20;
            while (ends < static_cast<int>(id) && loop.now() < until) loop.turn(0.1);
            REQUIRE_EQ(ends, static_cast<int>(id));
        }
        writer.commit({{6, encode(record(6))}}, [](Fault) {});
    }
    CHECK_EQ(opened(folder).sessions.size(), 6);
}
