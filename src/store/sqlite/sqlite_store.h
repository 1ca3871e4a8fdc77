// The records in a file of SQLite: write-ahead log, synced at each commit, one process at a time. Every call
// blocks: in service they are made on a thread of their own (writer.h), but for opening.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <stdexcept>
#include <string>

#include "store/disk.h"
#include "store/settings.h"

struct sqlite3;
struct sqlite3_stmt;

namespace jasperspread::store {

// One line; says what an operator can do.
struct StoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class SqliteStore {
public:
    enum class Use { Serve, Look };  // Look: as the commands do; nothing is written and no start is counted
    // Throws StoreError: no folder, another process holds it, it is another agent's, or a later version's. A
    // file that is damaged is set aside when it is opened to serve.
    SqliteStore(const Settings& settings, const std::string& agent, Use use);
    ~SqliteStore();
    SqliteStore(const SqliteStore&) = delete;
    SqliteStore& operator=(const SqliteStore&) = delete;

    // Reads all. Where it serves, a start is counted, and is on disk when this returns.
    Found load(const std::string& boot);
    Fault apply(const std::vector<Change>& batch);
    std::string check();  // empty: sound
    void compact();

private:
    struct Statement;
    void open(const std::string& agent);
    void close();
    bool set_aside();
    void run(const std::string& sql);  // throws StoreError
    [[noreturn]] void fail(const std::string& what);

    const Settings set_;
    const Use use_;
    const std::string file_;
    sqlite3* db_ = nullptr;
    bool was_set_aside_ = false;
    std::unique_ptr<Statement> put_, erase_;
};

}  // namespace jasperspread::store
