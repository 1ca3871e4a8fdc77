// A toy lesson server and control feed in one: plays every session for some seconds, tells how full its link
// is, and sends a comment on the feed each second.
//
//   jasperspread_toy_server [SERVER_ADDRESS [FEED_ADDRESS [SECONDS]]]
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <memory>
#include <string>

#include "codec/error.h"
#include "codec/server_codec.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/loop.h"

namespace {

using namespace jasperspread;
using codec::ServerMessage;
using codec::ServerVerb;

// Takes connections at one address and forgets them when they end.
class Toy : public net::Connection::Owner {
public:
    Toy(net::Loop& loop, const std::string& at)
        : loop_(loop),
          listener_(loop, address_of(at),
                    {[this](net::Fd fd) { accepted(std::move(fd)); }, [] { return true; }, [] {}}) {}
    virtual ~Toy() = default;
    void ended(net::Connection& connection, net::Connection::End) override {
        const auto it = open_.find(&connection);
        loop_.retire(it->second);
        open_.erase(it);
    }

protected:
    static net::Address address_of(const std::string& text) {
        const auto address = net::parse_address(text);
        if (!address) throw std::runtime_error("not an address and port: " + text);
        return *address;
    }
    void say(const std::string& text) {
        for (const auto& [key, connection] : open_) connection->send(text);
    }
    net::Loop& loop_;

private:
    void accepted(net::Fd fd) {
        auto connection = std::make_shared<net::Connection>(loop_, pool_, *this, std::move(fd));
        open_.emplace(connection.get(), connection);
    }
    net::BufferPool pool_;
    std::map<net::Connection*, std::shared_ptr<net::Connection>> open_;
    net::Listener listener_;
};

class LessonServer : public Toy {
public:
    LessonServer(net::Loop& loop, const std::string& at, double plays_s) : Toy(loop, at), plays_s_(plays_s) {}

    std::size_t received(net::Connection& connection, std::string_view bytes) override {
        std::size_t taken = 0;
        while (const auto decoded = codec::decode_server(bytes.substr(taken))) {
            taken += decoded->size;
            take(connection, decoded->message);
        }
        return taken;
    }

private:
    void take(net::Connection& connection, const ServerMessage& message) {
        const auto id = message.session;
        ServerMessage reply;
        reply.session = id;
        if (message.verb == ServerVerb::Start) {
            std::printf("session %s starts at rung %s\n", codec::to_hex(id).c_str(),
                        message.field("rung") ? message.field("rung")->c_str() : "0");
            reply.verb = ServerVerb::Started;
            reply.description = "played by the toy server";
            connection.send(encode(reply));
            sessions_[id] = loop_.deadlines().add(loop_.now() + plays_s_, [this, id] { over(id); });
            note();
        } else if (message.verb == ServerVerb::Finish) {
            std::printf("session %s is ended by the agent\n", codec::to_hex(id).c_str());
            if (const auto it = sessions_.find(id); it != sessions_.end()) {
                loop_.deadlines().cancel(it->second);
                sessions_.erase(it);
            }
            reply.verb = ServerVerb::Finished;
            connection.send(encode(reply));
        } else if (message.verb == ServerVerb::Echo) {
            reply.verb = ServerVerb::Echoed;
            reply.cause = 1;
            reply.fields["load"] = "x0:" + codec::to_text(fullness());
            connection.send(encode(reply));
        }
        std::fflush(stdout);
    }
    double fullness() const { return static_cast<double>(sessions_.size()) / 8; }
    void note() {
        ServerMessage note;
        note.verb = ServerVerb::Notice;
        note.session = sessions_.begin()->first;
        note.fields = {{"note", "local"}, {"value", codec::to_text(fullness())}};
        say(encode(note));
    }
    void over(std::uint64_t id) {
        sessions_.erase(id);
        ServerMessage end;
        end.verb = ServerVerb::Finish;
        end.session = id;
        end.cause = 16;
        say(encode(end));
        std::printf("session %s has played\n", codec::to_hex(id).c_str());
        std::fflush(stdout);
    }
    const double plays_s_;
    std::map<std::uint64_t, net::Deadlines::Key> sessions_;
};

class Feed : public Toy {
public:
    Feed(net::Loop& loop, const std::string& at) : Toy(loop, at) { tick(); }
    std::size_t received(net::Connection& connection, std::string_view bytes) override {
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        return bytes.size();
    }

private:
    void tick() {
        say(": still here\n\n");
        loop_.deadlines().add(loop_.now() + 1, [this] { tick(); });
    }
};

}  // namespace

int main(int argc, char** argv) {
    try {
        const auto argument = [&](int i, const char* usual) {
            return std::string(argc > i ? argv[i] : usual);
        };
        net::SystemKernel kernel;
        net::Loop loop(kernel);
        LessonServer server(loop, argument(1, "127.0.0.1:2906"),
                            std::strtod(argument(3, "5").c_str(), nullptr));
        Feed feed(loop, argument(2, "127.0.0.1:4222"));
        while (true) loop.turn();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasperspread_toy_server: %s\n", error.what());
        return 2;
    }
}
