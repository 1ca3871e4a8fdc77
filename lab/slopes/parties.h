// The parties round an agent whose costs are measured: a feed and a server that do nothing of themselves, and
// the plan under which nothing but the size counts.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

#include "lab/model/party.h"
#include "lab/model/world.h"

namespace lab {

// A control feed that says what it is told to say, and a comment each second.
class RigFeed final : public Party {
public:
    explicit RigFeed(jasperspread::net::Loop& loop);
    // Sends one event to whoever listens; gives its bytes.
    std::size_t tell(const WorldPlan& plan, bool complete, const std::vector<Member>& members);

private:
    std::size_t heard(std::uint64_t number, std::string_view bytes) override;
    void comment();

    std::uint64_t events_ = 1;
    jasperspread::net::Timer timer_;
};

// A lesson server that starts every session at once and lets it play until it is told otherwise.
class RigServer final : public Party {
public:
    explicit RigServer(jasperspread::net::Loop& loop) : Party(loop) {}
    std::size_t sessions() const { return sessions_.size(); }
    void end_all();  // says of each session that it is over
    // The same of sessions that were claimed here, by their ids, on its first connection.
    void end_claimed(std::uint64_t first, std::uint64_t count);
    void end_one();   // of the one that began first
    void note_one();  // says how full the link is, on the session that began last
    void die();       // its connections close, and whoever comes is refused
    void starts_again(const jasperspread::net::Address& at) { listen(at); }

private:
    std::size_t heard(std::uint64_t number, std::string_view bytes) override;
    void end(std::uint64_t session, std::uint64_t on);

    std::map<std::uint64_t, std::uint64_t> sessions_;  // and the connection of its set-up
};

// The plan of these experiments: links, places and time without end, so that nothing but the size counts.
WorldPlan roomy_plan(int servers);
// The configuration of an agent under that plan, with descriptors and streams for 18,000 connections.
nlohmann::json roomy_config(const WorldPlan& plan, const jasperspread::net::Address& listen,
                            const jasperspread::net::Address& feed, const std::vector<Member>& members);

}  // namespace lab
