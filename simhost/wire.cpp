#include "wire.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace cinderfront::wire {
namespace {

using jasperspread::agent::bad;
using jasperspread::agent::choice;
using jasperspread::agent::finite;
using jasperspread::agent::load_field;
using jasperspread::agent::pairs_from_line;
using jasperspread::agent::ranged;
using jasperspread::agent::read_profile;
using jasperspread::agent::split;

constexpr std::uint64_t max_server = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_count = 1'000'000'000;

Ending parse_ending(std::string_view text) {
    return choice<Ending>({{"delivered", Ending::Delivered},
                           {"app_error", Ending::AppError},
                           {"shed", Ending::Shed},
                           {"expired", Ending::Expired},
                           {"dial_failed", Ending::DialFailed},
                           {"dropped", Ending::Dropped},
                           {"revoked", Ending::Revoked},
                           {"unused", Ending::Unused}},
                          text, "an outcome code");
}

Request parse_flags(Request request, std::optional<double> hint, std::uint64_t flags) {
    if ((flags & 1) != 0) request.hint = hint;
    request.moved = (flags & 8) != 0;
    request.repeat = (flags & 16) != 0;
    return request;
}

std::optional<double> maybe_number(Parts& parts, const char* what) {
    if (parts.absent()) return std::nullopt;
    return parts.number(what);
}

std::optional<std::uint64_t> maybe_hex(Parts& parts, const char* what) {
    if (parts.absent()) return std::nullopt;
    return parts.hex16(what);
}

std::uint32_t small(Parts& parts, const char* what, std::uint64_t max = max_server) {
    return static_cast<std::uint32_t>(parts.whole(what, max));
}

std::uint32_t class_index(Parts& parts, const Profile& profile) {
    return static_cast<std::uint32_t>(index_of(profile.class_names, parts.word("kind"), "class"));
}

std::optional<std::uint32_t> tenant_index(Parts& parts, const Profile& profile) {
    if (parts.absent()) return std::nullopt;
    return static_cast<std::uint32_t>(index_of(profile.tenant_names, parts.word("account"), "account"));
}

int ceiling(Parts& parts) {
    return static_cast<int>(parts.whole("ceiling_rung", max_count));
}

NewRequest parse_query(Parts& parts, const Profile& profile) {
    Request request;
    request.id = parts.hex16("id");
    request.cls = class_index(parts, profile);
    request.tenant = tenant_index(parts, profile);
    request.key = maybe_hex(parts, "key");
    request.title = maybe_hex(parts, "programme");
    request.not_after = parts.number("not_after");
    const auto hint = maybe_number(parts, "hint");
    request.start_cell = small(parts, "start_cell", max_count);
    request.holders = small(parts, "holders", max_count);
    request.ceiling = ceiling(parts);
    return {parse_flags(request, hint, parts.whole("flags", max_server))};
}

TakenOver parse_taken_over(Parts& parts, const Profile& profile) {
    Request request;
    request.id = parts.hex16("id");
    request.tenant = tenant_index(parts, profile);
    const std::uint64_t flags = parts.whole("flags", max_server);
    request.not_after = parts.number("not_after");
    request.holders = small(parts, "holders", max_count);
    const auto hint = maybe_number(parts, "hint");
    request.key = maybe_hex(parts, "key");
    request.start_cell = small(parts, "start_cell", max_count);
    request.ceiling = ceiling(parts);
    request.cls = class_index(parts, profile);
    request.title = maybe_hex(parts, "programme");
    request = parse_flags(request, hint, flags);
    return {request, small(parts, "server")};
}

std::string show(double value) {
    char text[64];
    const auto [end, error] = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed, 6);
    return error == std::errc{} ? std::string(text, end) : std::string("0");
}

std::string show_hex(std::uint64_t value) {
    std::string text(16, '0');
    for (int i = 15; i >= 0; --i, value >>= 4)
        text[static_cast<std::size_t>(i)] = "0123456789abcdef"[value & 15];
    return text;
}

constexpr std::string_view base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

struct Encoder {
    std::string& reply;
    const std::string& front;

