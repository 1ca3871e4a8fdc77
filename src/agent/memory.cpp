#include "memory.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jasperspread::agent {

Memory::Memory(net::Loop& loop, Log& log, const MemoryOrder& order, Kept kept)
    : loop_(loop),
      log_(log),
      disk_(*order.disk),
      kept_(std::move(kept)),
      batcher_(order.settings),
      timer_(loop) {
    for (const store::SessionRecord& record : order.found.sessions) batcher_.holds(record.id);
    if (order.found.list.revision > 0) batcher_.holds(store::list_place);
}

bool Memory::put(const store::SessionRecord& record, bool waited) {
    if (batcher_.put(record.id, encode(record), waited, loop_.now()) == store::Batcher::Put::Refused)
        return false;
    pump();
    return true;
}

void Memory::put(const store::ListRecord& record) {
    batcher_.put(store::list_place, encode(record), false, loop_.now());
    pump();
}

void Memory::erase(store::SessionId id) {
    batcher_.erase(id, loop_.now());
    pump();
}

// What comes in one turn of the loop goes out together.
void Memory::pump() {
    const double due = batcher_.due();
    if (due == std::numeric_limits<double>::infinity()) return timer_.cancel();
    timer_.set(std::max(due, loop_.now()), [this] {
        auto batch = batcher_.begin(loop_.now());
        if (batch.empty()) return pump();
        disk_.commit(std::move(batch), [this, here = std::weak_ptr<bool>(here_)](store::Fault fault) {
            if (!here.expired()) ended(fault);
        });
    });
}

void Memory::ended(store::Fault fault) {
    const auto ended = batcher_.ended(fault, loop_.now());
    if (fault != std::exchange(told_, fault)) {
        if (fault == store::Fault::None)
            log_.info("store_writes_again");
        else
            log_.warn("store_fails", {{"why", std::string(name_of(fault))}});
    }
    pump();
    for (const store::SessionId id : ended.kept) kept_(id, true);
    for (const store::SessionId id : ended.lost) kept_(id, false);
}

}  // namespace jasperspread::agent
