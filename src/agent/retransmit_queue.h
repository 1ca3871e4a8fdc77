// Messages on sessions that are sent again until they are acknowledged, on one connection or another. It only
// keeps the books: who sends, and where, is its owner's business. Times are Unix times in seconds, passed in.
// No operation looks at more messages than it returns or changes.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasperspread::agent {

class RetransmitQueue {
public:
    using SessionId = std::uint64_t;
    using ConnectionNumber = std::uint64_t;  // 0: none
    struct Times {
        double give_up_s = 0;      // after which a message is no longer sent
        double first_pause_s = 0;  // before it is sent again; doubles each time
    };

    explicit RetransmitQueue(const Times& times) : times_(times) {}

    bool empty() const { return messages_.empty(); }
    std::size_t size() const { return messages_.size(); }
    // Takes the place of an earlier message on the same session. It is due at once.
    void add(SessionId id, std::string bytes, double now);
    // False: there is no message on this session.
    bool acknowledge(SessionId id);
    // It goes out on this connection now: gives its bytes, and is due again after its pause.
    const std::string& send(SessionId id, ConnectionNumber on, double now);
    // The connection by which it was sent last; 0: none, or that one has gone.
    ConnectionNumber sent_on(SessionId id) const { return messages_.at(id).on; }
    // What was sent there last may never have been read: it is due at once.
    void connection_lost(ConnectionNumber on, double now);
    void drop_expired(double now);
    // Takes in all messages of another queue, each with its age; they are due at once.
    void take_all(RetransmitQueue&& other, double now);
    // All that are due, ascending by session.
    std::vector<SessionId> due(double now) const;

private:
    struct Message {
        std::string bytes;
        double added_at = 0, due_at = 0, pause_s = 0;
        ConnectionNumber on = 0;
    };
    void set_due(SessionId id, Message& message, double at);
    void set_connection(SessionId id, Message& message, ConnectionNumber on);
    void erase(SessionId id);

    const Times times_;
    std::unordered_map<SessionId, Message> messages_;
    std::set<std::pair<double, SessionId>> by_age_, by_due_;
    std::set<std::pair<ConnectionNumber, SessionId>> by_connection_;
};

}  // namespace jasperspread::agent