    void line(const char* verb, const std::string& rest) const {
        reply.append(verb).append(" ").append(front);
        if (!rest.empty()) reply.append(" ").append(rest);
        reply.append("\n");
    }
    void operator()(const Send& a) const {
        line("SUBMIT_TO", show_hex(a.id) + " " + std::to_string(a.server) + " " + show(a.give_up_after));
    }
    void operator()(const SetRung& a) const {
        line("QUALITY", show_hex(a.id) + " " + std::to_string(a.rung));
    }
    void operator()(const Cancel& a) const {
        line("ABORT_ATTEMPT", show_hex(a.id) + " " + std::to_string(a.attempt));
    }
    void operator()(const Refuse& a) const { line("REFUSE", show_hex(a.id) + " " + show(a.retry_after)); }
    void operator()(const Fail& a) const { line("END_FAILED", show_hex(a.id)); }
    void operator()(const Offer&) const {}  // the wire has no such thing, and never asks
    void operator()(const Move& a) const { line("REBALANCE", show_hex(a.id)); }
    void operator()(const Timer& a) const { line("AFTER", show(a.at) + " " + std::to_string(a.token)); }
    void operator()(const Probe& a) const { line("TOUCH", std::to_string(a.server)); }
    void operator()(const CloseIdle& a) const { line("CLOSE_IDLE", std::to_string(a.server)); }
    void operator()(const Tell& a) const {
        line("SHARE", (a.to ? std::to_string(*a.to) : "*") + " " + encode_base64(a.bytes));
    }
    void operator()(const Subscribe& a) const { line("WATCH", a.enable ? "1" : "0"); }
    void operator()(const FetchList&) const { line("LIST_ALL", ""); }
    void operator()(const Trace& a) const { line("TRACE", a.text); }
};

}  // namespace

std::string_view Parts::word(const char* what) {
    if (done_ || rest_.empty())
        throw WireError(std::string("expected ") + what + ", got the end of the line");
    const std::size_t cut = rest_.find(' ');
    const std::string_view part = rest_.substr(0, cut);
    if (part.empty()) throw WireError(std::string("expected ") + what + ", got an empty part");
    done_ = cut == std::string_view::npos;
    rest_.remove_prefix(done_ ? rest_.size() : cut + 1);
    return part;
}

bool Parts::absent() {
    if (rest_ != "-" && !rest_.starts_with("- ")) return false;
    word("-");
    return true;
}

std::uint64_t Parts::whole(const char* what, std::uint64_t max) {
    return ranged(word(what), what, max);
}

std::uint64_t Parts::hex16(const char* what) {
    const std::string_view part = word(what);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value, 16);
    if (part.size() != 16 || error != std::errc{} || end != part.data() + part.size()) {
        bad(std::string(what) + " (16 hex digits)", part);
    }
    return value;
}

double Parts::number(const char* what) {
    return finite(word(what), what);
}

bool Parts::boolean(const char* what) {
    const std::string_view part = word(what);
    if (part != "0" && part != "1") bad(std::string(what) + " (1 or 0)", part);
    return part == "1";
}

std::string_view Parts::text() {
    done_ = true;
    return std::exchange(rest_, {});
}

void Parts::end() const {
    if (!done_ || !rest_.empty()) bad("the end of the line", rest_);
}

std::string instance_name(Parts& parts) {
    const std::string_view part = parts.word("front_id");
    constexpr std::string_view prefix = "front_";
    if (!part.starts_with(prefix)) bad("front_id (front_ and a number)", part);
    ranged(part.substr(prefix.size()), "front_id's number", max_server);
    return std::string(part);
}

Profile parse_profile(std::string_view text) {
    return read_profile(pairs_from_line(text));
}

LoadReport parse_report(std::string_view text) {
    LoadReport report;
    if (text == "-") return report;
    for (const std::string_view pair : split(text, ',')) {
        const std::size_t cut = pair.find(':');
        if (cut == std::string_view::npos) bad("a name:value pair of the load report", pair);
        const auto field = load_field(pair.substr(0, cut));
        if (field == nullptr) bad("a load report's value name", pair.substr(0, cut));
        report.*field = finite(pair.substr(cut + 1), "a load report's value");
    }
    return report;
}

