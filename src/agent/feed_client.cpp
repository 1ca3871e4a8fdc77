#include "feed_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/message.h"

namespace jasperspread::agent {
namespace {

// A comment comes each second: after so long without a word, s, the feed is called once more.
constexpr double silent_s = 2.5;
// So many calls are open at a time, and one that is silent for longer than the others may be is given up.
constexpr std::size_t most_calls = 3;
constexpr double given_up_s = silent_s * most_calls;
// A connection that held for less counts as another failure: the pauses go on growing, s.
constexpr double held_s = 2.0;
constexpr double connect_timeout_s = 0.5, first_pause_s = 0.05, longest_pause_s = 1.0;
constexpr double least_part = 0.5;  // of a pause

}  // namespace

// One call of the feed.
class FeedClient::Call final : public net::Connection::Owner {
public:
    explicit Call(FeedClient& client)
        : client_(client),
          given_up_(client.loop_),
          connection(client.loop_, client.pool_, *this, client.feed_, connect_timeout_s, net::Order::Early) {}

    void opened(net::Connection&) override {
        opened_at = client_.loop_.now();
        wait_for_words();
        client_.opened(*this);
    }
    std::size_t received(net::Connection&, std::string_view bytes) override {
        wait_for_words();
        return client_.received(*this, bytes);
    }
    void ended(net::Connection&, net::Connection::End) override {
        client_.end(*this, "the connection has ended");
    }
    void close() {
        given_up_.cancel();
        connection.close();
    }

    double opened_at = 0;  // 0: it was not yet
    codec::FeedParser parser;

private:
    void wait_for_words() {
        given_up_.set(client_.loop_.now() + given_up_s, [this] { client_.end(*this, "it is silent"); });
    }

    FeedClient& client_;
    net::Timer given_up_;

public:
    net::Connection connection;  // last: it may not call back before the rest is there
};

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
    call();
}

FeedClient::~FeedClient() = default;

// The old feed tells nothing more: nothing is waited for there, not even a pause that has begun.
void FeedClient::move_to(const net::Address& feed) {
    log_.info("feed_moves", {{"to", net::to_text(feed)}, {"after", std::to_string(last_)}});
    close_all_but(nullptr);
    silence_.cancel();
    again_.cancel();
    feed_ = feed;
    pause_ = first_pause_s;
    call();
}

void FeedClient::call() {
    if (calls_.size() >= most_calls) end(*calls_.front(), "it is silent");
    again_.cancel();
    calls_.push_back(std::make_shared<Call>(*this));
}

void FeedClient::watch_for_silence() {
    silence_.set(loop_.now() + silent_s, [this] {
        log_.warn("feed_silent",
                  {{"calls", std::to_string(calls_.size())}, {"after", std::to_string(last_)}});
        pause_ = first_pause_s;
        call_again();
    });
}

void FeedClient::opened(Call& call) {
    call.connection.send(codec::feed_request(net::to_text(feed_), std::to_string(last_)));
    watch_for_silence();
}

// Whichever call is answered first is the feed from then on.
std::size_t FeedClient::received(Call& call, std::string_view bytes) {
    close_all_but(&call);
    again_.cancel();
    watch_for_silence();
    try {
        for (const auto& event : call.parser.take(bytes)) take(event);
        if (call.parser.complete()) end(call, "the response has ended");
    } catch (const std::runtime_error& error) {  // unreadable: asked again from the last event that was read
        end(call, error.what());
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

void FeedClient::close_all_but(const Call* call) {
    for (auto& one : std::exchange(calls_, {})) {
        if (one.get() == call) {
            calls_.push_back(std::move(one));
            continue;
        }
        one->close();
        loop_.retire(std::move(one));
    }
}

// A call is over. The feed is called again unless another call is still waiting for its answer.
void FeedClient::end(Call& call, const std::string& why) {
    const auto self =
        std::find_if(calls_.begin(), calls_.end(), [&](const auto& one) { return one.get() == &call; });
    if (self == calls_.end()) return;  // it was closed from here
    log_.warn("feed_lost", {{"why", why}, {"after", std::to_string(last_)}});
    if (call.opened_at > 0 && loop_.now() > call.opened_at + held_s) pause_ = first_pause_s;
    call.close();
    loop_.retire(std::move(*self));
    calls_.erase(self);
    const bool others_wait =
        std::any_of(calls_.begin(), calls_.end(), [](const auto& one) { return one->connection.is_open(); });
    if (others_wait && silence_.is_set()) return;
    silence_.cancel();
    call_again();
}

// All agents lose the feed at one moment: none may come back in step with the others.
void FeedClient::call_again() {
    std::uniform_real_distribution<double> part(least_part, 1);
    again_.set(loop_.now() + pause_ * part(random_), [this] { this->call(); });
    pause_ = std::min(pause_ * 2, longest_pause_s);
}

}  // namespace jasperspread::agent
