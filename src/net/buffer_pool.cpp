#include "buffer_pool.h"

#include <cstring>
#include <utility>

namespace jasperspread::net {

void Buffer::append(std::string_view more) {
    std::memcpy(bytes.data() + end, more.data(), more.size());
    end += more.size();
}

void Buffer::drop(std::size_t count) {
    begin += count;
    if (begin == end) begin = end = 0;
}

void Buffer::close_up() {
    if (begin == 0) return;
    std::memmove(bytes.data(), bytes.data() + begin, end - begin);
    end -= begin;
    begin = 0;
}

BufferPool::Lease BufferPool::lease() {
    std::unique_ptr<Buffer> buffer;
    if (idle_.empty()) {
        // Not value-initialised: the bytes are written before they are read.
        buffer.reset(new Buffer);  // NOLINT(modernize-make-unique): that would clear them
    } else {
        buffer = std::move(idle_.back());
        idle_.pop_back();
    }
    buffer->begin = buffer->end = 0;
    ++in_use_;
    return Lease(buffer.release(), Return{this});
}

void BufferPool::put(Buffer* buffer) {
    std::unique_ptr<Buffer> owned(buffer);
    --in_use_;
    if (idle_.size() < kept_) idle_.push_back(std::move(owned));
}

}  // namespace jasperspread::net