RawEntry parse_entry(Parts& parts) {
    RawEntry raw;
    raw.entry.server = small(parts, "server");
    raw.zone = std::string(parts.word("area"));
    raw.kind = std::string(parts.word("sku"));
    raw.entry.cell = small(parts, "slot_no", max_count);
    raw.entry.state =
        choice<ServerState>({{"U", ServerState::Up}, {"L", ServerState::Leaving}, {"D", ServerState::Gone}},
                            parts.word("stage_state"), "stage_state U, L or D");
    raw.entry.size = parts.number("size");
    raw.entry.last_start = maybe_number(parts, "last_start");
    return raw;
}

Event parse_event(std::string_view verb, Parts& parts, const Profile& profile) {
    if (verb == "QUERY") return parse_query(parts, profile);
    if (verb == "TAKEN_OVER") return parse_taken_over(parts, profile);
    if (verb == "FIRST") {
        Started e;
        e.id = parts.hex16("id");
        e.server = small(parts, "server");
        e.attempt = small(parts, "send_no");
        e.latency = maybe_number(parts, "latency").value_or(0);
        return e;
    }
    if (verb == "SIGNAL") {
        Note e;
        e.id = parts.hex16("id");
        const std::string_view kind = parts.word("kind");
        e.kind = choice<NoteKind>(
            {{"1", NoteKind::Delivered}, {"2", NoteKind::Rung}, {"3", NoteKind::Link}, {"4", NoteKind::Rack}},
            kind, "note kind 1 to 4");
        e.attempt = small(parts, "send_no");
        e.server = small(parts, "server");
        e.value = parts.number("value");
        return e;
    }
    if (verb == "REPLY") {
        Outcome e;
        e.id = parts.hex16("id");
        e.attempt = small(parts, "send_no");
        e.server = small(parts, "server");
        e.ending = parse_ending(parts.word("ending"));
        e.latency = maybe_number(parts, "latency").value_or(0);
        e.last = parts.boolean("last");
        e.report = parse_report(parts.word("server_stats"));
        return e;
    }
    if (verb == "ABANDONED") return Abandoned{parts.hex16("id")};
    if (verb == "BELL") return TimerFired{parts.whole("ctx", std::uint64_t{1} << 63)};
    if (verb == "CHECK_RESULT") {
        ProbeResult e;
        e.server = small(parts, "server");
        e.ending = parse_ending(parts.word("ending"));
        e.latency = maybe_number(parts, "latency").value_or(0);
        e.report = parse_report(parts.word("server_stats"));
        return e;
    }
    if (verb == "INBOX") {
        PeerMessage e;
        e.from = small(parts, "origin_peer");
        e.bytes = decode_base64(parts.word("content"));
        return e;
    }
    bad("a message name", verb);
}

std::string encode_base64(std::string_view bytes) {
    if (bytes.empty()) return "-";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        const std::size_t have = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            block = block << 8 | (k < have ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= have ? base64_digits[block >> (18 - 6 * k) & 63] : '=';
        }
    }
    return text;
}

std::string decode_base64(std::string_view text) {
    if (text == "-") return {};
    if (text.empty() || text.size() % 4 != 0) bad("base64 with padding", text);
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 4) {
        std::uint32_t block = 0;
        std::size_t pad = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            const char c = text[i + k];
            const std::size_t digit = base64_digits.find(c);
            if (c == '=' && i + 4 == text.size() && k >= 2) {
                ++pad;
            } else if (digit == std::string_view::npos || pad > 0) {
                bad("base64 with padding", text);
            }
            block = block << 6 | (c == '=' ? 0U : static_cast<std::uint32_t>(digit));
        }
        if ((pad == 1 && (block & 0xff) != 0) || (pad == 2 && (block & 0xffff) != 0)) {
            bad("base64 with zero bits in its padding", text);
        }
        for (std::size_t k = 0; k + pad < 3; ++k) bytes += static_cast<char>(block >> (16 - 8 * k) & 255);
    }
    return bytes;
}

void append_action(std::string& reply, const std::string& front, const Action& action) {
    std::visit(Encoder{reply, front}, action);
}

}  // namespace cinderfront::wire
