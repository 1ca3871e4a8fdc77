// Where the records go: a file in service, a simulated disk in the laboratory.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/record.h"

namespace jasperspread::store {

enum class Fault { None, Full, ReadOnly, Damaged, Failed };
std::string_view name_of(Fault fault);

struct Change {
    SessionId id = 0;
    std::optional<std::string> body;  // nullopt: erased
};

class Disk {
public:
    virtual ~Disk() = default;
    // All of it or nothing; `done` is called later, from the loop, once it is on disk or has failed. One
    // batch at a time.
    virtual void commit(std::vector<Change> batch, std::function<void(Fault)> done) = 0;
};

// What was found when a store was opened.
struct Found {
    OwnRecord before;  // as the previous incarnation left it; no name: a new store
    std::vector<SessionRecord> sessions;
    ListRecord list;          // revision 0: none
    std::size_t damaged = 0;  // records that could not be read
    bool set_aside = false;   // the file itself was damaged, and is kept beside the new one
};

}  // namespace jasperspread::store
