#include "feed_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "codec/message.h"

namespace jasperspread::agent {
namespace {

// A comment comes each second: so long without a word and the feed is taken for dead, s.
constexpr double silent_s = 2.5;
// A connection that held for less counts as another failure: the pauses go on growing, s.
constexpr double held_s = 2.0;
constexpr double connect_timeout_s = 0.5, first_pause_s = 0.05, longest_pause_s = 1.0;
constexpr double least_part = 0.5;  // of a pause

}  // namespace

FeedClient::FeedClient(net::Loop& loop, net::BufferPool& pool, Log& log, const Start& start,
                       const Profile& profile, Told told)
    : loop_(loop),
      pool_(pool),
      log_(log),
      feed_(start.feed),
      profile_(profile),
      last_(start.last),
      revision_(start.revision),
      told_(std::move(told)),
      silence_(loop),
      again_(loop),
      random_(loop.kernel().random()),
      pause_(first_pause_s) {
    connect();
}

// The old feed tells nothing more: nothing is waited for there, not even a pause that has begun.
void FeedClient::move_to(const net::Address& feed) {
    log_.info("feed_moves", {{"to", net::to_text(feed)}, {"after", std::to_string(last_)}});
    hang_up();
    again_.cancel();
    feed_ = feed;
    pause_ = first_pause_s;
    connect();
}

void FeedClient::connect() {
    connected_ = 0;
    parser_.emplace();
    connection_ =
        std::make_shared<net::Connection>(loop_, pool_, *this, feed_, connect_timeout_s, net::Order::Early);
}

void FeedClient::wait_for_words() {
    silence_.set(loop_.now() + silent_s, [this] { lost("it is silent"); });
}

void FeedClient::opened(net::Connection& connection) {
    connected_ = loop_.now();
    connection.send(codec::feed_request(net::to_text(feed_), std::to_string(last_)));
    wait_for_words();
}

std::size_t FeedClient::received(net::Connection&, std::string_view bytes) {
    wait_for_words();
    try {
        for (const auto& event : parser_->take(bytes)) take(event);
        if (parser_->complete()) lost("the response has ended");
    } catch (const std::runtime_error& error) {  // unreadable: asked again from the last event that was read
        lost(error.what());
    }
    return bytes.size();
}

void FeedClient::take(const codec::FeedEvent& event) {
    // Guards against an event that can't be read: asked for again it would come again, and those after it
    // (a drain, say) would never be heard. What can be read of it is taken, and the rest is logged.
    ListChange change;
    try {
        change = read_change(nlohmann::json::parse(event.data), profile_);
    } catch (const std::exception& error) {
        log_.warn("feed_event_passed_over", {{"id", event.id}, {"why", error.what()}});
        const auto number = codec::parse_number(event.id);
        if (number && *number > static_cast<double>(last_)) last_ = static_cast<std::uint64_t>(*number);
        return;
    }
    for (const std::string& problem : change.unreadable)
        log_.warn("feed_member_passed_over", {{"why", problem}});
    // Guards against a list that is told again, or by a feed that is behind: a server that has left since
    // would be used again, and what took it away would count as told before. Only a list of a newer revision
    // is news under an old number: its feed has begun to number anew.
    const bool renumbered = change.complete && change.revision > revision_;
    if (change.number <= last_ && !renumbered) return;
    last_ = change.number;
    revision_ = std::max(revision_, change.revision);
    told_(change);
}

void FeedClient::ended(net::Connection&, net::Connection::End) {
    lost("the connection has ended");
}

void FeedClient::hang_up() {
    silence_.cancel();
    if (!connection_) return;  // between two attempts
    connection_->close();
    loop_.retire(std::move(connection_));
}

void FeedClient::lost(const std::string& why) {
    log_.warn("feed_lost", {{"why", why}, {"after", std::to_string(last_)}});
    hang_up();
    if (connected_ > 0 && loop_.now() > connected_ + held_s) pause_ = first_pause_s;
    // All agents lose the feed at one moment: none may come back in step with the others.
    std::uniform_real_distribution<double> part(least_part, 1);
    again_.set(loop_.now() + pause_ * part(random_), [this] { connect(); });
    pause_ = std::min(pause_ * 2, longest_pause_s);
}

}  // namespace jasperspread::agent
