// The child of ViewerProcess: plain sockets and epoll, so that what its own connections cost does not stand
// between an event and the moment at which it is heard.
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "codec/message.h"
#include "codec/viewer_codec.h"
#include "lab/model/world.h"
#include "lab/slopes/viewer_process.h"

namespace lab {
namespace {

using jasperspread::codec::ViewerMessage;
using jasperspread::codec::ViewerType;
using What = ViewerOrder::What;

constexpr std::uint32_t connects_at_once = 200;
constexpr double session_length_s = 3600;

double now() {
    timespec time{};
    ::clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

ViewerMessage word(ViewerType type, std::uint64_t session) {
    ViewerMessage message;
    message.type = static_cast<std::uint8_t>(type);
    message.session = session;
    return message;
}

class ViewerHost {
public:
    explicit ViewerHost(int channel) : channel_(channel), epoll_(::epoll_create1(0)) {
        watch(channel_, channel_mark);
    }

    void serve() {
        std::array<epoll_event, 256> events{};
        while (true) {
            const int count = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), -1);
            for (int i = 0; i < count; ++i) {
                const auto& event = events[static_cast<std::size_t>(i)];
                if (event.data.u64 == channel_mark) {
                    if (!take_order()) return;
                } else {
                    readable(event.data.u64);
                }
            }
            go_on();
        }
    }

private:
    static constexpr std::uint64_t channel_mark = ~0ULL;
    struct Line {  // one connection to the agent
        int fd = -1;
        bool tested = false;
        std::string in;
    };

    void watch(int fd, std::uint64_t mark) {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.u64 = mark;
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    }

    bool take_order() {
        if (::recv(channel_, &order_, sizeof order_, 0) != sizeof order_) return false;
        busy_ = true;
        report_ = {};
        report_.began = now();
        begun_ = 0;
        if (order_.what == What::SetUp || order_.what == What::Claim) ends_.clear();
        if (order_.what == What::Reset) reset_lines();
        return true;
    }

    // Begins what may be begun, and reports once all is done.
    void go_on() {
        if (!busy_) return;
        if (order_.what == What::Connect) connect_more();
        if (order_.what == What::Disconnect) disconnect_next();
        if (order_.what == What::SetUp) ask_more();
        if (order_.what == What::Claim) claim_all();
        if (order_.what == What::AwaitEnds) report_.done = static_cast<std::uint32_t>(ends_.size());
        if (report_.done + report_.refused < order_.count) return;
        busy_ = false;
        report_.ended = now();
        report_.connections = static_cast<std::uint32_t>(lines_.size());
        sum_up_ends();
        if (::send(channel_, &report_, sizeof report_, MSG_NOSIGNAL) != sizeof report_) ::_exit(1);
    }

    void sum_up_ends() {
        if (ends_.empty()) return;
        std::sort(ends_.begin(), ends_.end());
        constexpr double part = 0.99;
        const auto at = static_cast<std::size_t>(std::ceil(part * static_cast<double>(ends_.size()))) - 1;
        report_.p99 = ends_[at];
        report_.last = ends_.back();
    }

