// Stand-ins for the review: a small world of lesson servers, viewers and a control feed on loopback
// addresses, and the session agent as a process of its own, started by the deploy file's command. One thread,
// poll(2). Servers, viewers and the feed behave as the users' pages say unless a case tells them otherwise.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;
using SessionId = std::uint64_t;

constexpr int held = 0, broken = 1, could_not_run = 2;

inline double now() {
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

inline std::string hex(SessionId id) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
    return text;
}

[[noreturn]] inline void give_up(const std::string& why) {
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::exit(could_not_run);
}

// The record of what was sent, answered and run: one line an event, seconds since the start.
class Record {
public:
    Record() : began_(now()) {}
    void open(const std::string& path) {
        file_ = std::fopen(path.c_str(), "w");
        if (file_ == nullptr) give_up("can't write " + path);
    }
    ~Record() {
        if (file_ != nullptr) std::fclose(file_);
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        if (file_ == nullptr) return;
        std::fprintf(file_, "%9.4f ", now() - began_);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_ = nullptr;
    double began_;
};

// Descriptors with their handlers, and timers.
class Loop {
public:
    struct Watch {
        std::function<void(short)> ready;
        std::function<bool()> wants_write;
    };
    void watch(int fd, std::function<void(short)> ready, std::function<bool()> wants_write = {}) {
        watches_[fd] = std::make_shared<Watch>(Watch{std::move(ready), std::move(wants_write)});
    }
    void forget(int fd) { watches_.erase(fd); }
    void at(double time, std::function<void()> task) { timers_.emplace(time, std::move(task)); }
    void in(double seconds, std::function<void()> task) { at(now() + seconds, std::move(task)); }

    void run_until(double end, const std::function<bool()>& done = {}) {
        while (now() < end && !(done && done())) turn(end);
    }
    void run_for(double seconds, const std::function<bool()>& done = {}) { run_until(now() + seconds, done); }

private:
    void turn(double end) {
        double wait = std::min(end - now(), 0.05);
        if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
        std::vector<pollfd> polls;
        std::vector<std::shared_ptr<Watch>> whose;
        for (const auto& [fd, watch] : watches_) {
            const bool write = watch->wants_write && watch->wants_write();
            polls.push_back({fd, static_cast<short>(POLLIN | (write ? POLLOUT : 0)), 0});
            whose.push_back(watch);
        }
        ::poll(polls.data(), polls.size(), std::max(0, static_cast<int>(std::ceil(wait * 1000))));
        for (std::size_t i = 0; i < polls.size(); ++i) {
            const auto it = watches_.find(polls[i].fd);
            if (polls[i].revents != 0 && it != watches_.end() && it->second == whose[i])
                whose[i]->ready(polls[i].revents);
        }
        while (!timers_.empty() && timers_.begin()->first <= now()) {
            const auto task = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            task();
        }
    }
    std::map<int, std::shared_ptr<Watch>> watches_;
    std::multimap<double, std::function<void()>> timers_;
};

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

inline int listen_at(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 128) != 0)
        give_up("can't listen on a loopback address");
    return fd;
}

inline std::uint16_t port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline std::uint16_t free_port() {
    const int fd = listen_at(0);
    const std::uint16_t port = port_of(fd);
    ::close(fd);
    return port;
}

