// The control feed: the request, and the response of HTTP/1.1 with server-sent events in its body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasperspread::codec {

std::string feed_request(const std::string& host, const std::string& last_event_id);

struct FeedEvent {
    std::string id;  // the last one told
    std::string data;
};

// Takes the bytes of one response in any split and gives its events. Throws CodecError.
class FeedParser {
public:
    std::vector<FeedEvent> take(std::string_view bytes);
    bool complete() const { return phase_ == Phase::Complete; }  // the response has ended

private:
    enum class Phase { Status, Headers, Body, ChunkSize, Chunk, ChunkEnd, Trailers, Complete };
    std::size_t step(std::string_view bytes, std::vector<FeedEvent>& events);
    bool line(std::string_view& bytes, std::size_t& used);
    Phase after_line();
    void check_status() const;
    void header();
    std::size_t payload(std::string_view bytes, std::vector<FeedEvent>& events);
    void body(std::string_view bytes, std::vector<FeedEvent>& events);
    void event_line(std::vector<FeedEvent>& events);

    Phase phase_ = Phase::Status;
    std::string line_;           // of the head, as far as it has come
    std::string event_line_;     // of the body
    bool after_return_ = false;  // a line feed next belongs to the line end before it
    bool chunked_ = false;
    std::optional<std::uint64_t> left_;  // of the body or of the chunk
    std::size_t head_ = 0;
    FeedEvent event_;
    bool has_data_ = false;
};

}  // namespace jasperspread::codec
