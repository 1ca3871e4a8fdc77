#include "connection.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace jasperspread::net {
namespace {
constexpr std::size_t most_kept = 16;  // buffers of output: 256 KiB
constexpr int reads_a_turn = 4;        // so that one busy peer can't starve the others
constexpr double stall_s = 10;

// Only a refusal proves that nobody listens; whatever else ends a connect says less.
Connection::End end_of_connect(int error) {
    if (error == ECONNREFUSED) return Connection::End::Refused;
    return error == ECONNRESET ? Connection::End::Reset : Connection::End::TimedOut;
}

}  // namespace

Connection::Connection(Loop& loop, BufferPool& pool, Owner& owner, Fd accepted)
    : loop_(loop),
      pool_(pool),
      owner_(owner),
      fd_(std::move(accepted)),
      resume_(loop),
      timer_(loop),
      stall_(loop) {
    watch();
}

Connection::Connection(Loop& loop, BufferPool& pool, Owner& owner, const Address& to, double connect_timeout,
                       Order order)
    : loop_(loop),
      pool_(pool),
      owner_(owner),
      fd_(loop.kernel().open_stream(), &loop.kernel()),
      state_(State::Connecting),
      order_(order),
      resume_(loop),
      timer_(loop),
      stall_(loop) {
    start_connect(to, connect_timeout);
}

void Connection::start_connect(const Address& to, double connect_timeout) {
    if (!fd_) return end_soon(End::Unavailable);
    const int result = loop_.kernel().connect(fd_.get(), to);
    if (result != 0 && result != -EINPROGRESS)
        return end_soon(result == -ECONNREFUSED ? End::Refused : End::Unavailable);
    timer_.set(loop_.now() + connect_timeout, [this] { end(End::TimedOut); });
    watch();
}

void Connection::watch() {
    if (!fd_) return;
    const bool write = state_ == State::Connecting || !out_.empty() || wants_writable_;
    loop_.watch(fd_.get(), static_cast<short>(POLLIN | POLLRDHUP | (write ? POLLOUT : 0)), *this, order_);
}

void Connection::connected() {
    const int error = loop_.kernel().connect_error(fd_.get());
    if (error != 0) return end(end_of_connect(error));
    timer_.cancel();
    state_ = State::Open;
    watch();
    owner_.opened(*this);
}

void Connection::ready(short events) {
    if (state_ == State::Connecting) return connected();
    constexpr short left = POLLRDHUP | POLLHUP | POLLERR;
    if ((events & left) != 0) peer_left_ = true;
    if ((events & POLLOUT) != 0) flush();
    if (state_ != State::Closed && (events & (POLLIN | left)) != 0) read();
}

bool Connection::has_unread() const {
    return is_left_ || (fd_ && loop_.kernel().unread(fd_.get()) > 0);
}

void Connection::resume_later() {
    is_left_ = true;
    resume_.set(loop_.now(), [this] { read(); });
}

// Takes in all that a buffer holds before the owner is given any of it: an end that came right behind must be
// known before what it calls off is begun.
Connection::Input Connection::fill() {
    while (in_->room() > 0) {
        const ssize_t got = loop_.kernel().receive(fd_.get(), in_->bytes.data() + in_->end, in_->room());
        if (got == -EINTR) continue;
        if (got == -EAGAIN) return Input::Taken;
        if (got <= 0) peer_left_ = true;
        if (got < 0) return Input::Broken;
        if (got == 0) return Input::Ended;
        in_->end += static_cast<std::size_t>(got);
    }
    return Input::More;
}

void Connection::read() {
    bool was_left = std::exchange(is_left_, false);
    resume_.cancel();
    for (int i = 0; i < reads_a_turn && state_ != State::Closed; ++i) {
        if (!in_) in_ = pool_.lease();
        in_->close_up();
        const std::size_t before = in_->end;
        const Input input = fill();
        if (in_->end > before || std::exchange(was_left, false)) {
            const std::size_t taken = owner_.received(*this, in_->held());
            if (state_ == State::Closed) return;
            in_->drop(taken);
        }
        if (input == Input::Ended || input == Input::Broken) {
            const bool own = state_ == State::Finishing;
            return end(own ? End::Finished : input == Input::Broken ? End::Reset : End::PeerClosed);
        }
        // An owner takes or rejects all that fits a buffer; one that does neither would hang here.
        if (in_->begin == 0 && in_->room() == 0) return end(End::Overflow);
        if (input == Input::Taken || is_left_) break;
    }
    if (in_ && in_->begin == in_->end) in_.reset();
}