// A connection of a stand-in: bytes in, bytes out, in order.
class Stream {
public:
    Stream(Loop& loop, int fd) : loop_(loop), fd_(fd) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        loop_.watch(
            fd_, [this](short events) { ready(events); }, [this] { return !out_.empty(); });
    }
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    std::function<std::size_t(const std::string&)> taken;  // how many bytes of what has come are done with
    std::function<void()> ended;

    bool is_open() const { return fd_ >= 0; }
    void send(const std::string& bytes) {
        if (!is_open()) return;
        out_ += bytes;
        flush();
    }
    void close() {
        if (!is_open()) return;
        loop_.forget(fd_);
        ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        if (!is_open()) return;
        const linger at_once{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

private:
    void flush() {
        while (!out_.empty()) {
            const ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
            if (sent <= 0) break;
            out_.erase(0, static_cast<std::size_t>(sent));
        }
    }
    void ready(short events) {
        if ((events & POLLOUT) != 0) flush();
        char bytes[65536];
        bool over = false;
        while (true) {
            const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
            if (got > 0) {
                in_.append(bytes, static_cast<std::size_t>(got));
                continue;
            }
            over = got == 0 || (errno != EAGAIN && errno != EINTR);
            break;
        }
        while (is_open() && taken && !in_.empty()) {
            const std::size_t done = taken(in_);
            if (done == 0) break;
            in_.erase(0, done);
        }
        if (over && is_open()) {
            close();
            if (ended) ended();
        }
    }
    Loop& loop_;
    int fd_;
    std::string in_, out_;
};

// ---- A lesson server ----

// Speaks the JSON lines of the protocol page. What it does with a set-up is up to `on_start`; without one the
// session stands at once and ends by itself after `plays_s`.
class Server {
public:
    struct Connection {
        explicit Connection(Loop& loop, int fd) : stream(loop, fd) {}
        Stream stream;
        int number = 0;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Session {
        ConnectionPtr on;
        double since = 0;
    };

    Server(Loop& loop, Record& record, std::string id) : id(std::move(id)), loop_(loop), record_(record) {
        listener_ = listen_at(0);
        port = port_of(listener_);
        watch_listener();
    }
    ~Server() {
        loop_.forget(listener_);
        ::close(listener_);
    }

    const std::string id;
    std::uint16_t port = 0;
    double plays_s = 1000, note_every_s = 0;
    double note_value = 0.3;
    std::function<void(const ConnectionPtr&, SessionId, const Json&)> on_start;
    std::function<void(const ConnectionPtr&)> on_connection;
    std::function<void(SessionId, int cause)> on_finish;
    std::map<SessionId, Session> standing;
    std::map<SessionId, int> starts;  // set-ups that have come whole, by session
    std::map<SessionId, int>
        unacknowledged;  // causes of releases that could not be sent, or were not heard yet

    void say(const ConnectionPtr& on, const Json& message) {
        record_.line("%s -> agent  [c%d] %s", id.c_str(), on->number, message.dump().c_str());
        on->stream.send(message.dump() + "\n");
    }
    static Json word(const char* verb, SessionId session) {
        return {{"verb", verb}, {"tag", hex(session)}, {"opts", Json::object()}};
    }
    void start(const ConnectionPtr& on, SessionId session, const std::string& description) {
        standing[session] = {on, now()};
        Json message = word("STARTED", session);
        message["blob"] = description;
        say(on, message);
        note(session);
    }
    void finish_on(const ConnectionPtr& on, SessionId session, int cause) {
        Json message = word("FINISH", session);
        message["rc"] = cause;
        say(on, message);
    }
    // A session has come to its end: told on the connection of its set-up, on any open one, or on the next.
    void end(SessionId session, int cause) {
        const auto it = standing.find(session);
        if (it == standing.end()) return;
        const ConnectionPtr own = it->second.on;
        standing.erase(it);
        record_.line("%s session %s is over", id.c_str(), hex(session).c_str());
        unacknowledged[session] = cause;
        ConnectionPtr to = usable(own) ? own : any();
        if (to) finish_on(to, session, cause);
    }
    void note(SessionId session) {
        const auto it = standing.find(session);
        if (it == standing.end() || note_every_s <= 0) return;
        const ConnectionPtr to = usable(it->second.on) ? it->second.on : any();
        if (!to) return;
        Json message = word("NOTICE", session);
        message["opts"] = {{"note", "local"}, {"value", note_value}};
        say(to, message);
    }
    bool usable(const ConnectionPtr& on) const { return on && on->stream.is_open(); }
    ConnectionPtr any() const {
        for (const auto& connection : connections_) {
            if (usable(connection)) return connection;
        }
        return nullptr;
    }
    std::size_t open_connections() const {
        return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                      [this](const auto& c) { return usable(c); }));
    }

    // It resets its connections, what stands there stays.
    void reset_all() {
        for (const auto& connection : connections_) connection->stream.reset();
        connections_.clear();
    }
    // New connections are refused (as at a full allowance of connections), or taken again.
    void refuse(bool refused) {
        record_.line("%s %s", id.c_str(),
                     refused ? "refuses new connections" : "takes new connections again");
        if (refused) {
            loop_.forget(listener_);
            ::close(listener_);
        } else {
            listener_ = listen_at(port);
            watch_listener();
        }
    }

private:
    void watch_listener() {
        loop_.watch(listener_, [this](short) { accept(); });
    }
    void accept() {
        while (true) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) return;
            auto connection = std::make_shared<Connection>(loop_, fd);
            connection->number = ++accepted_;
            connections_.push_back(connection);
            record_.line("%s accepts [c%d]", id.c_str(), connection->number);
            const std::weak_ptr<Connection> weak = connection;
            connection->stream.taken = [this, weak](const std::string& bytes) -> std::size_t {
                const ConnectionPtr on = weak.lock();
                if (!on) return bytes.size();
                const std::size_t end = bytes.find('\n');
                if (end == std::string::npos) return 0;
                take(on, bytes.substr(0, end));
                return end + 1;
            };
            connection->stream.ended = [this, weak] {
                const ConnectionPtr on = weak.lock();
                if (on) record_.line("%s [c%d] has ended", id.c_str(), on->number);
                loop_.in(0, [this, weak] {
                    std::erase_if(connections_, [&](const auto& one) { return one == weak.lock(); });
                });
            };
            for (const auto& [session, cause] : unacknowledged) finish_on(connection, session, cause);
            if (on_connection) on_connection(connection);
        }
    }
    void take(const ConnectionPtr& on, const std::string& line) {
        record_.line("agent -> %s  [c%d] %s", id.c_str(), on->number, line.c_str());
        const Json message = Json::parse(line, nullptr, false);
        if (!message.is_object()) return on->stream.close();
        const std::string verb = message.value("verb", "");
        const SessionId session = std::strtoull(message.value("tag", "0").c_str(), nullptr, 16);
        if (verb == "START") {
            ++starts[session];
            if (on_start) return on_start(on, session, message);
            start(on, session, "played by " + id);
            loop_.in(plays_s, [this, session] { end(session, 16); });
        } else if (verb == "FINISH") {
            standing.erase(session);
            say(on, word("FINISHED", session));
            if (on_finish) on_finish(session, message.value("rc", 0));
        } else if (verb == "FINISHED") {
            unacknowledged.erase(session);
        } else if (verb == "ECHO") {
            Json answer = word("ECHOED", session);
            answer["rc"] = 1;
            answer["opts"] = {{"load", "x0:0.3"}};
            say(on, answer);
        }
    }

    Loop& loop_;
    Record& record_;
    int listener_ = -1, accepted_ = 0;
    std::vector<ConnectionPtr> connections_;
};

