#include "tests/lab/counted_world.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "codec/message.h"
#include "codec/viewer_codec.h"

namespace lab {

using jasperspread::codec::ViewerMessage;
using jasperspread::codec::ViewerType;

namespace {

constexpr std::uint16_t agent_port = 2905, server_port = 2906, feed_port = 4222;
constexpr std::size_t descriptors = 20000;
constexpr double session_length_s = 3600;

ViewerMessage word(ViewerType type, std::uint64_t session) {
    ViewerMessage message;
    message.type = static_cast<std::uint8_t>(type);
    message.session = session;
    return message;
}

}  // namespace

// ---- Viewers ----

void CountedViewers::connect_more(const Address& agent, int connections) {
    constexpr double timeout_s = 5;
    for (int i = 0; i < connections; ++i) connect(agent, timeout_s);
}

void CountedViewers::opened(Connection& connection) {
    ViewerMessage test = word(ViewerType::Test, 1);
    test.cause = 0;
    connection.send(encode(test));
}

void CountedViewers::left(std::uint64_t, Connection::End why) {
    left_connections += why == Connection::End::Finished ? 1 : 0;
}

void CountedViewers::close_one() {
    connections_.rbegin()->second->finish();
}

void CountedViewers::ask(bool leaves, bool on_each) {
    const std::uint64_t id = 1ULL << 32 | ++serial_;
    ViewerMessage message = word(ViewerType::SetUp, id);
    message.class_name = "replay";
    message.title = jasperspread::codec::to_hex(1);
    message.hint_ms = session_length_s * 1000;
    message.description = describe({session_length_s, 5});
    message.figures = {{"home", "0"}, {"copies", "1"}, {"top", "5"}};
    message.figures["viewer"] = jasperspread::codec::to_hex(id);
    if (leaves) leaving_.insert(id);
    auto on = connections_.begin();
    if (on_each) std::advance(on, static_cast<std::ptrdiff_t>(serial_ % connections_.size()));
    on->second->send(encode(message));
}

std::size_t CountedViewers::heard(std::uint64_t number, std::string_view bytes) {
    std::size_t taken = 0;
    while (const auto decoded = jasperspread::codec::decode_viewer(bytes.substr(taken))) {
        taken += decoded->size;
        take(*connection(number), decoded->message);
    }
    return taken;
}

void CountedViewers::take(Connection& on, const ViewerMessage& message) {
    const std::uint64_t id = message.session;
    if (message.is(ViewerType::TestResult)) {
        ++tested;
    } else if (message.is(ViewerType::Answer)) {
        ++answered;
        if (leaving_.erase(id) == 0) {
            standing_.insert(id);
            return;
        }
        ViewerMessage release = word(ViewerType::Release, id);
        release.cause = 16;
        on.send(encode(release));
    } else if (message.is(ViewerType::ReleaseHeard)) {
        ++released;
    } else if (message.is(ViewerType::Release)) {
        ended += static_cast<int>(standing_.erase(id));
        on.send(encode(word(ViewerType::ReleaseHeard, id)));
    }
}

// ---- The world ----

CountedWorld::CountedWorld(int servers)
    : plan_(roomy_plan(servers)),
      agent_host_(network_.add_host(descriptors)),
      server_host_(network_.add_host(descriptors)),
      feed_host_(network_.add_host(descriptors)),
      viewers_host_(network_.add_host(descriptors)),
      kernel_(agent_host_, counts_),
      loop_(kernel_),
      wake_(agent_host_.loop()),
      server_(std::make_unique<RigServer>(server_host_.loop())),
      feed_(std::make_unique<RigFeed>(feed_host_.loop())),
      viewers_(std::make_unique<CountedViewers>(viewers_host_.loop())) {
    const Address server_at = server_->listen(server_host_.address(server_port));
    const Address nobody = server_host_.address(server_port + 1);
    for (int server = 0; server < servers; ++server)
        members_.push_back({server, server == 0 ? server_at : nobody, "up", 0});
    feed_->listen(feed_host_.address(feed_port));
    for (Host* host : {&server_host_, &feed_host_, &viewers_host_}) host->run([] { return true; });
    start_agent();
    rest(1);
}

CountedWorld::~CountedWorld() {
    agent_.reset();
    viewers_.reset();
    feed_.reset();
    server_.reset();
}

void CountedWorld::start_agent() {
    const auto config =
        roomy_config(plan_, agent_host_.address(agent_port), feed_host_.address(feed_port), members_);
    agent_ = std::make_unique<jasperspread::agent::Agent>(loop_, log_,
                                                          jasperspread::agent::read_config(config.dump()));
    agent_host_.run([this] {
        loop_.turn(0);
        const double next = loop_.deadlines().next();
        if (next < 1e17) wake_.set(next, [] {});
        return true;
    });
    constexpr double starts_s = 0.1;
    run_for(starts_s);
}

void CountedWorld::run_until(const std::function<bool()>& done) {
    constexpr double step_s = 0.01, longest_s = 60;
    double passed = 0;
    for (; !done() && passed < longest_s; passed += step_s) run_for(step_s);
    REQUIRE_LT(passed, longest_s);
}

void CountedWorld::rest(int connections) {
    constexpr int at_once = 100;  // a backlog holds no more
    while (connections > 0) {
        const int some = std::min(at_once, connections), wanted = viewers_->tested + some;
        viewers_->connect_more(agent_host_.address(agent_port), some);
        viewers_host_.wake();
        run_until([&] { return viewers_->tested >= wanted; });
        connections -= some;
    }
}

KernelCounts::Values CountedWorld::counted(const std::function<void()>& what) {
    constexpr double calm_s = 0.05;
    run_for(calm_s);
    const auto before = counts_.values();
    what();
    for (Host* host : {&server_host_, &feed_host_, &viewers_host_}) host->wake();
    for (std::uint64_t sent = ~0ULL; sent != counts_.bytes_sent;) {
        sent = counts_.bytes_sent;
        run_for(calm_s);
    }
    return counts_.values() - before;
}

}  // namespace lab
