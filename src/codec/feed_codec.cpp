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
    std::size_t used = 0;
    switch (phase_) {
        case Phase::Status:
            if (!line(bytes, used)) return used;
            if (!line_.starts_with("HTTP/1.") ||
                (line_ + " ").find(" 200 ") != std::string_view("HTTP/1.x").size()) {
                malformed("the feed answers '" + line_.substr(0, 40) + "'");
            }
            phase_ = Phase::Headers;
            break;
        case Phase::Headers:
            if (!line(bytes, used)) return used;
            if (!line_.empty()) {
                header();
            } else if (chunked_) {
                phase_ = Phase::ChunkSize;
            } else {
                phase_ = left_ == 0 ? Phase::Complete : Phase::Body;
            }
            break;
        case Phase::ChunkSize: {
            head_ = 0;
            if (!line(bytes, used)) return used;
            const auto size = parse_hex(trim(line_.substr(0, line_.find(';'))));
            if (!size) malformed("a bad chunk size");
            left_ = *size;
            phase_ = *size == 0 ? Phase::Trailers : Phase::Chunk;
            break;
        }
        case Phase::Trailers:
            if (!line(bytes, used)) return used;
            if (line_.empty()) phase_ = Phase::Complete;
            break;
        case Phase::ChunkEnd:
            if (!line(bytes, used)) return used;
            if (!line_.empty()) malformed("a chunk is longer than its size");
            phase_ = Phase::ChunkSize;
            break;
        case Phase::Chunk:
        case Phase::Body:
            used =
                static_cast<std::size_t>(std::min<std::uint64_t>(left_.value_or(bytes.size()), bytes.size()));
            body(bytes.substr(0, used), events);
            if (left_) *left_ -= used;
            if (left_ == 0) phase_ = phase_ == Phase::Chunk ? Phase::ChunkEnd : Phase::Complete;
            return used;
        case Phase::Complete:
            return bytes.size();
    }
    line_.clear();
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
