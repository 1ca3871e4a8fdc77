// A store on a thread of its own, so that no sync ever holds up the loop.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "net/loop.h"
#include "net/socket.h"
#include "store/sqlite/sqlite_store.h"

namespace jasperspread::store {

class Writer final : public Disk, private net::Ready {
public:
    // Throws std::system_error where there is no thread or pipe to be had.
    Writer(net::Loop& loop, std::unique_ptr<SqliteStore> store);
    ~Writer() override;  // waits for the batch that is out
    Writer(const Writer&) = delete;
    Writer& operator=(const Writer&) = delete;

    void commit(std::vector<Change> batch, std::function<void(Fault)> done) override;

private:
    void ready(short) override;
    void work();

    net::Loop& loop_;
    const std::unique_ptr<SqliteStore> store_;
    net::Fd read_, write_;  // a byte tells the loop that a batch has ended
    std::function<void(Fault)> done_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<std::vector<Change>> batch_;
    std::optional<Fault> ended_;
    bool stop_ = false;
    std::thread thread_;  // last: it uses all the others
};

}  // namespace jasperspread::store