// ---- The control feed ----

class Feed {
public:
    Feed(Loop& loop, Record& record) : loop_(loop), record_(record) {
        listener_ = listen_at(0);
        port = port_of(listener_);
        loop_.watch(listener_, [this](short) { accept(); });
        comment();
    }
    ~Feed() {
        loop_.forget(listener_);
        ::close(listener_);
    }

    std::uint16_t port = 0;
    std::vector<Json> events;  // the first ones are known at the agent's start

    static Json member(const Server& server, const char* phase, double up_since = 0, int cell = 0,
                       const char* zone = "main-building") {
        return {{"id", server.id},  {"host_port", "127.0.0.1:" + std::to_string(server.port)},
                {"locality", zone}, {"flavor", "std-3core"},
                {"cell", cell},     {"phase", phase},
                {"size", 10},       {"up_since_ms", static_cast<std::uint64_t>(up_since * 1000)}};
    }
    void add(bool complete, const Json& members) {
        const std::size_t number = events.size() + 1;
        events.push_back({{"n", number},
                          {"members", {{"revision", number}, {"complete", complete}, {"members", members}}}});
    }
    Json known() const { return {{"n", events.size()}, {"events", events}}; }

private:
    struct Call {
        Call(Loop& loop, int fd) : stream(loop, fd) {}
        Stream stream;
        int number = 0;
    };
    static std::string text_of(const Json& event) {
        return "id: " + std::to_string(event["n"].get<std::size_t>()) + "\ndata: " + event.dump() + "\n\n";
    }
    void comment() {
        for (const auto& call : calls_) {
            if (call->number > 0) call->stream.send(": still here\n\n");
        }
        loop_.in(1, [this] { comment(); });
    }
    void accept() {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        auto call = std::make_shared<Call>(loop_, fd);
        calls_.push_back(call);
        const std::weak_ptr<Call> weak = call;
        call->stream.taken = [this, weak](const std::string& bytes) -> std::size_t {
            const std::size_t end = bytes.find("\r\n\r\n");
            const auto call = weak.lock();
            if (end == std::string::npos || !call) return 0;
            std::size_t last = 0;
            const std::size_t header = bytes.find("Last-Event-ID: ");
            if (header != std::string::npos) last = std::strtoul(bytes.c_str() + header + 15, nullptr, 10);
            call->number = 1;
            record_.line("agent calls the feed after %zu", last);
            call->stream.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
            for (std::size_t i = last; i < events.size(); ++i) call->stream.send(text_of(events[i]));
            return end + 4;
        };
        call->stream.ended = [this, weak] {
            loop_.in(0, [this, weak] {
                std::erase_if(calls_, [&](const auto& one) { return one == weak.lock(); });
            });
        };
    }
    Loop& loop_;
    Record& record_;
    int listener_ = -1;
    std::vector<std::shared_ptr<Call>> calls_;
};

