// A hand-over's messages to and from lesson servers, and where a session stands after one
// (docs/design/handover.md).
#include <utility>

#include "agent/server_links.h"
#include "agent/server_words.h"
#include "codec/error.h"

namespace jasperspread::agent {

using codec::ServerMessage;
using codec::ServerVerb;

// What the hand-over adds to the protocol.
void ServerLinks::take_named(Link& link, const ServerMessage& message) {
    if (message.name == "FEATURE") {
        const std::string* feature = message.field("handover");
        Server& at = servers_[link.server];
        at.hands_over = feature != nullptr && *feature == "1";
        if (!at.hands_over) return;
        for (const auto& [id, text] : std::exchange(at.prepares, {})) link.connection.send(text);
        return;
    }
    const auto verb = handover::verb_of(message.name);
    if (!verb) return;
    HandoverReply reply;
    reply.answer.verb = *verb;
    reply.answer.epoch = whole(message.field("epoch"));
    const std::string* why = message.field("why");
    reply.answer.why =
        why == nullptr ? handover::Why::None : handover::why_of(*why).value_or(handover::Why::Unknown);
    if (const std::string* at = message.field("at")) reply.at_ms = *at;
    events_.handed(message.session, link.server, reply);
}

bool ServerLinks::hands_over(ServerNumber number) const {
    const auto it = servers_.find(number);
    return it != servers_.end() && it->second.hands_over;
}

void ServerLinks::hand_over(const HandoverMessage& said) {
    ServerMessage message = word(ServerVerb::Unknown, said.session);
    message.name = handover::name_of(said.verb);
    message.fields["epoch"] = std::to_string(said.epoch);
    if (!said.ticket.empty()) message.fields["ticket"] = said.ticket;
    if (said.hold_s > 0) message.fields["hold"] = codec::whole_ms(said.hold_s);
    if (!said.at_ms.empty()) message.fields["at"] = said.at_ms;
    if (said.verb == handover::Verb::Prepare) {
        message.fields["probation"] = codec::whole_ms(said.probation_s);
        message.fields["class"] = said.class_name;
        message.fields["key"] = said.title;
        message.fields["rung"] = std::to_string(said.rung);
        message.description = said.description;
    }
    // A server that was never spoken with has announced nothing yet: a connection tells. Whoever does not
    // know these messages never gets one.
    Server& at = servers_[said.server];
    constexpr std::size_t most_waiting = 64;
    try {
        if (at.hands_over) return connections_.send(said.server, nullptr, message);
        at.prepares.erase(said.session);
        if (said.verb != handover::Verb::Prepare || at.prepares.size() >= most_waiting) return;
        at.prepares.emplace(said.session, encode(message));
        connections_.ensure_connection(said.server);
    } catch (const codec::CodecError&) {  // escaped, the description no longer fits a line: no hand-over then
        log_.warn("handover_too_long", {{"session", codec::to_hex(said.session)}});
    }
}

void ServerLinks::reassign(SessionId id, ServerNumber number, int rung) {
    const auto it = entries_.find(id);
    Entry moved;
    if (it != entries_.end()) moved = it->second;
    erase(id);
    moved.attempt.id = id;
    moved.attempt.server = number;
    moved.attempt.rung = rung;
    moved.state = State::Standing;
    moved.link = nullptr;
    moved.home_epoch = moved.epoch;
    moved.since = loop_.now();
    place(id, std::move(moved));
    connections_.ensure_connection(number);
}

void ServerLinks::set_epoch(SessionId id, std::uint64_t epoch) {
    if (const auto it = entries_.find(id); it != entries_.end()) it->second.epoch = epoch;
}

void ServerLinks::end_at(SessionId id, ServerNumber number, std::uint64_t epoch) {
    ServerMessage message = word(ServerVerb::Finish, id, cause_cancelled);
    message.fields["epoch"] = std::to_string(epoch);
    connections_.send(number, nullptr, message);
}

}  // namespace jasperspread::agent
