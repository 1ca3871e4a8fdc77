// The hosts of the simulated network: each is the kernel of the party that runs there.
#include "network.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace lab {
namespace {
constexpr std::size_t window = 64 * 1024;  // bytes on their way or unread, for each direction of a connection
constexpr std::size_t backlog_most = 128;
constexpr int first_descriptor = 3;
}  // namespace

Host::Host(Network& network, std::uint32_t address, std::size_t descriptors)
    : network_(network),
      address_(address),
      descriptors_(descriptors),
      loop_(std::make_unique<jasperspread::net::Loop>(*this, network.thresholds_)) {}

Address Host::address(std::uint16_t port) const {
    Address address;
    address.in.sin_family = AF_INET;
    address.in.sin_addr.s_addr = htonl(address_);
    address.in.sin_port = htons(port);
    return address;
}

void Host::run(std::function<bool()> after_turn) {
    after_turn_ = std::move(after_turn);
    wake();
}

void Host::wake() {
    if (std::exchange(turn_due_, true)) return;
    network_.at(network_.now(), [this] { turn(); });
}

void Host::turn() {
    turn_due_ = false;
    if (stopped_ || vanished_ || !after_turn_) return;
    network_.note(&address_, sizeof address_);
    loop_->turn(0);
    const auto after = after_turn_;
    if (!after()) return;
    schedule();
}

// A turn for the loop's next deadline.
void Host::schedule() {
    const double next = loop_->deadlines().next();
    if (!(next < 1e17) || (wake_at_ == next && wake_at_ > network_.now())) return;
    wake_at_ = next;
    const std::uint64_t serial = ++wake_serial_;
    network_.at(next, [this, serial] {
        if (serial == wake_serial_) wake();
    });
}

void Host::kill(const std::function<void()>& destroy) {
    after_turn_ = nullptr;
    const auto sockets = std::move(sockets_);
    sockets_.clear();
    for (const auto& [fd, socket] : sockets) drop(socket, true);
    const auto pending = std::move(pending_);
    pending_.clear();
    for (const auto& [number, socket] : pending) drop(socket, true);
    all_.clear();
    free_.clear();
    listeners_.clear();
    datagram_ports_.clear();
    next_descriptor_ = first_descriptor;
    destroy();
    loop_ = std::make_unique<jasperspread::net::Loop>(*this, network_.thresholds_);
    wake_at_ = 0;
    ++wake_serial_;
    stopped_ = false;
}

void Host::stop(bool stopped) {
    stopped_ = stopped;
    if (!stopped) wake();
}

void Host::vanish(bool vanished) {
    vanished_ = vanished;
    if (!vanished) wake();
}

// ---- The kernel of a host ----

double Host::now() {
    return network_.now();
}

std::uint64_t Host::random() {
    return network_.random()();
}

Host::Socket* Host::at(int fd) {
    const auto it = sockets_.find(fd);
    return it == sockets_.end() ? nullptr : it->second.get();
}

Host::SocketPtr Host::by_number(std::uint64_t number) {
    const auto it = all_.find(number);
    return it == all_.end() ? nullptr : it->second.lock();
}

Host::SocketPtr Host::make_socket(Phase phase) {
    auto socket = std::make_shared<Socket>();
    socket->number = ++network_.sockets_;
    socket->phase = phase;
    all_.emplace(socket->number, socket);
    return socket;
}

int Host::give_descriptor(SocketPtr socket) {
    if (sockets_.size() >= descriptors_) return -EMFILE;
    // The lowest that is free, as everywhere.
    const int fd = free_.empty() ? next_descriptor_++ : free_.extract(free_.begin()).value();
    socket->fd = fd;
    sockets_.emplace(fd, std::move(socket));
    return fd;
}

short Host::readiness(const Socket& socket) const {
    int events = 0;
    if (socket.phase == Phase::Listening) return socket.backlog.empty() ? 0 : POLLIN;
    if (socket.phase == Phase::Failed) return POLLERR | POLLHUP | POLLOUT;
    if (socket.phase == Phase::Datagrams) return socket.datagrams.empty() ? 0 : POLLIN;
    if (socket.phase != Phase::Up) return 0;
    if (!socket.in.empty() || socket.in_ended) events |= POLLIN;
    if (socket.in_ended) events |= POLLRDHUP;
    if (socket.reset) events |= POLLIN | POLLERR | POLLHUP;
    if (socket.in_flight < window && !socket.out_ended) events |= POLLOUT;
    return static_cast<short>(events);
}

