#include "scenario.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <tuple>
#include <vector>

#include "agent/directory.h"
#include "automatic_server.h"
#include "codec/error.h"
#include "codec/feed_codec.h"
#include "codec/server_codec.h"
#include "codec/viewer_codec.h"
#include "net/loop.h"
#include "net/socket.h"

namespace scenario {
namespace {

using namespace jasperspread;
using Words = std::vector<std::string>;

constexpr double patience_s = 20;  // for what must come; generous, so that a busy machine changes nothing

double unix_now() {
    return net::SystemKernel().now();
}

struct Wrong : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// ---- Words ----

std::string bytes_of(const std::string& value) {
    if (!value.starts_with("hex:")) return value;
    std::string bytes;
    for (std::size_t i = 4; i + 1 < value.size(); i += 2) {
        bytes.push_back(static_cast<char>(std::stoi(value.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

std::map<std::string, std::string> fields_of(const Words& words, std::size_t from) {
    std::map<std::string, std::string> fields;
    for (std::size_t i = from; i < words.size(); ++i) {
        const std::size_t cut = words[i].find('=');
        if (cut == std::string::npos) throw Wrong("not a field: " + words[i]);
        fields[words[i].substr(0, cut)] = bytes_of(words[i].substr(cut + 1));
    }
    return fields;
}

std::string join(const Words& words) {
    std::string text;
    for (const std::string& word : words) text += (text.empty() ? "" : " ") + word;
    return text;
}

// ---- Messages as words, both ways ----

const std::map<std::string, codec::ViewerType> viewer_types = {
    {"setup", codec::ViewerType::SetUp},        {"progress", codec::ViewerType::Progress},
    {"answer", codec::ViewerType::Answer},      {"release", codec::ViewerType::Release},
    {"heard", codec::ViewerType::ReleaseHeard}, {"move", codec::ViewerType::Move},
    {"test", codec::ViewerType::Test},          {"result", codec::ViewerType::TestResult}};

const std::map<std::string, int> signals = {
    {"term", SIGTERM}, {"stop", SIGSTOP}, {"go", SIGCONT}, {"hup", SIGHUP}};

const std::map<std::string, codec::ServerVerb> server_verbs = {
    {"START", codec::ServerVerb::Start},       {"PENDING", codec::ServerVerb::Pending},
    {"STARTED", codec::ServerVerb::Started},   {"FINISH", codec::ServerVerb::Finish},
    {"FINISHED", codec::ServerVerb::Finished}, {"ECHO", codec::ServerVerb::Echo},
    {"ECHOED", codec::ServerVerb::Echoed},     {"NOTICE", codec::ServerVerb::Notice},
    {"RATE", codec::ServerVerb::Rate},         {"?", codec::ServerVerb::Unknown}};

template <typename Map, typename Value>
std::string name_in(const Map& names, Value value) {
    for (const auto& [name, known] : names) {
        if (known == value) return name;
    }
    return "unknown";
}

Words words_of(const codec::ViewerMessage& m) {
    Words words = {name_in(viewer_types, static_cast<codec::ViewerType>(m.type)), std::to_string(m.session)};
    if (m.class_name) words.push_back("class=" + *m.class_name);
    if (m.title) words.push_back("title=" + *m.title);
    if (m.wait_ms) words.push_back("wait=" + codec::to_text(*m.wait_ms));
    if (m.hint_ms) words.push_back("hint=" + codec::to_text(*m.hint_ms));
    if (m.stay_away_ms) words.push_back("stay=" + codec::to_text(*m.stay_away_ms));
    for (const auto& [name, value] : m.figures) words.push_back(name + "=" + value);
    if (m.cause) words.push_back("cause=" + std::to_string(*m.cause));
    if (m.description) words.push_back("body=" + *m.description);
    return words;
}

Words words_of(const codec::ServerMessage& m) {
    Words words = {name_in(server_verbs, m.verb), std::to_string(m.session)};
    for (const auto& [name, value] : m.fields) words.push_back(name + "=" + value);
    if (m.cause) words.push_back("rc=" + std::to_string(*m.cause));
    if (m.description) words.push_back("blob=" + *m.description);
    return words;
}

std::string viewer_bytes(const Words& words) {
    if (words[0].starts_with("raw=")) return bytes_of("hex:" + words[0].substr(4));
    codec::ViewerMessage m;
    m.type = static_cast<std::uint8_t>(viewer_types.at(words[0]));
    m.session = std::stoull(words.at(1));
    if (m.is(codec::ViewerType::SetUp)) {
        m.class_name = "free";
        m.title = "7f3a9c21e0b4d655";
        m.wait_ms = 3000;
        m.description = "offer";
        m.figures = {{"home", "0"}, {"copies", "8"}, {"top", "1"}, {"viewer", "00000000b4d65521"}};
    } else if (m.is(codec::ViewerType::Test)) {
        m.cause = 0;
    }
    for (const auto& [name, value] : fields_of(words, 2)) {
        if (name == "class")
            m.class_name = value;
        else if (name == "wait")
            m.wait_ms = std::stod(value);
        else if (name == "hint")
            m.hint_ms = std::stod(value);
        else if (name == "cause")
            m.cause = static_cast<std::uint8_t>(std::stoi(value));
        else if (name == "body")
            m.description = value;
        else if (name == "size")
            m.description = std::string(std::stoul(value), '"');
        else
            m.figures[name] = value;
    }
    return encode(m);
}

std::string server_bytes(const Words& words) {
    if (words[0].starts_with("raw=")) return bytes_of("hex:" + words[0].substr(4)) + "\n";
    if (words[0].starts_with("part=")) return join(words).substr(5);
    if (words[0].starts_with("text=")) return join(words).substr(5) + "\n";
    codec::ServerMessage m;
    m.verb = server_verbs.at(words[0]);
    m.session = std::stoull(words.at(1));
    if (m.verb == codec::ServerVerb::Started) m.description = "there";
    for (const auto& [name, value] : fields_of(words, 2)) {
        if (name == "rc")
            m.cause = std::stoi(value);
        else if (name == "blob")
            m.description = value;
        else
            m.fields[name] = value;
    }
    return encode(m);
}

// What a server does on each new connection: `garbage`, `half`, or messages; `then close`.
ConnectionScript script_of(Words words) {
    ConnectionScript script;
    if (words.size() >= 2 && words[words.size() - 2] == "then") {
        script.closes = true;
        words.resize(words.size() - 2);
    }
    if (words.at(0).starts_with("pieces=")) {
        script.pause_s = std::stod(words[0].substr(7));
        words.erase(words.begin());
    }
    if (words.at(0) == "reset" || words[0] == "close") {
        script.resets = words[0] == "reset";
        script.closes = true;
        return script;
    }
    if (words[0] == "garbage") script.writes = "garbage\n";
    if (words[0] == "half") script.writes = R"({"verb":"FINISH","tag":)";
    if (!script.writes.empty()) return script;
    Words message;
    for (const std::string& word : words) {
        if (server_verbs.contains(word) && !message.empty())
            script.writes += server_bytes(std::exchange(message, {}));
        message.push_back(word);
    }
    script.writes += server_bytes(message);
    return script;
}

// ---- Parties ----

struct Wire {  // one connection, or one end of a pipe
    net::Fd fd;
    std::string in, rest;  // rest: of a message of which only half was sent
    bool ended = false;

    // Waits until `by` for bytes; false when none came.
    bool read(double by) {
        pollfd p{fd.get(), POLLIN, 0};
        const int ms = std::max(0, static_cast<int>((by - unix_now()) * 1000));
        if (ended || ::poll(&p, 1, ms) <= 0) return false;
        char bytes[4096];
        const ssize_t got = ::read(fd.get(), bytes, sizeof bytes);
        if (got > 0) in.append(bytes, static_cast<std::size_t>(got));
        ended = got <= 0;
        return true;
    }
    void write(std::string_view bytes) const {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) throw Wrong("the connection is broken");
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }
    void reset() {
        const linger hard{1, 0};
        ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        fd.reset();
    }
};

net::Address bound(int fd) {
    net::Address address;
    socklen_t size = sizeof address.in;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address.in), &size);
    return address;
}

struct Listening {
    net::Fd fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    net::Address address = *net::parse_address("127.0.0.1:0");
    std::vector<std::unique_ptr<Wire>> wires;
    std::vector<net::Fd> fillers;
    Wire* last = nullptr;
    std::unique_ptr<AutomaticServer> automatic;  // after the descriptor that it listens on

    Listening() {
        if (::bind(fd.get(), address.raw(), sizeof address.in) != 0 || ::listen(fd.get(), 64) != 0) {
            throw Wrong("can't listen");
        }
        address = bound(fd.get());
    }
    // A host that no new connection reaches: the backlog is full, and the kernel drops what comes.
    void go_deaf() {
        ::listen(fd.get(), 0);
        constexpr int more_than_fit = 3;
        for (int i = 0; i < more_than_fit; ++i) {
            fillers.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            std::ignore = ::connect(fillers.back().get(), address.raw(), sizeof address.in);
        }
    }
    void hear_again() {
        fillers.clear();
        ::listen(fd.get(), 64);
    }
    // Takes what comes on any connection until `done` says that it has found what it waits for.
    template <typename Done>
    bool wait(double by, Done done) {
        while (true) {
            for (const auto& wire : wires) {
                last = wire.get();
                if (done(*wire)) return true;
            }
            std::vector<pollfd> polled{{fd.get(), POLLIN, 0}};
            for (const auto& wire : wires) polled.push_back({wire->ended ? -1 : wire->fd.get(), POLLIN, 0});
            const int ms = static_cast<int>((by - unix_now()) * 1000);
            if (ms <= 0 || ::poll(polled.data(), polled.size(), ms) <= 0) return false;
            for (std::size_t i = 1; i < polled.size(); ++i) {
                if (polled[i].revents != 0) wires[i - 1]->read(unix_now());
            }
            if ((polled[0].revents & POLLIN) == 0) continue;
            wires.push_back(std::make_unique<Wire>());
            wires.back()->fd = net::Fd(::accept4(fd.get(), nullptr, nullptr, SOCK_CLOEXEC));
        }
    }
    Wire& talking() {
        if (last == nullptr && !wait(unix_now() + patience_s, [](Wire& w) { return !w.ended; })) {
            throw Wrong("no connection came");
        }
        return *last;
    }
    // One that has not been accepted so far; what is sent next goes on it.
    void expect_connection(double within_s) {
        const std::size_t known = wires.size();
        if (!wait(unix_now() + within_s, [&](Wire&) { return wires.size() > known; }))
            throw Wrong("no connection came");
        last = wires.back().get();
    }
    // The oldest or the newest connection that is open; what is sent next goes on it.
    void talk_on(bool newest) {
        last = nullptr;
        for (const auto& wire : wires) {
            if (!wire->ended && (newest || last == nullptr)) last = wire.get();
        }
        if (last == nullptr) throw Wrong("no connection is open");
    }
    void drop(bool hard) {
        for (const auto& wire : wires) hard ? wire->reset() : wire->fd.reset();
        wires.clear();
        last = nullptr;
    }
};

// The next message of a wire as words; empty when none is whole yet. Noise that means nothing is passed over.
template <typename Decode>
Words next(Wire& wire, Decode decode, const std::set<std::string>& noise) {
    while (const auto decoded = decode(wire.in)) {
        wire.in.erase(0, decoded->size);
        Words words = words_of(decoded->message);
        if (!noise.contains(words[0])) return words;
    }
    return {};
}

void match(const Words& got, const Words& wanted) {
    for (const std::string& word : wanted) {
        const std::size_t cut = word.find("=hex:");
        const std::string plain =
            cut == std::string::npos ? word : word.substr(0, cut + 1) + bytes_of(word.substr(cut + 1));
        if (std::find(got.begin(), got.end(), plain) == got.end()) throw Wrong("got '" + join(got) + "'");
    }
}

// Plays the lines of one scenario.
class Player {
public:
    explicit Player(std::string_view text) {
        std::istringstream words{std::string(text)};
        for (std::string word; words >> word;) {
            if (word == "stands") servers_["s1"];
            const std::string name = word.substr(0, word.find("=at:"));
            if (name.size() != 2 || name[0] != 's' || name[1] < '1' || name[1] > '9') continue;
            servers_[name];
            if (name != word) newcomers_.insert(name);
        }
    }
    ~Player() {
        if (pid_ > 0) ::kill(pid_, SIGKILL);
        if (pid_ > 0) ::waitpid(pid_, nullptr, 0);
        if (!config_path_.empty()) ::unlink(config_path_.c_str());
        if (!pipe_path_.empty()) ::unlink(pipe_path_.c_str());
    }
    Player(const Player&) = delete;
    Player& operator=(const Player&) = delete;

    // What the program has logged, for a report of what went wrong.
    std::string log_so_far() {
        while (log_.fd && log_.read(unix_now())) {
        }
        return log_.in;
    }

    void line(const Words& words) {
        if (words[0] == "wait") return pause(std::stod(words.at(1)));
        if (words[0] == "stands") {
            const std::string& id = words.at(1);
            line({"v1", "send", "setup", id});
            line({"s1", "expect", "START", id});
            line({"s1", "send", "STARTED", id});
            return line({"v1", "expect", "answer", id});
        }
        const std::string& party = words.at(0);
        const std::string& verb = words.at(1);
        const Words rest(words.begin() + 2, words.end());
        if (verb == "within") return within(party, rest);
        if (party.ends_with("-codec")) return codec_line(party, verb, rest);
        if (party == "agent") return agent_line(verb, rest);
        if (party == "feed") return feed_line(feed_, verb, rest);
        if (party == "directory") return directory_line(verb, rest);
        if (party == "feed2") return feed_line(feed2_, verb, rest);
        if (servers_.contains(party)) return server_line(servers_.at(party), verb, rest);
        viewer_line(party, verb, rest);
    }

private:
    static void pause(double s) { ::usleep(static_cast<useconds_t>(s * 1e6)); }

    // ---- The program ----

    void agent_line(const std::string& verb, const Words& rest) {
        if (verb == "send" && rest.at(0) == "start") return start(fields_of(rest, 1));
        if (verb == "send" && signals.contains(rest.at(0))) {
            ::kill(pid_, signals.at(rest.at(0)));
            // What the next lines send must not be met by a program that is only about to stop.
            if (rest.at(0) == "stop") ::waitpid(pid_, nullptr, WUNTRACED);
            return;
        }
        if (verb == "send" && rest.at(0).starts_with("descriptors=")) {
            const rlim_t most = std::stoul(rest.at(0).substr(12));
            rlimit limit{};
            ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit);
            limit.rlim_cur = most;
            ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
            return;
        }
        if (verb == "send" && rest.at(0) == "reload") {
            auto json = config(fields_of(rest, 1));
            json["feed"] = net::to_text(feed2_.address);
            std::ofstream(config_path_) << json.dump();
            ::kill(pid_, SIGHUP);
            return;
        }
        const auto wanted = fields_of(rest, 0);
        const double by = unix_now() + patience_s;
        if (wanted.contains("log")) return log(wanted.at("log"), by);
        int status = 0;
        while (::waitpid(pid_, &status, WNOHANG) == 0) {
            log_.read(unix_now() + 0.01);
            if (unix_now() > by) throw Wrong("the program still runs");
        }
        pid_ = 0;
        while (log_.read(unix_now())) {
        }
        const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        if (std::to_string(code) != wanted.at("exit")) throw Wrong("it ended with " + std::to_string(code));
    }

    void log(const std::string& text, double by) {
        while (log_.in.find(text) == std::string::npos) {
            if (!log_.read(by)) throw Wrong("the log is '" + log_.in + "'");
        }
    }

    nlohmann::json config(const std::map<std::string, std::string>& keys) {
        nlohmann::json json = nlohmann::json::parse(R"({
          "name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
          "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
          "settings": {"areas": ["east"], "kinds": ["std"], "zone": "east", "balancers": 1, "position": 0,
            "classes": [{"name": "paid", "aim": 1.0, "deadline": 5.0, "points": 2.0, "semantics": "non_idempotent"},
                        {"name": "free", "aim": 1.5, "deadline": 4.0, "points": 1.0, "semantics": "read_like"}],
            "family_info": {"ladder_kb": [100, 200], "worth_by_rung": [0.4, 1.0], "places": 8, "shelves": 1,
              "places_by_kind": [40], "scale_by_class": [1, 1], "floor_by_class": [0, 0], "top_by_class": [1, 1],
              "seats": [0, 0], "is_live": [false, false], "weight_kb": 100000, "rack_link_kb": 900000,
              "all_links_kb": 900000, "told_late": 0.2, "told_every": 0},
            "limits": {"try_limit": 3, "cancel": true, "probes": true, "retry_after": true, "connect_timeout": 0.25,
              "conn_idle": 15, "streams_per_conn": 32, "max_retry_after": 2},
            "obligations": {"drain_grace": 0.25, "answer_slack": 0.04}, "round": 0.01,
            "membership_mode": "pushed", "tenants": []}})");
        json["feed"] = net::to_text(feed_.address);
        json["known"] = {{"n", 1}, {"events", nlohmann::json::array({members(1, true, {})})}};
        for (const auto& [key, value] : keys) {
            if (key == "memory") json["limits"]["memory_mb"] = std::stod(value);
            if (key == "runs") json["settings"]["family_info"]["places_by_kind"][0] = std::stod(value);
            if (key == "sockets") json["limits"]["sockets"] = std::stod(value);
            if (key == "idle") json["settings"]["limits"]["conn_idle"] = std::stod(value);
            if (key == "connect") json["settings"]["limits"]["connect_timeout"] = std::stod(value);
            if (key == "tries") json["settings"]["limits"]["try_limit"] = std::stoi(value);
            if (key == "streams") json["settings"]["limits"]["streams_per_conn"] = std::stoi(value);
            if (key == "deadline") json["settings"]["classes"][0]["deadline"] = std::stod(value);
            if (key == "told") json["settings"]["family_info"]["told_every"] = std::stod(value);
            if (key == "probes") json["settings"]["limits"]["probes"] = value == "true";
            if (key == "drop") json.erase(value);
            if (key == "listen") json["listen"] = value;
        }
        return json;
    }

    nlohmann::json members(int n, bool complete, const std::map<std::string, std::string>& phases) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [name, server] : servers_) {
            const auto phase = phases.find(name);
            if (phase == phases.end() && (!complete || newcomers_.contains(name))) continue;
            const int number = std::stoi(name.substr(1));
            std::string state = phase == phases.end() ? "up" : phase->second;
            net::Address address = server.address;
            if (state.starts_with("at:")) {
                address = servers_.at(state.substr(3)).address;
                state = "up";
            }
            list.push_back({{"id", "s-0000000" + name.substr(1)},
                            {"host_port", net::to_text(address)},
                            {"locality", "east"},
                            {"flavor", "std"},
                            {"cell", number - 1},
                            {"phase", state},
                            {"size", 4},
                            {"up_since_ms", 0}});
        }
        return {{"n", n}, {"members", {{"revision", n}, {"complete", complete}, {"members", list}}}};
    }

