#include "poller.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace jasperspread::net {
namespace {

constexpr std::size_t first_room = 64;  // events of an interest list; grows with what is ready at once
constexpr unsigned serial_bits = 32;

std::uint64_t tag_of(int fd, Poller::Serial serial) {
    return static_cast<std::uint64_t>(fd) << serial_bits | serial;
}

int descriptor_of(std::uint64_t tag) {
    return static_cast<int>(tag >> serial_bits);
}

Poller::Serial serial_of(std::uint64_t tag) {
    return static_cast<Poller::Serial>(tag);
}

}  // namespace

Poller::Poller(Kernel& kernel, const Thresholds& thresholds)
    : kernel_(kernel), thresholds_(thresholds), try_above_(thresholds.interest_list_above) {}

// ---- What is watched ----

Poller::Watch* Poller::find(int fd) {
    const auto index = static_cast<std::size_t>(fd);
    return fd >= 0 && index < watches_.size() && watches_[index].wanted != nothing ? &watches_[index]
                                                                                   : nullptr;
}

void Poller::watch(int fd, short events, Serial serial) {
    const auto index = static_cast<std::size_t>(fd);
    if (index >= watches_.size()) watches_.resize(index + 1);
    Watch& watch = watches_[index];
    if (watch.wanted == nothing) ++watched_;
    watch.wanted = events;
    watch.serial = serial;
    if (list_) return note_change(fd, watch);
    if (watch.place == no_place) {
        watch.place = static_cast<std::uint32_t>(polled_.size());
        polled_.push_back({fd, events, 0});
    } else {
        polled_[watch.place].events = events;
    }
}

void Poller::forget(int fd) {
    Watch* watch = find(fd);
    if (watch == nullptr) return;
    watch->wanted = nothing;
    --watched_;
    drop_from_polled(*watch);
    if (list_) note_change(fd, *watch);
}

void Poller::forget_closing(int fd) {
    forget(fd);
    const auto index = static_cast<std::size_t>(fd);
    if (fd >= 0 && index < watches_.size()) watches_[index].listed = nothing;
}

// The last one takes its place.
void Poller::drop_from_polled(Watch& watch) {
    if (watch.place == no_place) return;
    polled_[watch.place] = polled_.back();
    watches_[static_cast<std::size_t>(polled_.back().fd)].place = watch.place;
    polled_.pop_back();
    watch.place = no_place;
}

// Changes are passed on before the next wait: what a turn changes to and fro costs one call, or none.
void Poller::note_change(int fd, Watch& watch) {
    if (watch.changed) return;
    watch.changed = true;
    changed_.push_back(fd);
}

// ---- Which way ----

void Poller::choose_way() {
    if (watched_ <= thresholds_.poll_up_to) {
        try_above_ = thresholds_.interest_list_above;
        if (list_) stop_interest_list();
    } else if (!list_ && watched_ > try_above_) {
        start_interest_list();
    }
}

// Where the kernel has none to give, or refuses the call, poll(2) stays; the next try comes when twice as
// many are watched.
void Poller::start_interest_list() {
    const int list = kernel_.create_interest_list();
    if (list < 0) {
        try_above_ = 2 * watched_;
        return;
    }
    list_ = Fd(list, &kernel_);
    polled_.clear();
    for (std::size_t fd = 0; fd < watches_.size(); ++fd) {
        Watch& watch = watches_[fd];
        watch.place = no_place;
        if (watch.wanted != nothing) note_change(static_cast<int>(fd), watch);
    }
}

void Poller::stop_interest_list() {
    list_.reset();
    changed_.clear();
    for (std::size_t fd = 0; fd < watches_.size(); ++fd) {
        Watch& watch = watches_[fd];
        watch.listed = nothing;
        watch.changed = false;
        if (watch.wanted == nothing) continue;
        watch.place = static_cast<std::uint32_t>(polled_.size());
        polled_.push_back({static_cast<int>(fd), watch.wanted, 0});
    }
}