int Host::poll(pollfd* polled, std::size_t count, double) {
    int ready = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const Socket* socket = at(polled[i].fd);
        polled[i].revents = 0;
        if (socket == nullptr) continue;
        polled[i].revents = static_cast<short>(readiness(*socket) & (polled[i].events | POLLERR | POLLHUP));
        ready += polled[i].revents != 0 ? 1 : 0;
    }
    if (ready > 0) wake();  // what is not taken now is still ready then
    return ready;
}

int Host::create_interest_list() {
    if (sockets_.size() >= descriptors_) return -EMFILE;
    return give_descriptor(make_socket(Phase::InterestList));
}

int Host::set_interest(int list_fd, int fd, short events, std::uint64_t tag, bool is_new) {
    const auto list = sockets_.find(list_fd);
    const auto target = sockets_.find(fd);
    if (list == sockets_.end() || target == sockets_.end()) return -EBADF;
    if (list->second->phase != Phase::InterestList || list == target) return -EINVAL;
    auto& interests = list->second->interests;
    if (interests.contains(fd) == is_new) return is_new ? -EEXIST : -ENOENT;
    interests[fd] = {events, tag};
    list->second->candidates.insert(fd);
    if (is_new) target->second->interested.push_back(list->second);
    return 0;
}

int Host::add_interest(int list, int fd, short events, std::uint64_t tag) {
    return set_interest(list, fd, events, tag, true);
}

int Host::modify_interest(int list, int fd, short events, std::uint64_t tag) {
    return set_interest(list, fd, events, tag, false);
}

int Host::remove_interest(int list_fd, int fd) {
    const auto list = sockets_.find(list_fd);
    const auto target = sockets_.find(fd);
    if (list == sockets_.end() || target == sockets_.end()) return -EBADF;
    if (list->second->interests.erase(fd) == 0) return -ENOENT;
    list->second->candidates.erase(fd);
    std::erase_if(target->second->interested, [&](const auto& one) { return one.lock() == list->second; });
    return 0;
}

// What may have become ready is looked at by the next wait() on the lists that it stands in.
void Host::touched(Socket& socket) {
    for (const auto& one : socket.interested) {
        if (const SocketPtr list = one.lock()) list->candidates.insert(socket.fd);
    }
}

int Host::wait(int list_fd, jasperspread::net::ReadyEvent* ready, std::size_t room, double) {
    Socket* list = at(list_fd);
    if (list == nullptr || list->phase != Phase::InterestList) return -EBADF;
    std::size_t count = 0;
    for (auto it = list->candidates.begin(); it != list->candidates.end() && count < room;) {
        const Interest& interest = list->interests.at(*it);
        const int events = readiness(*at(*it)) & (interest.events | POLLERR | POLLHUP);
        if (events == 0) {
            it = list->candidates.erase(it);
            continue;
        }
        ready[count++] = {interest.tag, static_cast<short>(events)};
        ++it;
    }
    if (count > 0) wake();  // what is not taken now is still ready then
    return static_cast<int>(count);
}

int Host::listen(const Address& where) {
    const std::uint16_t port = ntohs(where.in.sin_port);
    if (listeners_.contains(port)) return -EADDRINUSE;
    auto socket = make_socket(Phase::Listening);
    const std::uint16_t given = socket->port = port != 0 ? port : next_port_++;
    const int fd = give_descriptor(std::move(socket));
    if (fd >= 0) listeners_[given] = fd;
    return fd;
}

int Host::accept(int fd) {
    Socket* listener = at(fd);
    if (listener == nullptr) return -EBADF;
    while (!listener->backlog.empty()) {
        const auto it = pending_.find(listener->backlog.front());
        const int got = it == pending_.end() ? 0 : give_descriptor(it->second);
        if (got < 0) return got;
        listener->backlog.pop_front();
        if (it == pending_.end()) continue;
        pending_.erase(it);
        return got;
    }
    return -EAGAIN;
}

int Host::open_stream() {
    if (sockets_.size() >= descriptors_) return -EMFILE;
    auto socket = make_socket(Phase::Fresh);
    return give_descriptor(std::move(socket));
}