// ---- Viewers ----

namespace wire {
constexpr int set_up = 1, progress = 6, answer = 9, release = 12, release_heard = 16, test = 52,
              test_passed = 53;

inline void put(std::string& out, std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) out.push_back(static_cast<char>(value >> (8 * i)));
}
inline void parameter(std::string& out, int code, const std::string& value) {
    put(out, static_cast<std::uint64_t>(code), 1);
    put(out, value.size(), 2);
    out += value;
}
inline std::string message(int type, SessionId session, const std::string& parameters) {
    std::string out;
    put(out, 9 + parameters.size(), 2);
    put(out, static_cast<std::uint64_t>(type), 1);
    put(out, session, 8);
    return out + parameters;
}
inline std::uint64_t number(const std::string& bytes, std::size_t at, int size) {
    std::uint64_t value = 0;
    for (int i = 0; i < size; ++i)
        value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
    return value;
}
}  // namespace wire

struct Word {  // a message to a viewer
    int type = 0, cause = -1;
    SessionId session = 0;
    std::string description;
    double at = 0;
};

struct Ask {  // a set-up
    SessionId session = 0;
    std::string class_name = "replay", wait_ms = "4000", title = "7f3a9c21e0b4d655", hint_ms = "30000.0";
    std::string figures = "home:0;copies:1;top:5;viewer:00000000b4d65521";
    std::string description = "offer";
};

