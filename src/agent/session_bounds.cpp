#include "session_bounds.h"

namespace jasperspread::agent {
namespace {

constexpr double part_of_memory = 0.4;  // the rest is for connections, buffers and the program itself
// Of one session in the tables of both sides and of the decision module, beside its texts, bytes.
constexpr std::size_t bytes_of_session = 1280;
// Its texts are held by the table, and by the servers' side while it is being set up.
constexpr std::size_t copies_of_texts = 2;
// Sessions that have ended, and were not told of yet, count beside those that a server runs.
constexpr double runs_margin = 2;

std::size_t cost_of(std::size_t text_bytes) {
    return bytes_of_session + copies_of_texts * text_bytes;
}

}  // namespace

SessionBounds::SessionBounds(std::size_t memory)
    : most_bytes_(static_cast<std::size_t>(part_of_memory * static_cast<double>(memory))) {}

bool SessionBounds::has_room(std::size_t text_bytes) const {
    return bytes_ + cost_of(text_bytes) <= most_bytes_;
}

void SessionBounds::add(std::size_t text_bytes) {
    bytes_ += cost_of(text_bytes);
}

void SessionBounds::remove(std::size_t text_bytes) {
    bytes_ -= cost_of(text_bytes);
}

bool SessionBounds::has_room_at(ServerNumber server, double runs) const {
    const auto held = handed_over_.find(server);
    if (runs <= 0 || held == handed_over_.end()) return true;
    return static_cast<double>(held->second) < runs_margin * runs;
}

void SessionBounds::remove_at(ServerNumber server) {
    const auto held = handed_over_.find(server);
    if (held != handed_over_.end() && --held->second == 0) handed_over_.erase(held);
}

}  // namespace jasperspread::agent