int Host::connect(int fd, const Address& to) {
    Socket* socket = at(fd);
    if (socket == nullptr) return -EBADF;
    socket->phase = Phase::Connecting;
    socket->port = next_port_++;
    Host* there = network_.host_at(to);
    if (there == nullptr) return -EINPROGRESS;  // nobody answers
    const std::uint64_t own = socket->number;
    const std::uint16_t port = ntohs(to.in.sin_port);
    const auto answered = [this, own, there](std::uint64_t peer, int error) {
        const SocketPtr here = by_number(own);
        if (here == nullptr || here->phase != Phase::Connecting) return;
        here->phase = error == 0 ? Phase::Up : Phase::Failed;
        here->error = error;
        here->peer_host = there;
        here->peer = peer;
        touched(*here);
        wake();
    };
    network_.carry(*this, *there, network_.arrival(*this, *there, 0), [this, there, own, port, answered] {
        const auto listens = there->listeners_.find(port);
        Socket* listener = listens == there->listeners_.end() ? nullptr : there->at(listens->second);
        const double back = network_.arrival(*there, *this, 0);
        if (listener == nullptr)
            return network_.carry(*there, *this, back, [answered] { answered(0, ECONNREFUSED); });
        if (listener->backlog.size() >= backlog_most) return;
        auto accepted = there->make_socket(Phase::Up);
        accepted->port = port;
        accepted->peer_host = this;
        accepted->peer = own;
        accepted->last_arrival = back;
        there->pending_.emplace(accepted->number, accepted);
        listener->backlog.push_back(accepted->number);
        there->touched(*listener);
        there->wake();
        network_.carry(*there, *this, back, [answered, number = accepted->number] { answered(number, 0); });
    });
    return -EINPROGRESS;
}

int Host::connect_error(int fd) {
    const Socket* socket = at(fd);
    return socket == nullptr ? EBADF : socket->error;
}

Address Host::local_address(int fd) {
    const Socket* socket = at(fd);
    return address(socket == nullptr ? 0 : socket->port);
}

Address Host::peer_address(int fd) {
    const Socket* socket = at(fd);
    return socket == nullptr || socket->peer_host == nullptr ? Address{} : socket->peer_host->address(0);
}

// Something for the other end of a connection, after what was sent there before.
void Host::tell_peer(Socket& from, std::function<void(Host&, Socket&)> what, bool data) {
    Host* there = from.peer_host;
    if (there == nullptr) return;
    from.last_arrival = network_.arrival(*this, *there, from.last_arrival);
    network_.carry(*this, *there, from.last_arrival,
                   [this, own = from.number, there, peer = from.peer, what = std::move(what), data] {
                       const SocketPtr socket = there->by_number(peer);
                       if (socket != nullptr) {
                           what(*there, *socket);
                           there->touched(*socket);
                           return there->wake();
                       }
                       if (!data) return;
                       // Sent to an end that is no more: a reset comes back.
                       network_.carry(*there, *this, network_.arrival(*there, *this, 0), [this, own] {
                           const SocketPtr sender = by_number(own);
                           if (sender == nullptr) return;
                           sender->reset = true;
                           touched(*sender);
                           wake();
                       });
                   });
}

ssize_t Host::receive(int fd, char* bytes, std::size_t room) {
    Socket* socket = at(fd);
    if (socket == nullptr || socket->phase != Phase::Up) return -ENOTCONN;
    if (socket->in.empty()) return socket->reset ? -ECONNRESET : socket->in_ended ? 0 : -EAGAIN;
    std::size_t count = std::min(room, socket->in.size());
    if (network_.short_io_ > 0 && network_.uniform() < network_.short_io_)
        count = 1 + network_.random_() % count;
    std::memcpy(bytes, socket->in.data(), count);
    socket->in.erase(0, count);
    // The window opens again for the peer.
    tell_peer(*socket, [count](Host&, Socket& peer) { peer.in_flight -= std::min(peer.in_flight, count); });
    return static_cast<ssize_t>(count);
}

ssize_t Host::send(int fd, const char* bytes, std::size_t count) {
    Socket* socket = at(fd);
    if (socket == nullptr || socket->phase != Phase::Up) return -ENOTCONN;
    if (socket->reset) return -ECONNRESET;
    if (socket->out_ended) return -EPIPE;
    std::size_t taken = std::min(count, window - std::min(window, socket->in_flight));
    if (taken == 0) return -EAGAIN;
    if (network_.short_io_ > 0 && network_.uniform() < network_.short_io_)
        taken = 1 + network_.random_() % taken;
    socket->in_flight += taken;
    network_.note(bytes, taken);
    tell_peer(
        *socket, [text = std::string(bytes, taken)](Host&, Socket& peer) { peer.in += text; }, true);
    return static_cast<ssize_t>(taken);
}

