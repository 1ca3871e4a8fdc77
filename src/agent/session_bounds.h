// How many sessions an agent holds at most: as many as its memory has room for, and of those that viewers
// hand over, as many at each server as that server can run. Keeps the books only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace jasperspread::agent {

class SessionBounds {
public:
    using ServerNumber = std::uint32_t;

    // `memory`: of the whole process, in bytes.
    explicit SessionBounds(std::size_t memory);

    // A session whose texts (class, title, description) have so many bytes.
    bool has_room(std::size_t text_bytes) const;
    void add(std::size_t text_bytes);
    void remove(std::size_t text_bytes);

    // Sessions that viewers have handed over. `runs`: what the server runs at most; 0: not known.
    bool has_room_at(ServerNumber server, double runs) const;
    void add_at(ServerNumber server) { ++handed_over_[server]; }
    void remove_at(ServerNumber server);

private:
    const std::size_t most_bytes_;
    std::size_t bytes_ = 0;
    std::unordered_map<ServerNumber, std::size_t> handed_over_;
};

}  // namespace jasperspread::agent
