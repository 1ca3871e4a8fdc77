#include "writer.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace jasperspread::store {

Writer::Writer(net::Loop& loop, std::unique_ptr<SqliteStore> store) : loop_(loop), store_(std::move(store)) {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::system_error(errno, std::generic_category(), "no pipe for the store's thread");
    read_ = net::Fd(ends[0]);
    write_ = net::Fd(ends[1]);
    // Signals are the loop's: a thread inherits this mask.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { work(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    loop_.watch(read_.get(), POLLIN, *this);
}

Writer::~Writer() {
    loop_.forget(read_.get());
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void Writer::commit(std::vector<Change> batch, std::function<void(Fault)> done) {
    done_ = std::move(done);
    {
        const std::lock_guard lock(mutex_);
        batch_ = std::move(batch);
    }
    wake_.notify_one();
}

void Writer::work() {
    std::unique_lock lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return stop_ || batch_; });
        if (!batch_) return;  // what was handed over before the end is written still
        const std::vector<Change> batch = std::move(*std::exchange(batch_, std::nullopt));
        lock.unlock();
        const Fault fault = store_->apply(batch);
        lock.lock();
        ended_ = fault;
        const char byte = 1;
        if (::write(write_.get(), &byte, 1) < 0 && errno != EAGAIN) return;
    }
}

void Writer::ready(short) {
    std::array<char, 16> bytes{};
    while (::read(read_.get(), bytes.data(), bytes.size()) > 0) {
    }
    std::optional<Fault> ended;
    {
        const std::lock_guard lock(mutex_);
        ended = std::exchange(ended_, std::nullopt);
    }
    if (ended && done_) std::exchange(done_, nullptr)(*ended);
}

}  // namespace jasperspread::store
