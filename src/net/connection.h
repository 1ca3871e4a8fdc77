// A TCP connection as an object with callbacks. Output is bounded; what comes in is kept until it is taken.
#pragma once

#include <string_view>
#include <vector>

#include "buffer_pool.h"
#include "loop.h"
#include "socket.h"

namespace jasperspread::net {

class Connection final : private Ready {
public:
    enum class End {
        Refused,      // never came up, and the peer said so
        Unavailable,  // never came up: no descriptor or port was left here
        TimedOut,     // never came up in time, or there is no way to the peer
        PeerClosed,   // the peer has closed it in order
        Reset,        // broken, perhaps before the owner heard that it had come up
        Overflow,     // the peer does not read, and the output bound is reached
        Stalled,      // the peer has read nothing for too long
        Finished,     // closed from here by finish()
    };
    class Owner {
    public:
        virtual void opened(Connection&) {}
        // Takes whole messages off the front and tells how many bytes they had.
        virtual std::size_t received(Connection&, std::string_view bytes) = 0;
        virtual void writable(Connection&) {}      // output that had to wait is all written
        virtual void ended(Connection&, End) = 0;  // the last callback

    protected:
        ~Owner() = default;
    };

    Connection(Loop& loop, BufferPool& pool, Owner& owner, Fd accepted);
    Connection(Loop& loop, BufferPool& pool, Owner& owner, const Address& to, double connect_timeout,
               Order order = Order::Usual);
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool is_open() const { return state_ == State::Open; }
    Address peer() const { return loop_.kernel().peer_address(fd_.get()); }
    bool has_unread() const;  // bytes have come that the owner was not given yet, or has left for later
    // Inside received(): what the owner leaves is given to it again once the others had their turn. To be
    // called only while the peer is there: bytes that are left behind its end are lost.
    void resume_later();
    // The peer has closed or reset it, though what it sent before may still be on its way to the owner.
    bool peer_left() const { return peer_left_; }
    // Sends, or keeps what the kernel does not take now; past the bound, or where the pool's buffers are
    // spent and it has one already, the connection ends with Overflow.
    void send(std::string_view bytes);
    // Sends only if the first byte can go out now; false: nothing was sent, writable() will tell.
    bool offer(std::string_view bytes);
    // Writes what is kept, tells the peer, and ends once the peer has closed too, or after so long, s. Until
    // then the owner still gets what the peer says.
    static constexpr double usual_finish_s = 1;
    void finish(double within_s = usual_finish_s);
    void close();  // at once and without a callback

private:
    enum class State { Connecting, Open, Finishing, Closed };
    enum class Input { Taken, More, Ended, Broken };  // More: the buffer is full
    void ready(short events) override;
    void start_connect(const Address& to, double connect_timeout);
    void connected();
    Input fill();
    void read();
    void flush();
    void keep(std::string_view bytes);
    std::size_t write(std::string_view bytes);  // as much as goes; a break is noted for the next turn
    void watch();
    void end_soon(End why);
    void end(End why);

    Loop& loop_;
    BufferPool& pool_;
    Owner& owner_;
    Fd fd_;
    State state_ = State::Open;
    const Order order_ = Order::Usual;
    bool peer_left_ = false, ends_soon_ = false;
    BufferPool::Lease in_;
    std::vector<BufferPool::Lease> out_;  // few, and none while it rests: a deque would keep 600 bytes for it
    bool wants_writable_ = false;
    bool is_left_ = false;  // whole messages, for resume_
    Timer resume_;
    Timer timer_;  // of the connect, of finishing, or of an end that is due
    Timer stall_;
};

const char* name_of(Connection::End why);  // for logs

}  // namespace jasperspread::net
