// Tells which descriptors are ready. While few are watched it asks poll(2), with a list that is kept between
// calls; beyond a threshold an interest list in the kernel (epoll), whose cost follows the descriptors that
// are active. Both ways report the same. docs/design/readiness.md weighs them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "kernel.h"
#include "socket.h"

namespace jasperspread::net {

class Poller {
public:
    // Counts of watched descriptors. Above `interest_list_above` the interest list is tried; at
    // `poll_up_to` and less it is given back, so that a count that swings about one value changes nothing.
    struct Thresholds {
        std::size_t interest_list_above = 512;
        std::size_t poll_up_to = 256;
    };
    using Serial = std::uint32_t;  // tells watches of one descriptor number apart
    struct Ready {
        int fd = -1;
        Serial serial = 0;
        short events = 0;  // of poll(2)
    };

    explicit Poller(Kernel& kernel) : Poller(kernel, Thresholds()) {}
    Poller(Kernel& kernel, const Thresholds& thresholds);

    // Waits for `events` on a descriptor, under this serial; replaces what was waited for there.
    void watch(int fd, short events, Serial serial);
    // Waits for it no longer; it may stay open.
    void forget(int fd);
    // The same for a descriptor that is closed before the next wait: the kernel drops it by itself.
    void forget_closing(int fd);

    // All that is ready, ascending by descriptor, after `wait_s` at most; it is valid until the next call of
    // wait(). Throws std::system_error where the kernel can't tell.
    std::span<const Ready> wait(double wait_s);

    const Thresholds& thresholds() const { return thresholds_; }
    std::size_t watched() const { return watched_; }
    bool uses_interest_list() const { return static_cast<bool>(list_); }

private:
    static constexpr short nothing = -1;  // no events: not watched, or not in the interest list
    static constexpr std::uint32_t no_place = ~0U;
    struct Watch {
        short wanted = nothing;
        short listed = nothing;  // what the interest list has
        Serial serial = 0;
        Serial listed_serial = 0;        // the serial that the interest list has
        std::uint32_t place = no_place;  // in the list of poll(2)
        bool changed = false;            // it stands in `changed_`
    };
    Watch* find(int fd);
    void drop_from_polled(Watch& watch);
    void note_change(int fd, Watch& watch);
    void choose_way();
    void start_interest_list();
    void stop_interest_list();
    int pass_changes();
    int pass_change(int fd, Watch& watch);
    bool collect(std::span<const ReadyEvent> events);
    int wait_by_poll(double wait_s);
    int wait_by_interest_list(double wait_s);

    Kernel& kernel_;
    const Thresholds thresholds_;
    std::size_t try_above_;
    std::vector<Watch> watches_;  // by descriptor
    std::size_t watched_ = 0;
    std::vector<pollfd> polled_;  // all watches, while there is no interest list
    Fd list_;
    std::vector<int> changed_;  // descriptors whose watch the interest list does not have yet
    std::vector<ReadyEvent> events_;
    std::vector<Ready> ready_;
};

}  // namespace jasperspread::net
