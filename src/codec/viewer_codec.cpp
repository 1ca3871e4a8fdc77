#include "viewer_codec.h"

#include "error.h"

namespace jasperspread::codec {
namespace {

constexpr std::size_t length_size = 2, session_size = 8, head_size = 1 + session_size;

constexpr std::uint8_t class_code = 64;
constexpr std::uint8_t wait_code = 66;
constexpr std::uint8_t tenant_code = 68;
constexpr std::uint8_t title_code = 72;
constexpr std::uint8_t figures_code = 74;
constexpr std::uint8_t stay_away_code = 76;
constexpr std::uint8_t hint_code = 84;
constexpr std::uint8_t cause_code = 92;
constexpr std::uint8_t description_code = 94;

// Takes big-endian numbers and byte runs off the front.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    bool done() const { return rest_.empty(); }
    std::uint64_t number(std::size_t size) {
        std::uint64_t value = 0;
        for (const char byte : take(size)) value = value << 8 | static_cast<std::uint8_t>(byte);
        return value;
    }
    std::string_view take(std::size_t size) {
        if (size > rest_.size()) malformed("a parameter is longer than its message");
        const std::string_view part = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return part;
    }

private:
    std::string_view rest_;
};

void put(std::string& out, std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
}

void put(std::string& out, std::uint8_t code, std::string_view value) {
    if (value.size() > max_message) oversized("a parameter passes the limit of a message");
    put(out, code, 1);
    put(out, value.size(), 2);
    out.append(value);
}

double number_of(std::string_view text, const char* what) {
    const auto value = parse_number(text);
    if (!value) malformed(std::string(what) + " is not a number");
    return *value;
}

// "name:value;name:value", with or without a semicolon at the end.
std::map<std::string, std::string> parse_figures(std::string_view text) {
    std::map<std::string, std::string> figures;
    while (!text.empty()) {
        const std::size_t cut = text.find(';');
        const std::string_view pair = text.substr(0, cut);
        text.remove_prefix(cut == std::string_view::npos ? text.size() : cut + 1);
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos) malformed("a figure has no value");
        const auto [it, fresh] = figures.emplace(pair.substr(0, colon), pair.substr(colon + 1));
        if (!fresh) malformed("a figure is named twice");
    }
    return figures;
}

void read_parameter(ViewerMessage& message, std::uint64_t code, std::string_view value) {
    switch (code) {
        case class_code:
            message.class_name = value;
            break;
        case wait_code:
            message.wait_ms = number_of(value, "the wait");
            break;
        case tenant_code:
            message.tenant = value;
            break;
        case title_code:
            message.title = value;
            break;
        case figures_code:
            message.figures = parse_figures(value);
            break;
        case stay_away_code:
            message.stay_away_ms = number_of(value, "the time to stay away");
            break;
        case hint_code:
            message.hint_ms = number_of(value, "the hint");
            break;
        case cause_code:
            if (value.size() != 1) malformed("the cause is not one byte");
            message.cause = static_cast<std::uint8_t>(value.front());
            break;
        case description_code:
            message.description = value;
            break;
        default:  // of a later version
            break;
    }
}

}  // namespace

bool is_known(std::uint8_t type) {
    switch (static_cast<ViewerType>(type)) {
        case ViewerType::SetUp:
        case ViewerType::Progress:
        case ViewerType::Answer:
        case ViewerType::Release:
        case ViewerType::ReleaseHeard:
        case ViewerType::Note:
        case ViewerType::Move:
        case ViewerType::Test:
        case ViewerType::TestResult:
        case ViewerType::Rung:
            return true;
    }
    return false;
}

std::optional<Decoded<ViewerMessage>> decode_viewer(std::string_view bytes) {
    if (bytes.size() < length_size) return std::nullopt;
    const std::size_t length = Reader(bytes).number(length_size);
    if (length < head_size) malformed("a message is shorter than its head");
    if (length_size + length > max_message) oversized("a message passes 16 KiB");
    if (bytes.size() < length_size + length) return std::nullopt;
    Reader reader(bytes.substr(length_size, length));
    Decoded<ViewerMessage> decoded;
    decoded.size = length_size + length;
    decoded.message.type = static_cast<std::uint8_t>(reader.number(1));
    decoded.message.session = reader.number(session_size);
    while (!reader.done()) {
        const std::uint64_t code = reader.number(1);
        const std::size_t size = reader.number(2);
        read_parameter(decoded.message, code, reader.take(size));
    }
    return decoded;
}

bool releases(std::string_view bytes, std::uint64_t session) {
    while (bytes.size() >= length_size + head_size) {
        Reader reader(bytes);
        const std::size_t length = reader.number(length_size);
        if (length < head_size || bytes.size() < length_size + length) return false;
        const std::uint64_t type = reader.number(1);
        const bool is_release = type == static_cast<std::uint64_t>(ViewerType::Release);
        if (is_release && reader.number(session_size) == session) return true;
        bytes.remove_prefix(length_size + length);
    }
    return false;
}

std::string encode(const ViewerMessage& message) {
    std::string body;
    put(body, message.type, 1);
    put(body, message.session, session_size);
    if (message.class_name) put(body, class_code, *message.class_name);
    if (message.wait_ms) put(body, wait_code, to_text(*message.wait_ms));
    if (message.tenant) put(body, tenant_code, *message.tenant);
    if (message.title) put(body, title_code, *message.title);
    if (!message.figures.empty()) {
        std::string text;
        for (const auto& [name, value] : message.figures) {
            text += (text.empty() ? "" : ";") + name + ":" + value;
        }
        put(body, figures_code, text);
    }
    if (message.stay_away_ms) put(body, stay_away_code, to_text(*message.stay_away_ms));
    if (message.hint_ms) put(body, hint_code, to_text(*message.hint_ms));
    if (message.cause) put(body, cause_code, std::string(1, static_cast<char>(*message.cause)));
    if (message.description) put(body, description_code, *message.description);
    if (length_size + body.size() > max_message) oversized("a message passes 16 KiB");
    std::string out;
    put(out, body.size(), length_size);
    return out + body;
}

}  // namespace jasperspread::codec