int Host::open_datagram(const Address& where) {
    if (sockets_.size() >= descriptors_) return -EMFILE;
    auto socket = make_socket(Phase::Datagrams);
    const std::uint16_t port = ntohs(where.in.sin_port);
    const std::uint16_t given = socket->port = port != 0 ? port : next_port_++;
    const int fd = give_descriptor(std::move(socket));
    if (fd >= 0) datagram_ports_[given].insert(fd);
    return fd;
}

ssize_t Host::receive_from(int fd, char* bytes, std::size_t room, Address& from) {
    Socket* socket = at(fd);
    if (socket == nullptr || socket->datagrams.empty()) return -EAGAIN;
    const auto [sender, text] = std::move(socket->datagrams.front());
    socket->datagrams.pop_front();
    const std::size_t count = std::min(room, text.size());
    std::copy_n(text.data(), count, bytes);
    from = sender;
    return static_cast<ssize_t>(count);
}

// Each datagram has a delay of its own, so that they overtake each other.
ssize_t Host::send_to(int fd, const char* bytes, std::size_t count, const Address& to) {
    Socket* socket = at(fd);
    Host* there = network_.host_at(to);
    if (socket == nullptr || there == nullptr) return static_cast<ssize_t>(count);
    network_.note(bytes, count);
    const Lossy& lossy = network_.lossy_;
    const int copies = network_.uniform() < lossy.repeated ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (network_.uniform() < lossy.lost) continue;
        const double late = network_.uniform() < lossy.late ? lossy.late_s * network_.uniform() : 0;
        const Address from = address(socket->port);
        network_.at(network_.arrival(*this, *there, 0) + late, [this, there, from, to,
                                                                text = std::string(bytes, count)] {
            if (vanished_ || there->vanished_ || network_.cut_.contains(Network::pair_of(*this, *there)) ||
                network_.deaf_.contains({address_, there->address_}))
                return;
            constexpr std::size_t queue_most = 512;
            const auto bound = there->datagram_ports_.find(ntohs(to.in.sin_port));
            if (bound == there->datagram_ports_.end()) return;
            for (const int other_fd : bound->second) {
                Socket* other = there->at(other_fd);
                if (other->datagrams.size() < queue_most) other->datagrams.emplace_back(from, text);
                there->touched(*other);
                there->wake();
            }
        });
    }
    return static_cast<ssize_t>(count);
}

std::size_t Host::unread(int fd) {
    const Socket* socket = at(fd);
    return socket == nullptr ? 0 : socket->in.size();
}

void Host::shut_output(int fd) {
    Socket* socket = at(fd);
    if (socket == nullptr || socket->phase != Phase::Up || std::exchange(socket->out_ended, true)) return;
    tell_peer(*socket, [](Host&, Socket& peer) { peer.in_ended = true; });
}

// The other end hears of it: with a reset where it was hard, or where something that came was never read.
void Host::drop(const SocketPtr& socket, bool hard) {
    if (socket->phase == Phase::Listening) {
        for (const std::uint64_t number : socket->backlog) {
            const auto it = pending_.find(number);
            if (it == pending_.end()) continue;
            const SocketPtr waiting = it->second;
            pending_.erase(it);
            drop(waiting, true);
            all_.erase(number);
        }
        return;
    }
    if (socket->phase != Phase::Up || socket->reset) return;
    const bool broken = hard || !socket->in.empty();
    tell_peer(*socket, [broken](Host&, Socket& peer) { (broken ? peer.reset : peer.in_ended) = true; });
}

void Host::close(int fd) {
    const auto it = sockets_.find(fd);
    if (it == sockets_.end()) return;
    const SocketPtr socket = it->second;
    sockets_.erase(it);
    free_.insert(fd);
    if (socket->phase == Phase::Listening) listeners_.erase(socket->port);
    if (socket->phase == Phase::Datagrams) datagram_ports_[socket->port].erase(fd);
    for (const auto& one : socket->interested) {
        const SocketPtr list = one.lock();
        if (list == nullptr) continue;
        list->interests.erase(fd);
        list->candidates.erase(fd);
    }
    drop(socket, false);
    all_.erase(socket->number);
}

}  // namespace lab