    void start(const std::map<std::string, std::string>& keys) {
        char path[] = "/tmp/jasperspread-test-XXXXXX";
        net::Fd file(::mkstemp(path));
        config_path_ = path;
        std::ofstream(config_path_) << config(keys).dump();
        const std::string pipe_path = config_path_ + ".pipe";
        const bool early = keys.contains("early");
        if (early && ::mkfifo(pipe_path.c_str(), 0600) != 0) throw Wrong("no pipe");
        if (early) pipe_path_ = pipe_path;
        int ends[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) throw Wrong("no pipe");
        log_.fd = net::Fd(ends[0]);
        net::Fd out(ends[1]);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::dup2(out.get(), STDERR_FILENO);
            ::setenv("RELAY_CONFIG", early ? pipe_path.c_str() : config_path_.c_str(), 1);
            ::execl(JASPERSPREAD_PROGRAM, "jasperspread", nullptr);
            ::_exit(127);
        }
        if (early) signal_early(signals.at(keys.at("early")), pipe_path);
        if (keys.contains("drop") || keys.contains("listen")) return;  // it is not to come up
        const std::string mark = "address=";
        const double by = unix_now() + patience_s;
        log(mark, by);
        const std::size_t at = log_.in.find(mark) + mark.size();
        while (log_.in.find('\n', at) == std::string::npos) log_.read(by);
        agent_ = *net::parse_address(log_.in.substr(at, log_.in.find('\n', at) - at));
    }

    // Sends the signal while the program reads its configuration: that comes through a pipe, which the
    // program has opened by then. A second reading finds the file itself.
    void signal_early(int signal, const std::string& pipe_path) {
        int pipe_end = -1;
        for (const double by = unix_now() + patience_s; pipe_end < 0; pause(0.005)) {
            if (unix_now() > by) throw Wrong("it never read its configuration");
            pipe_end = ::open(pipe_path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        }
        std::ifstream file(config_path_);
        const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        std::ofstream(config_path_ + ".new") << text;
        ::rename((config_path_ + ".new").c_str(), pipe_path.c_str());
        ::kill(pid_, signal);
        if (::write(pipe_end, text.data(), text.size()) < 0) throw Wrong("it has gone");
        ::close(pipe_end);
    }

    // ---- Viewers and servers ----

    Wire& viewer(const std::string& name) {
        Wire& wire = viewers_[name];
        if (!wire.fd) {
            wire = Wire{};
            wire.fd = net::Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            if (::connect(wire.fd.get(), agent_.raw(), sizeof agent_.in) != 0) throw Wrong("not accepted");
        }
        return wire;
    }

    void viewer_line(const std::string& name, const std::string& verb, const Words& rest) {
        Wire& wire = viewer(name);
        if (verb == "close") return wire.fd.reset();
        if (verb == "reset") return wire.reset();
        if (verb == "flood") return flood(wire);
        if (verb == "send") return wire.write(viewer_bytes(rest));
        if (verb == "begin") {
            wire.rest = viewer_bytes(rest);
            wire.write(wire.rest.substr(0, wire.rest.size() / 2));
            wire.rest.erase(0, wire.rest.size() / 2);
            return;
        }
        if (verb == "complete") return wire.write(std::exchange(wire.rest, ""));
        expect(rest,
               [&](double by, auto found) {
                   while (!found(wire)) {
                       if (!wire.read(by)) return false;
                   }
                   return true;
               },
               codec::decode_viewer, {"heard", "progress"});
    }

    // Asks on and on without reading an answer, until the program has had enough.
    static void flood(Wire& wire) {
        constexpr int most = 3'000'000;
        const timeval patience{static_cast<time_t>(patience_s), 0};
        ::setsockopt(wire.fd.get(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        std::string tests;
        for (int i = 0; i < 1000; ++i) tests += viewer_bytes({"test", "1"});
        for (int sent = 0; sent < most; sent += 1000) {
            for (std::string_view left = tests; !left.empty();) {
                const ssize_t done = ::send(wire.fd.get(), left.data(), left.size(), MSG_NOSIGNAL);
                if (done < 0 && errno == EAGAIN) throw Wrong("it neither reads nor closes");
                if (done < 0) return;
                left.remove_prefix(static_cast<std::size_t>(done));
            }
        }
        throw Wrong("it was never closed");
    }

    void server_line(Listening& server, const std::string& verb, const Words& rest) {
        if (verb == "close" || verb == "reset") return server.drop(verb == "reset");
        if (verb == "stop") {
            server.drop(true);
            return server.fd.reset();
        }
        if (verb == "refuse") return server.fd.reset();
        if (verb == "always") {
            server.automatic = std::make_unique<AutomaticServer>(server.fd.get(), script_of(rest));
            return;
        }
        if (verb == "deaf") return server.go_deaf();
        if (verb == "hear") return server.hear_again();
        if (verb == "oldest" || verb == "newest") return server.talk_on(verb == "newest");
        if (verb == "send") return server.talking().write(server_bytes(rest));
        if (verb == "expect" && rest.at(0) == "connection") {
            const bool is_bounded = rest.size() > 1;
            return server.expect_connection(is_bounded ? std::stod(rest[1]) : patience_s);
        }
        expect(rest, [&](double by, auto found) { return server.wait(by, found); }, codec::decode_server,
               {"FINISHED"});
    }

    // `X within 8 expect ...`: sooner than the usual patience, as a rule has it.
    void within(const std::string& party, const Words& rest) {
        patience_ = std::stod(rest.at(0));
        Words words{party};
        words.insert(words.end(), rest.begin() + 1, rest.end());
        line(words);
        patience_ = patience_s;
    }

    // `wait(by, found)` brings in bytes until found(wire) is true.
    template <typename Wait, typename Decode>
    void expect(const Words& rest, Wait wait, Decode decode, std::set<std::string> noise) {
        noise.erase(rest.at(0));
        Words got;
        if (rest[0] == "closed") {
            if (!wait(unix_now() + patience_s, [](Wire& w) { return w.ended; })) throw Wrong("it is open");
            return;
        }
        const auto found = [&](Wire& wire) {
            got = next(wire, decode, noise);
            return !got.empty();
        };
        if (rest[0] == "nothing") {
            if (wait(unix_now() + std::stod(rest.at(1)), found)) throw Wrong("got '" + join(got) + "'");
            return;
        }
        if (!wait(unix_now() + patience_, found)) throw Wrong("nothing came");
        match(got, rest);
    }

    // ---- The feed ----

    void feed_line(Listening& feed, const std::string& verb, const Words& rest) {
        if (verb == "close") return feed.drop(false);
        if (verb == "deaf") return feed.go_deaf();
        if (verb == "hear") return feed.hear_again();
        if (verb == "expect") {
            const std::string wanted = "Last-Event-ID: " + fields_of(rest, 0).at("after") + "\r\n";
            const auto asked = [&](Wire& wire) { return wire.in.find("\r\n\r\n") != std::string::npos; };
            if (!feed.wait(unix_now() + patience_s, asked)) throw Wrong("nobody asked");
            const std::string request = std::exchange(feed.last->in, "");
            if (!request.starts_with("GET /v1/events HTTP/1.1\r\n")) throw Wrong("asked " + request);
            if (request.find(wanted) == std::string::npos) throw Wrong("asked " + request);
            return feed.last->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        }
        if (rest.at(0) == "comment") return feed.talking().write(": on\n\n");
        auto fields = fields_of(rest, 0);
        const std::string n = fields.at("n");
        auto event = members(std::stoi(n), fields.contains("complete"), fields);
        if (fields.contains("revision")) event["members"]["revision"] = std::stoi(fields.at("revision"));
        const std::string data = event.dump();
        feed.talking().write("id: " + n + "\ndata: " + data + "\n\n");
    }

    // ---- The directory alone ----

    void directory_line(const std::string& verb, const Words& rest) {
        const auto fields = fields_of(rest, 0);
        if (verb == "send") {
            agent::Profile profile;
            profile.zone_names = {"east"};
            profile.kind_names = {"std"};
            const auto event = nlohmann::json::parse(members(1, fields.empty(), fields).dump());
            directory_.apply(agent::read_change(event, profile));
        } else if (verb == "wait") {
            directory_now_ += std::stod(fields.at("s"));
            directory_.forget_gone(directory_now_,
                                   [&](auto number) { return fields.contains(held(number)); });
        }
        for (const auto& [name, state] : fields) {
            const bool there = directory_.number_of("s-0000000" + name.substr(1)).has_value();
            if (verb == "expect" && there != (state == "there"))
                throw Wrong(there ? "it is there" : "it has gone");
        }
    }
    static std::string held(agent::ServerNumber number) { return "s" + std::to_string(number); }

    // ---- Codecs alone ----

    void codec_line(const std::string& which, const std::string& verb, const Words& rest) {
        if (verb == "send") {
            const std::string bytes = which == "viewer-codec"   ? viewer_bytes(rest)
                                      : which == "server-codec" ? server_bytes(rest)
                                                                : bytes_of("hex:" + rest.at(0));
            for (const char byte : bytes) {
                if (!take(which, byte)) return;
            }
            return;
        }
        const std::string seen = decoded_.empty() ? "nothing" : join(decoded_.front());
        if (rest.at(0) == "nothing" && decoded_.empty()) return;
        if (decoded_.empty()) throw Wrong("nothing came");
        match(decoded_.front(), rest);
        decoded_.pop_front();
    }

    // Byte by byte: what comes out must not depend on how the input is split. False after an error, which
    // ends a connection with all that still comes on it.
    bool take(const std::string& which, char byte) {
        try {
            if (which == "feed-codec") {
                for (const auto& event : feed_parser_.take({&byte, 1})) {
                    decoded_.push_back({"event", "id=" + event.id, "data=" + event.data});
                }
                if (feed_parser_.complete()) decoded_.push_back({"complete"});
                return true;
            }
            pipe_.in.push_back(byte);
            const Words words = which == "viewer-codec" ? next(pipe_, codec::decode_viewer, {})
                                                        : next(pipe_, codec::decode_server, {});
            if (!words.empty()) decoded_.push_back(words);
            return true;
        } catch (const codec::CodecError& error) {
            pipe_.in.clear();
            decoded_.push_back(
                {error.kind() == codec::CodecError::Kind::Malformed ? "malformed" : "oversized"});
            return false;
        }
    }

    std::map<std::string, Listening> servers_;
    std::set<std::string> newcomers_;  // that are not there at the start
    Listening feed_, feed2_;
    std::map<std::string, Wire> viewers_;
    net::Address agent_;
    double patience_ = patience_s;
    pid_t pid_ = 0;
    Wire log_, pipe_;
    std::string config_path_, pipe_path_;
    agent::ServerDirectory directory_;
    double directory_now_ = 0;
    codec::FeedParser feed_parser_;
    std::deque<Words> decoded_;
};

}  // namespace

std::string hex_of(std::string_view bytes) {
    std::string hex;
    for (const unsigned char byte : bytes) {
        hex.push_back("0123456789abcdef"[byte >> 4]);
        hex.push_back("0123456789abcdef"[byte & 15]);
    }
    return hex;
}

std::string play(std::string_view text) {
    Player player(text);
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
        std::istringstream parts(line.substr(0, line.find('#')));
        Words words;
        for (std::string word; parts >> word;) words.push_back(word);
        if (words.empty()) continue;
        try {
            player.line(words);
        } catch (const std::exception& error) {
            return join(words) + ": " + error.what() + "\n" + player.log_so_far();
        }
    }
    return "";
}

}  // namespace scenario