// ---- Waiting ----

std::span<const Poller::Ready> Poller::wait(double wait_s) {
    choose_way();
    ready_.clear();
    int result = list_ ? wait_by_interest_list(wait_s) : wait_by_poll(wait_s);
    if (list_ && result < 0) {
        // The list can't be used, as where the system's bound on watches is reached: poll(2) can.
        stop_interest_list();
        try_above_ = 2 * watched_;
        ready_.clear();
        result = wait_by_poll(wait_s);
    }
    if (result < 0) throw std::system_error(-result, std::generic_category(), "poll");
    std::sort(ready_.begin(), ready_.end(), [](const Ready& a, const Ready& b) { return a.fd < b.fd; });
    return ready_;
}

int Poller::wait_by_poll(double wait_s) {
    const int count = kernel_.poll(polled_.data(), polled_.size(), wait_s);
    for (std::size_t i = 0; i < polled_.size() && static_cast<int>(ready_.size()) < count; ++i) {
        const pollfd& polled = polled_[i];
        if (polled.revents == 0) continue;
        ready_.push_back({polled.fd, watches_[static_cast<std::size_t>(polled.fd)].serial, polled.revents});
    }
    return count;
}

int Poller::wait_by_interest_list(double wait_s) {
    if (const int error = pass_changes(); error < 0) return error;
    if (events_.empty()) events_.resize(first_room);
    int count = kernel_.wait(list_.get(), events_.data(), events_.size(), wait_s);
    // All that is ready belongs to one turn, as the order within it counts: more room, and a second look.
    while (count == static_cast<int>(events_.size()) && events_.size() < watched_) {
        events_.resize(2 * events_.size());
        count = kernel_.wait(list_.get(), events_.data(), events_.size(), 0);
    }
    if (count < 0) return count;
    if (!collect({events_.data(), static_cast<std::size_t>(count)})) stop_interest_list();
    return count;
}

// False where the list reports what is not watched. Guards against a descriptor that was closed while a
// duplicate of it stayed open: the kernel keeps reporting it, and it can't be removed by its number.
bool Poller::collect(std::span<const ReadyEvent> events) {
    bool sound = true;
    for (const ReadyEvent& event : events) {
        const int fd = descriptor_of(event.tag);
        const Watch* watch = find(fd);
        if (watch != nullptr && watch->serial == serial_of(event.tag)) {
            ready_.push_back({fd, watch->serial, event.events});
        } else {
            sound = false;
        }
    }
    return sound;
}

int Poller::pass_changes() {
    for (const int fd : changed_) {
        Watch& watch = watches_[static_cast<std::size_t>(fd)];
        watch.changed = false;
        if (const int error = pass_change(fd, watch); error < 0) return error;
    }
    changed_.clear();
    return 0;
}

int Poller::pass_change(int fd, Watch& watch) {
    if (watch.wanted == nothing) {
        // One that was closed meanwhile is no longer in the list: an error here means nothing.
        if (watch.listed != nothing) kernel_.remove_interest(list_.get(), fd);
        watch.listed = nothing;
        return 0;
    }
    if (watch.wanted == watch.listed && watch.serial == watch.listed_serial) return 0;
    const std::uint64_t tag = tag_of(fd, watch.serial);
    const auto add = [&] { return kernel_.add_interest(list_.get(), fd, watch.wanted, tag); };
    const auto modify = [&] { return kernel_.modify_interest(list_.get(), fd, watch.wanted, tag); };
    int result = watch.listed == nothing ? add() : modify();
    // Its number has passed to another descriptor, or it was said to be closed and was not.
    if (result == -ENOENT) result = add();
    if (result == -EEXIST) result = modify();
    if (result < 0) return result;
    watch.listed = watch.wanted;
    watch.listed_serial = watch.serial;
    return 0;
}

}  // namespace jasperspread::net