std::size_t Connection::write(std::string_view bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = loop_.kernel().send(fd_.get(), bytes.data() + done, bytes.size() - done);
        if (sent >= 0) {
            done += static_cast<std::size_t>(sent);
        } else if (sent != -EINTR) {
            // What the peer sent before it broke off may still be there to read: the poll after this tells.
            if (sent != -EAGAIN) end_soon(End::Reset);
            break;
        }
    }
    return done;
}

void Connection::keep(std::string_view bytes) {
    while (!bytes.empty()) {
        if (out_.empty() || out_.back()->room() == 0) {
            const bool is_spent = !out_.empty() && pool_.is_spent();
            if (is_spent || out_.size() >= most_kept) return end_soon(End::Overflow);
            out_.push_back(pool_.lease());
        }
        const std::size_t part = std::min(bytes.size(), out_.back()->room());
        out_.back()->append(bytes.substr(0, part));
        bytes.remove_prefix(part);
    }
    if (!stall_.is_set()) stall_.set(loop_.now() + stall_s, [this] { end(End::Stalled); });
    watch();
}

void Connection::send(std::string_view bytes) {
    if (state_ != State::Open) return;
    if (out_.empty()) bytes.remove_prefix(write(bytes));
    if (!bytes.empty()) keep(bytes);
}

bool Connection::offer(std::string_view bytes) {
    const std::size_t done = state_ == State::Open && out_.empty() ? write(bytes) : 0;
    if (done > 0 && done < bytes.size()) keep(bytes.substr(done));
    if (done == 0 && state_ == State::Open) {
        wants_writable_ = true;
        watch();
    }
    return done > 0;
}

void Connection::flush() {
    bool moved = false;
    while (!out_.empty()) {
        Buffer& first = *out_.front();
        const std::size_t done = write(first.held());
        moved = moved || done > 0;
        first.drop(done);
        if (first.begin != first.end) break;
        out_.erase(out_.begin());
    }
    if (out_.empty()) {
        stall_.cancel();
        if (state_ == State::Finishing) loop_.kernel().shut_output(fd_.get());
    } else if (moved) {
        stall_.set(loop_.now() + stall_s, [this] { end(End::Stalled); });
    }
    const bool tell = out_.empty() && wants_writable_ && state_ == State::Open;
    if (tell) wants_writable_ = false;
    watch();
    if (tell) owner_.writable(*this);
}

void Connection::finish(double within_s) {
    if (state_ == State::Connecting) return end_soon(End::Finished);
    if (state_ != State::Open) return;
    state_ = State::Finishing;
    wants_writable_ = false;
    if (out_.empty()) loop_.kernel().shut_output(fd_.get());
    timer_.set(loop_.now() + within_s, [this] { end(End::Finished); });
    watch();
}

void Connection::end_soon(End why) {
    if (std::exchange(ends_soon_, true)) return;  // a busy peer must not put it off turn by turn
    timer_.set(loop_.now(), [this, why] { end(why); });
}

void Connection::end(End why) {
    if (state_ == State::Closed) return;
    close();
    owner_.ended(*this, why);
}

void Connection::close() {
    if (fd_) loop_.forget_closing(fd_.get());
    fd_.reset();
    state_ = State::Closed;
    timer_.cancel();
    resume_.cancel();
    stall_.cancel();
    in_.reset();
    out_.clear();
}

const char* name_of(Connection::End why) {
    switch (why) {
        case Connection::End::Refused:
            return "refused";
        case Connection::End::Unavailable:
            return "unavailable";
        case Connection::End::TimedOut:
            return "timed_out";
        case Connection::End::PeerClosed:
            return "peer_closed";
        case Connection::End::Reset:
            return "reset";
        case Connection::End::Overflow:
            return "overflow";
        case Connection::End::Stalled:
            return "stalled";
        case Connection::End::Finished:
            return "finished";
    }
    return "unknown";
}

}  // namespace jasperspread::net
