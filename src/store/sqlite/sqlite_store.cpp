#include "sqlite_store.h"

#include <sqlite3.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdio>

namespace jasperspread::store {
namespace {

constexpr int schema = 1;
constexpr int page = 4096, cache_kb = 2048;
constexpr int set_aside_most = 9;

Fault fault_of(int code) {
    switch (code & 0xFF) {
        case SQLITE_OK:
        case SQLITE_DONE:
        case SQLITE_ROW:
            return Fault::None;
        case SQLITE_FULL:
            return Fault::Full;
        case SQLITE_READONLY:
        case SQLITE_CANTOPEN:
        case SQLITE_PERM:
            return Fault::ReadOnly;
        case SQLITE_CORRUPT:
        case SQLITE_NOTADB:
            return Fault::Damaged;
        default:
            return Fault::Failed;
    }
}

struct Damaged {};  // inside opening alone

}  // namespace

struct SqliteStore::Statement {
    sqlite3_stmt* raw = nullptr;
    Statement(sqlite3* db, const char* sql) { sqlite3_prepare_v2(db, sql, -1, &raw, nullptr); }
    ~Statement() { sqlite3_finalize(raw); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;

    void bind(int at, SessionId id) { sqlite3_bind_int64(raw, at, static_cast<sqlite3_int64>(id)); }
    void bind(int at, const std::string& text) {
        sqlite3_bind_blob(raw, at, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    }
    std::string text(int at) const {
        const auto* bytes = static_cast<const char*>(sqlite3_column_blob(raw, at));
        return {bytes != nullptr ? bytes : "", static_cast<std::size_t>(sqlite3_column_bytes(raw, at))};
    }
    SessionId number(int at) const { return static_cast<SessionId>(sqlite3_column_int64(raw, at)); }
    int step() { return raw == nullptr ? SQLITE_ERROR : sqlite3_step(raw); }
    int once() {
        const int code = step();
        if (raw != nullptr) sqlite3_reset(raw);
        return code;
    }
};

SqliteStore::SqliteStore(const Settings& settings, const std::string& agent, Use use)
    : set_(settings), use_(use), file_(settings.folder + "/sessions.db") {
    struct stat status {};
    if (::stat(set_.folder.c_str(), &status) != 0 || !S_ISDIR(status.st_mode))
        throw StoreError("store.folder: expected a folder at " + set_.folder);
    try {
        open(agent);
    } catch (const Damaged&) {
        close();
        if (use_ == Use::Look) throw StoreError(file_ + " is damaged");
        if (!set_aside()) throw StoreError(file_ + " is damaged, and could not be set aside");
        was_set_aside_ = true;
        try {
            open(agent);
        } catch (const Damaged&) {
            close();
            throw StoreError(file_ + " can't be made anew");
        }
    } catch (const StoreError&) {
        close();
        throw;
    }
}

SqliteStore::~SqliteStore() {
    close();
}

void SqliteStore::close() {
    put_.reset();
    erase_.reset();
    sqlite3_close(db_);
    db_ = nullptr;
}

void SqliteStore::fail(const std::string& what) {
    const int code = sqlite3_extended_errcode(db_);
    if (fault_of(code) == Fault::Damaged) throw Damaged{};
    if ((code & 0xFF) == SQLITE_BUSY) throw StoreError(file_ + " is in use by another process");
    throw StoreError(file_ + ": " + what + ": " + sqlite3_errmsg(db_));
}

void SqliteStore::run(const std::string& sql) {
    if (sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) fail(sql.substr(0, 40));
}

void SqliteStore::open(const std::string& agent) {
    const bool looks = use_ == Use::Look;
    const int how = looks ? SQLITE_OPEN_READWRITE : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
    if (sqlite3_open_v2(file_.c_str(), &db_, how, nullptr) != SQLITE_OK) fail("can't be opened");
    // One process at a time: it holds its lock for as long as it runs, and a dead one holds none. The order
    // counts: the log of an exclusive process needs no shared memory.
    run("PRAGMA locking_mode=EXCLUSIVE; PRAGMA page_size=" + std::to_string(page));
    run("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA cache_size=-" + std::to_string(cache_kb));
    run("BEGIN EXCLUSIVE; COMMIT");
    // The log may take a quarter of what is allowed, the file the rest.
    const auto pages = static_cast<std::uint64_t>(set_.megabytes) * (1U << 20) / page;
    run("PRAGMA max_page_count=" + std::to_string(pages * 3 / 4) +
        "; PRAGMA wal_autocheckpoint=" + std::to_string(std::min<std::uint64_t>(1000, pages / 8)) +
        "; PRAGMA journal_size_limit=" + std::to_string(pages * page / 4));
    Statement version(db_, "PRAGMA user_version");
    const int found = version.step() == SQLITE_ROW ? static_cast<int>(version.number(0)) : -1;
    version.once();
    if (found > schema)
        throw StoreError(file_ + " was written by a later version (" + std::to_string(found) + ")");
    if (found < 0) fail("has no version");
    if (found == 0 && looks) throw StoreError(file_ + " holds no store");
    if (found == 0) {
        run("BEGIN; CREATE TABLE own (name BLOB, lives INTEGER, boot BLOB);"
            "CREATE TABLE sessions (id INTEGER PRIMARY KEY, body BLOB NOT NULL);"
            "PRAGMA user_version=" +
            std::to_string(schema) + "; COMMIT");
    }
    Statement own(db_, "SELECT name FROM own");
    if (own.step() == SQLITE_ROW && own.text(0) != agent && !looks)
        throw StoreError("store.folder: " + set_.folder + " is the store of agent " + own.text(0));
    put_ = std::make_unique<Statement>(db_, "INSERT OR REPLACE INTO sessions (id, body) VALUES (?, ?)");
    erase_ = std::make_unique<Statement>(db_, "DELETE FROM sessions WHERE id = ?");
    if (put_->raw == nullptr || erase_->raw == nullptr) fail("its tables are of another kind");
    if (looks) return;
    // A page that is lost shows when it is read: better now than in the middle of service.
    Statement sound(db_, "PRAGMA quick_check(1)");
    if (sound.step() != SQLITE_ROW || sound.text(0) != "ok") throw Damaged{};
    sound.once();
    Statement first(db_, "INSERT INTO own SELECT ?, 0, x'' WHERE NOT EXISTS (SELECT 1 FROM own)");
    first.bind(1, agent);
    if (first.once() != SQLITE_DONE) fail("can't be written");
}

// A damaged file is kept for whoever wants to look at it, as sessions.db.damaged-1 and so on.
bool SqliteStore::set_aside() {
    for (int number = 1; number <= set_aside_most; ++number) {
        const std::string kept = file_ + ".damaged-" + std::to_string(number);
        struct stat status {};
        if (::stat(kept.c_str(), &status) == 0 && number < set_aside_most) continue;
        std::rename((file_ + "-wal").c_str(), (kept + "-wal").c_str());
        return std::rename(file_.c_str(), kept.c_str()) == 0;
    }
    return false;
}

Found SqliteStore::load(const std::string& boot) {
    Found found;
    found.set_aside = was_set_aside_;
    Statement own(db_, "SELECT name, lives, boot FROM own");
    if (own.step() == SQLITE_ROW) found.before = {own.text(0), own.number(1), own.text(2)};
    own.once();
    Statement all(db_, "SELECT id, body FROM sessions");
    int code = all.step();
    for (; code == SQLITE_ROW; code = all.step()) {
        const auto list = all.number(0) == list_place ? decode_list(all.text(1)) : std::nullopt;
        const auto record = list ? std::nullopt : decode(all.number(0), all.text(1));
        if (list)
            found.list = *list;
        else if (record)
            found.sessions.push_back(*record);
        else
            ++found.damaged;
    }
    if (code != SQLITE_DONE) throw StoreError(file_ + ": can't be read: " + sqlite3_errmsg(db_));
    if (use_ == Use::Look) return found;
    Statement life(db_, "UPDATE own SET lives = lives + 1, boot = ?");
    life.bind(1, boot);
    if (life.once() != SQLITE_DONE) throw StoreError(file_ + ": can't be written: " + sqlite3_errmsg(db_));
    return found;
}

Fault SqliteStore::apply(const std::vector<Change>& batch) {
    const auto ended = [&](int code) {
        if (fault_of(code) == Fault::None) return Fault::None;
        const Fault fault = fault_of(sqlite3_extended_errcode(db_));
        sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
        return fault == Fault::None ? Fault::Failed : fault;
    };
    int code = sqlite3_exec(db_, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr);
    if (code != SQLITE_OK) return ended(code);
    for (const Change& change : batch) {
        Statement& statement = change.body ? *put_ : *erase_;
        statement.bind(1, change.id);
        if (change.body) statement.bind(2, *change.body);
        code = statement.once();
        if (code != SQLITE_DONE) return ended(code);
    }
    return ended(sqlite3_exec(db_, "COMMIT", nullptr, nullptr, nullptr));
}

std::string SqliteStore::check() {
    Statement look(db_, "PRAGMA integrity_check(5)");
    std::string wrong;
    while (look.step() == SQLITE_ROW) {
        if (look.text(0) != "ok") wrong += (wrong.empty() ? "" : "; ") + look.text(0);
    }
    const Found found = load("");
    if (found.damaged > 0)
        wrong += (wrong.empty() ? "" : "; ") + std::to_string(found.damaged) + " damaged records";
    return wrong;
}

void SqliteStore::compact() {
    run("VACUUM; PRAGMA wal_checkpoint(TRUNCATE)");
}

}  // namespace jasperspread::store