    void connect_more() {
        while (begun_ < order_.count && begun_ - report_.done < connects_at_once) {
            Line line;
            line.fd = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in to{};
            to.sin_family = AF_INET;
            to.sin_port = static_cast<in_port_t>(order_.port);
            to.sin_addr.s_addr = order_.ip;
            if (line.fd < 0 || ::connect(line.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
                ::_exit(2);
            const int on = 1;
            ::setsockopt(line.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ::fcntl(line.fd, F_SETFL, O_NONBLOCK);
            watch(line.fd, lines_.size());
            lines_.push_back(line);
            ViewerMessage test = word(ViewerType::Test, 1);
            test.cause = 0;
            say(lines_.size() - 1, test);
            ++begun_;
        }
    }

    void disconnect_next() {
        if (begun_ > report_.done || begun_ == order_.count || lines_.empty()) return;
        ++begun_;
        ::shutdown(lines_.back().fd, SHUT_WR);
    }

    void reset_lines() {
        while (report_.done < order_.count && !lines_.empty()) {
            const linger at_once{1, 0};
            ::setsockopt(lines_.back().fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            ::close(lines_.back().fd);
            lines_.pop_back();
            ++report_.done;
        }
    }

    void ask_more() {
        while (begun_ < order_.count && begun_ - report_.done - report_.refused < order_.at_once) {
            const std::uint64_t id = 1ULL << 32 | ++serial_;
            const std::size_t at = order_.first_only ? 0 : begun_ % lines_.size();
            asked_.insert(id);
            ++begun_;
            say(at, set_up(id));
        }
    }

    // A claim gets no answer.
    void claim_all() {
        for (; report_.done < order_.count; ++report_.done) {
            const std::uint64_t id = 1ULL << 32 | ++serial_;
            ViewerMessage message = set_up(id);
            message.figures["at"] = server_id(0);
            standing_.insert(id);
            say(order_.first_only ? 0 : report_.done % lines_.size(), message);
        }
    }

    ViewerMessage set_up(std::uint64_t id) const {
        ViewerMessage message = word(ViewerType::SetUp, id);
        message.class_name = "replay";
        message.title = jasperspread::codec::to_hex(1);
        message.hint_ms = session_length_s * 1000;
        message.description = describe({session_length_s, 5});
        message.figures = {{"home", std::to_string(id % order_.cells)}, {"copies", "1"}, {"top", "5"}};
        message.figures["viewer"] = jasperspread::codec::to_hex(id);
        return message;
    }

    void say(std::size_t at, const ViewerMessage& message) {
        const std::string bytes = encode(message);
        const ssize_t sent = ::send(lines_[at].fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent != static_cast<ssize_t>(bytes.size())) ::_exit(3);
    }

    void readable(std::size_t at) {
        if (at >= lines_.size()) return;
        std::array<char, 16384> bytes{};
        const ssize_t got = ::recv(lines_[at].fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (got <= 0) return closed(at);
        Line& line = lines_[at];
        line.in.append(bytes.data(), static_cast<std::size_t>(got));
        std::size_t taken = 0;
        while (const auto decoded = jasperspread::codec::decode_viewer(line.in.substr(taken))) {
            taken += decoded->size;
            take(at, decoded->message);
        }
        line.in.erase(0, taken);
        if (line.in.empty()) line.in.shrink_to_fit();
    }

    void closed(std::size_t at) {
        // Only the last one is ever asked to end; another one that ends was closed by the agent.
        if (at + 1 != lines_.size() || !busy_ || order_.what != What::Disconnect) ::_exit(4);
        ::close(lines_.back().fd);
        lines_.pop_back();
        ++report_.done;
    }

    void take(std::size_t at, const ViewerMessage& message) {
        const std::uint64_t id = message.session;
        if (message.is(ViewerType::TestResult)) {
            if (!std::exchange(lines_[at].tested, true)) ++report_.done;
        } else if (message.is(ViewerType::Answer)) {
            if (asked_.erase(id) == 0) return;
            if (!order_.leaves) {
                standing_.insert(id);
                ++report_.done;
                return;
            }
            ViewerMessage release = word(ViewerType::Release, id);
            release.cause = 16;
            say(at, release);
        } else if (message.is(ViewerType::ReleaseHeard)) {
            if (order_.leaves) ++report_.done;
        } else if (message.is(ViewerType::Release)) {
            if (asked_.erase(id) > 0) ++report_.refused;
            if (standing_.erase(id) > 0) ends_.push_back(now());
            if (!order_.mute) say(at, word(ViewerType::ReleaseHeard, id));
        }
    }

    const int channel_, epoll_;
    std::vector<Line> lines_;
    ViewerOrder order_;
    ViewerReport report_;
    bool busy_ = false;
    std::uint32_t begun_ = 0;
    std::uint64_t serial_ = 0;
    std::set<std::uint64_t> asked_, standing_;
    std::vector<double> ends_;
};

}  // namespace

void serve_viewers(int channel) {
    ViewerHost(channel).serve();
}

}  // namespace lab