// A connection from viewers, which answers what the page asks of them.
class Viewers {
public:
    Viewers(Loop& loop, Record& record, std::uint16_t port, std::string name)
        : name_(std::move(name)), record_(record) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return;
        }
        ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
        stream_ = std::make_unique<Stream>(loop, fd);
        stream_->taken = [this](const std::string& bytes) -> std::size_t { return take(bytes); };
        stream_->ended = [this] { record_.line("%s: the agent has closed", name_.c_str()); };
    }

    std::vector<Word> heard;
    std::function<void(const Word&)> on_word;

    bool is_open() const { return stream_ && stream_->is_open(); }
    static std::string text_of(const Ask& ask) {
        std::string parameters;
        wire::parameter(parameters, 64, ask.class_name);
        wire::parameter(parameters, 66, ask.wait_ms);
        wire::parameter(parameters, 72, ask.title);
        if (!ask.hint_ms.empty()) wire::parameter(parameters, 84, ask.hint_ms);
        wire::parameter(parameters, 74, ask.figures);
        wire::parameter(parameters, 94, ask.description);
        return wire::message(wire::set_up, ask.session, parameters);
    }
    void ask(const Ask& what) {
        record_.line("%s -> agent  set-up %s class=%s wait=%s hint=%s %s", name_.c_str(),
                     hex(what.session).c_str(), what.class_name.c_str(), what.wait_ms.c_str(),
                     what.hint_ms.c_str(), what.figures.c_str());
        send(text_of(what));
    }
    void test() {
        std::string parameters;
        wire::parameter(parameters, 92, std::string(1, '\0'));
        send(wire::message(wire::test, 1, parameters));
    }
    void send(const std::string& bytes) {
        if (stream_) stream_->send(bytes);
    }
    void close() {
        if (stream_) stream_->close();
    }
    const Word* first(SessionId session, int type) const {
        for (const Word& word : heard) {
            if (word.session == session && word.type == type) return &word;
        }
        return nullptr;
    }

private:
    std::size_t take(const std::string& bytes) {
        if (bytes.size() < 2) return 0;
        const auto length = static_cast<std::size_t>(wire::number(bytes, 0, 2));
        if (bytes.size() < 2 + length || length < 9) return 0;
        Word word;
        word.type = static_cast<int>(wire::number(bytes, 2, 1));
        word.session = wire::number(bytes, 3, 8);
        word.at = now();
        for (std::size_t at = 11; at + 3 <= 2 + length;) {
            const auto code = wire::number(bytes, at, 1);
            const auto size = static_cast<std::size_t>(wire::number(bytes, at + 1, 2));
            const std::string value = bytes.substr(at + 3, size);
            if (code == 92 && !value.empty()) word.cause = static_cast<unsigned char>(value[0]);
            if (code == 94) word.description = value;
            at += 3 + size;
        }
        record_.line("agent -> %s  type=%d session=%s cause=%d %s", name_.c_str(), word.type,
                     hex(word.session).c_str(), word.cause, word.description.c_str());
        heard.push_back(word);
        if (word.type == wire::release) send(wire::message(wire::release_heard, word.session, ""));
        if (on_word) on_word(word);
        return 2 + length;
    }
    std::string name_;
    Record& record_;
    std::unique_ptr<Stream> stream_;
};

// ---- The session agent ----

// The settings of csis-lessons in the protocol's form, for a small deployment.
inline Json csis_settings(int agents) {
    Json settings = Json::parse(R"({
        "areas": ["main-building", "annex"], "zone": "main-building", "balancers": 1, "position": 0,
        "kinds": ["std-3core"],
        "classes": [
          {"name": "attended-lesson", "aim": 1.0, "deadline": 5.0, "points": 2.0, "semantics": "non_idempotent",
           "key_scope": "all", "window": 5.0, "stream": true},
          {"name": "replay", "aim": 1.5, "deadline": 4.0, "points": 1.0, "semantics": "read_like",
           "key_scope": "all", "window": 5.0, "stream": true}],
        "tenants": [], "family": "streams",
        "family_info": {
          "places": 1, "shelves": 1, "places_by_kind": [41], "weight_kb": 2975.0, "rack_link_kb": 300000.0,
          "all_links_kb": 98807.0, "ladder_kb": [197, 294, 440, 658, 984, 1471],
          "worth_by_rung": [0.25, 0.43, 0.58, 0.73, 0.86, 1.0], "scale_by_class": [1.2, 0.7],
          "floor_by_class": [0, 0], "top_by_class": [5, 5], "seats": [0, 0], "is_live": [false, false],
          "shared_adds": 1.0, "guard": 1.2, "stall_cost": 9.0, "switch_cost_s": 0.43,
          "told_every": 2.75, "told_late": 0.9},
        "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "limits": {"cancel": true, "probes": true, "retry_after": true, "max_retry_after": 2.0, "try_limit": 3,
          "connect_timeout": 0.25, "conn_idle": 15.0, "streams_per_conn": 32, "parallel_tries": false,
          "peer_messages": false},
        "obligations": {"answer_slack": 0.04, "drain_grace": 0.25, "cold": 12.0, "cold_from": 0.4, "fall": 3.0,
          "fall_multiple": 4.0, "must_ask_in": 10.0},
        "penalties": {"cross_zone": 0.037, "late_fail": 0.05, "moves": 0.2, "probe": 0.014},
        "report": {"fields": ["x0"], "how": "inline"},
        "membership_mode": "pushed", "round": 0.01})");
    settings["balancers"] = agents;
    return settings;
}

