#include "feed_codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include "error.h"
#include "message.h"

namespace jasperspread::codec {
namespace {

constexpr std::size_t most_head = 16 * 1024, most_event = 4 * 1024 * 1024;

std::string lower(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

}  // namespace

std::string feed_request(const std::string& host, const std::string& last_event_id) {
    return "GET /v1/events HTTP/1.1\r\nHost: " + host +
           "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " + last_event_id +
           "\r\n\r\n";
}

std::vector<FeedEvent> FeedParser::take(std::string_view bytes) {
    std::vector<FeedEvent> events;
    while (!bytes.empty() && phase_ != Phase::Complete) bytes.remove_prefix(step(bytes, events));
    return events;
}

// Collects a line of the head or of the chunking in line_; true once it is whole.
bool FeedParser::line(std::string_view& bytes, std::size_t& used) {
    const std::size_t end = bytes.find('\n');
    used = end == std::string_view::npos ? bytes.size() : end + 1;
    line_.append(bytes.substr(0, end));
    head_ += used;
    if (head_ > most_head) oversized("the head of the response passes 16 KiB");
    if (end == std::string_view::npos) return false;
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    return true;
}

void FeedParser::header() {
    const std::size_t colon = line_.find(':');
    if (colon == std::string::npos) malformed("a header has no colon");
    const std::string name = lower(std::string_view(line_).substr(0, colon));
    const std::string value = lower(trim(std::string_view(line_).substr(colon + 1)));
    if (name == "transfer-encoding") {
        if (value != "chunked") malformed("the response has an unknown transfer coding");
        chunked_ = true;
    } else if (name == "content-length") {
        std::uint64_t length = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
        if (error != std::errc{} || end != value.data() + value.size()) malformed("a bad content length");
        left_ = length;
    }
}

std::size_t FeedParser::step(std::string_view bytes, std::vector<FeedEvent>& events) {
    if (phase_ == Phase::Complete) return bytes.size();
    if (phase_ == Phase::Chunk || phase_ == Phase::Body) return payload(bytes, events);
    if (phase_ == Phase::ChunkSize) head_ = 0;
    std::size_t used = 0;
    if (!line(bytes, used)) return used;
    phase_ = after_line();
    line_.clear();
    return used;
}

// The phase that follows the line just read.
FeedParser::Phase FeedParser::after_line() {
    switch (phase_) {
        case Phase::Status:
            check_status();
            return Phase::Headers;
        case Phase::Headers:
            if (!line_.empty()) {
                header();
                return Phase::Headers;
            }
            if (chunked_) return Phase::ChunkSize;
            return left_ == 0 ? Phase::Complete : Phase::Body;
        case Phase::ChunkSize: {
            const auto size = parse_hex(trim(line_.substr(0, line_.find(';'))));
            if (!size) malformed("a bad chunk size");
            left_ = *size;
            return *size == 0 ? Phase::Trailers : Phase::Chunk;
        }
        case Phase::Trailers:
            return line_.empty() ? Phase::Complete : Phase::Trailers;
        case Phase::ChunkEnd:
            if (!line_.empty()) malformed("a chunk is longer than its size");
            return Phase::ChunkSize;
        default:  // not read by lines
            return phase_;
    }
}

void FeedParser::check_status() const {
    const bool ok =
        line_.starts_with("HTTP/1.") && (line_ + " ").find(" 200 ") == std::string_view("HTTP/1.x").size();
    if (!ok) malformed("the feed answers '" + line_.substr(0, 40) + "'");
}

std::size_t FeedParser::payload(std::string_view bytes, std::vector<FeedEvent>& events) {
    const std::uint64_t wanted = left_.value_or(bytes.size());
    const auto used = static_cast<std::size_t>(std::min<std::uint64_t>(wanted, bytes.size()));
    body(bytes.substr(0, used), events);
    if (left_) *left_ -= used;
    if (left_ == 0) phase_ = phase_ == Phase::Chunk ? Phase::ChunkEnd : Phase::Complete;
    return used;
}

void FeedParser::body(std::string_view bytes, std::vector<FeedEvent>& events) {
    for (const char c : bytes) {
        const bool second = std::exchange(after_return_, c == '\r') && c == '\n';
        if (second) continue;
        if (c == '\r' || c == '\n') {
            event_line(events);
            event_line_.clear();
            continue;
        }
        event_line_.push_back(c);
        if (event_line_.size() + event_.data.size() > most_event) oversized("an event passes 4 MiB");
    }
}

void FeedParser::event_line(std::vector<FeedEvent>& events) {
    if (event_line_.empty()) {
        if (has_data_) events.push_back(event_);
        event_.data.clear();
        has_data_ = false;
        return;
    }
    const std::size_t colon = event_line_.find(':');
    const std::string_view name = std::string_view(event_line_).substr(0, colon);
    std::string_view value;
    if (colon != std::string::npos) value = std::string_view(event_line_).substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (name == "id") event_.id = value;
    if (name == "data") {
        if (has_data_) event_.data.push_back('\n');
        event_.data.append(value);
        has_data_ = true;
    }
}

}  // namespace jasperspread::codec
