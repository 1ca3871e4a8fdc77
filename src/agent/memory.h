// What an agent remembers, on its way to the disk: batches go out from the loop, and whoever waits for a
// record hears when it is there (docs/design/store.md).
#pragma once

#include <functional>
#include <memory>

#include "agent/log.h"
#include "net/loop.h"
#include "store/batcher.h"

namespace jasperspread::agent {

// What an agent is given to remember by, and what its previous incarnation has left.
struct MemoryOrder {
    store::Settings settings;
    store::Disk* disk = nullptr;  // outlives the agent
    store::Found found;
    std::string boot;  // the kernel's id of this boot
};

class Memory {
public:
    // `kept`: of each record that is waited for, whether it is on disk; once, later.
    using Kept = std::function<void(store::SessionId id, bool is)>;
    Memory(net::Loop& loop, Log& log, const MemoryOrder& order, Kept kept);
    Memory(const Memory&) = delete;
    Memory& operator=(const Memory&) = delete;

    // False: it can't be remembered now, and nothing will be heard of it.
    bool put(const store::SessionRecord& record, bool waited);
    void put(const store::ListRecord& record);  // nobody waits for it
    void waits_no_more(store::SessionId id) { batcher_.waits_no_more(id); }
    void erase(store::SessionId id);
    const store::Batcher& batcher() const { return batcher_; }

private:
    void pump();
    void ended(store::Fault fault);

    net::Loop& loop_;
    Log& log_;
    store::Disk& disk_;
    const Kept kept_;
    store::Batcher batcher_;
    store::Fault told_ = store::Fault::None;
    net::Timer timer_;
    const std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // for batches that end after us
};

}  // namespace jasperspread::agent