class Agent {
public:
    Agent(std::string root, std::string folder) : root_(std::move(root)), folder_(std::move(folder)) {
        port = free_port();
    }
    ~Agent() { end(); }

    std::uint16_t port = 0;

    void write_config(const Feed& feed, const Json& settings) const {
        const Json config = {{"name", "n1"},
                             {"listen", "127.0.0.1:" + std::to_string(port)},
                             {"seed", "8c1f30d27a5be964"},
                             {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                             {"feed", "127.0.0.1:" + std::to_string(feed.port)},
                             {"known", feed.known()},
                             {"settings", settings}};
        std::ofstream(config_path()) << config.dump(1);
    }
    void start() {
        const std::string command = run_command();
        pid_ = ::fork();
        if (pid_ < 0) give_up("can't start a process");
        if (pid_ > 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::chdir(root_.c_str()) != 0) ::_exit(127);
        const int log = ::open((folder_ + "/agent.log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("RELAY_NAME", "n1", 1);
        ::setenv("RELAY_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
        ::setenv("RELAY_CONFIG", config_path().c_str(), 1);
        ::setenv("TMPDIR", folder_.c_str(), 1);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    // Until it has passed a test, as the front asks before it takes an agent in.
    void wait_until_ready(Loop& loop, Record& record) {
        const double end = now() + 30;
        while (now() < end) {
            Viewers tester(loop, record, port, "front");
            if (tester.is_open()) {
                tester.test();
                loop.run_for(1, [&] { return tester.first(1, wire::test_passed) != nullptr; });
                if (tester.first(1, wire::test_passed) != nullptr) return;
            }
            if (!runs()) give_up("the agent has ended at its start");
            loop.run_for(0.05);
        }
        give_up("the agent is not ready within 30 s");
    }
    bool runs() {
        if (pid_ <= 0) return false;
        if (::waitpid(pid_, &status_, WNOHANG) == 0) return true;
        pid_ = -1;
        return false;
    }
    void end() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &status_, 0);
        pid_ = -1;
    }

private:
    std::string config_path() const { return folder_ + "/config.json"; }
    std::string run_command() const {
        std::ifstream file(root_ + "/deploy/balancer.toml");
        for (std::string line; std::getline(file, line);) {
            if (!line.starts_with("run = \"")) continue;
            return line.substr(7, line.find('"', 7) - 7);
        }
        give_up("the deploy file names no run command");
    }
    std::string root_, folder_;
    pid_t pid_ = -1;
    int status_ = 0;
};

// What every case begins with: run.sh reads TROUBLE and names it after the root, the case's folder and a
// temporary folder.
struct Case {
    Case(int argc, char** argv) {
        if (argc < 5)
            give_up("expected the root, the case's folder, a temporary folder and whether there is trouble");
        ::signal(SIGPIPE, SIG_IGN);
        root = argv[1];
        temporary = argv[3];
        record.open(std::string(argv[2]) + "/record.txt");
        trouble = std::string(argv[4]) != "0";
        record.line("the disruption is %s", trouble ? "on" : "off");
    }
    int verdict(bool kept, const std::string& why) {
        record.line("verdict: %s: %s", kept ? "held" : "broken", why.c_str());
        std::printf("%s: %s\n", kept ? "held" : "broken", why.c_str());
        return kept ? held : broken;
    }
    std::string root, temporary;
    bool trouble = true;
    Record record;
    Loop loop;
};

}  // namespace review
