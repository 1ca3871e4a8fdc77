// What servers, viewers and the feed share: taking connections, and keeping them until they end.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/listener.h"

namespace lab {

class Party : public jasperspread::net::Connection::Owner {
public:
    using Connection = jasperspread::net::Connection;
    explicit Party(jasperspread::net::Loop& loop) : loop_(loop) {}
    virtual ~Party() = default;

    // May be called several times: who comes by which listener is told by tag_of().
    jasperspread::net::Address listen(const jasperspread::net::Address& at, std::uint64_t tag = 0) {
        auto listener = std::make_unique<jasperspread::net::Listener>(
            loop_, at,
            jasperspread::net::Listener::Callbacks{[this, tag](jasperspread::net::Fd fd) {
                                                       auto made = std::make_shared<Connection>(
                                                           loop_, pool_, *this, std::move(fd));
                                                       const std::uint64_t number = ++came_;
                                                       numbers_[made.get()] = number;
                                                       connections_.emplace(number, made);
                                                       if (tag != 0) tags_[number] = tag;
                                                       arrived(number, *made);
                                                   },
                                                   [] { return true; }, [] {}});
        const auto address = listener->address();
        listeners_.push_back(std::move(listener));
        return address;
    }
    jasperspread::net::Address address() const { return listeners_.front()->address(); }
    void ended(Connection& connection, Connection::End why) override {
        const auto it = numbers_.find(&connection);
        if (it == numbers_.end()) return;
        const std::uint64_t number = it->second;
        numbers_.erase(it);
        left(number, why);
        tags_.erase(number);
        loop_.retire(connections_.at(number));
        connections_.erase(number);
    }
    std::size_t received(Connection& connection, std::string_view bytes) override {
        return heard(numbers_.at(&connection), bytes);
    }

protected:
    virtual void arrived(std::uint64_t, Connection&) {}
    virtual void left(std::uint64_t, Connection::End) {}
    virtual std::size_t heard(std::uint64_t number, std::string_view bytes) = 0;

    std::uint64_t connect(const jasperspread::net::Address& to, double timeout_s) {
        const std::uint64_t number = ++came_;
        auto made = std::make_shared<Connection>(loop_, pool_, *this, to, timeout_s);
        numbers_[made.get()] = number;
        connections_.emplace(number, made);
        return number;
    }
    Connection* connection(std::uint64_t number) {
        const auto it = connections_.find(number);
        return it == connections_.end() ? nullptr : it->second.get();
    }

    jasperspread::net::Loop& loop_;
    jasperspread::net::BufferPool pool_;  // outlives the connections
    std::uint64_t tag_of(std::uint64_t number) const {
        const auto it = tags_.find(number);
        return it == tags_.end() ? 0 : it->second;
    }
    std::uint64_t number_of(const Connection& connection) const { return numbers_.at(&connection); }
    void stop_listening() { listeners_.clear(); }
    void drop_all() {
        for (auto& [number, connection] : std::exchange(connections_, {})) {
            connection->close();
            loop_.retire(connection);
        }
        numbers_.clear();
        tags_.clear();
    }
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // in the order in which they came

private:
    std::map<const Connection*, std::uint64_t> numbers_;  // looked up only, never walked
    std::uint64_t came_ = 0;
    std::map<std::uint64_t, std::uint64_t> tags_;
    std::vector<std::unique_ptr<jasperspread::net::Listener>> listeners_;
};

}  // namespace lab
