// Buffers of one size, used again. A buffer holds any whole message.
#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <memory>
#include <string_view>
#include <vector>

namespace jasperspread::net {

constexpr std::size_t buffer_size = 16 * 1024;

// Bytes between `begin` and `end`, read at the front and filled at the back.
struct Buffer {  // NOLINT(cppcoreguidelines-pro-type-member-init): so that a lease costs no clearing
    std::array<char, buffer_size> bytes;  // not value-initialised: written before they are read
    std::size_t begin = 0, end = 0;

    std::string_view held() const { return {bytes.data() + begin, end - begin}; }
    std::size_t room() const { return bytes.size() - end; }
    void append(std::string_view more);
    void drop(std::size_t count);
    void close_up();  // moves what is held to the front
};

class BufferPool {
public:
    // More than `kept` buffers that lie idle go back to the system. `most`: so many may be in use before it
    // is spent.
    explicit BufferPool(std::size_t kept = 128, std::size_t most = std::numeric_limits<std::size_t>::max())
        : kept_(kept), most_(most) {}

    struct Return {
        BufferPool* pool = nullptr;
        void operator()(Buffer* buffer) const { pool->put(buffer); }
    };
    using Lease = std::unique_ptr<Buffer, Return>;  // goes back to the pool when dropped

    Lease lease();
    std::size_t idle() const { return idle_.size(); }
    std::size_t in_use() const { return in_use_; }
    // Whoever can do without a further buffer takes none.
    bool is_spent() const { return in_use_ >= most_; }

private:
    void put(Buffer* buffer);
    std::size_t kept_, most_, in_use_ = 0;
    std::vector<std::unique_ptr<Buffer>> idle_;
};

}  // namespace jasperspread::net
