#include "server_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "error.h"

namespace jasperspread::codec {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<ServerVerb, std::string_view>, 10> verbs = {{
    {ServerVerb::Start, "START"},
    {ServerVerb::Pending, "PENDING"},
    {ServerVerb::Started, "STARTED"},
    {ServerVerb::Finish, "FINISH"},
    {ServerVerb::Finished, "FINISHED"},
    {ServerVerb::Echo, "ECHO"},
    {ServerVerb::Echoed, "ECHOED"},
    {ServerVerb::Notice, "NOTICE"},
    {ServerVerb::Move, "MOVE"},
    {ServerVerb::Rate, "RATE"},
}};

ServerVerb verb_of(std::string_view name) {
    for (const auto& [verb, text] : verbs) {
        if (text == name) return verb;
    }
    return ServerVerb::Unknown;
}

// Written by hand: the library's own writer throws on text that is not UTF-8, and descriptions are opaque.
void put_string(std::string& out, std::string_view text) {
    out.push_back('"');
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        } else if (c == '\n') {
            out += "\\n";
        } else if (c == '\r') {
            out += "\\r";
        } else if (byte < 0x20) {
            out += "\\u00";
            out.push_back("0123456789abcdef"[byte >> 4]);
            out.push_back("0123456789abcdef"[byte & 15]);
        } else {
            out.push_back(c);
        }
    }
    out.push_back('"');
}

// Every byte from 0x80 on as the character of that number, so that any bytes become UTF-8; and back.
std::string widen(std::string_view bytes) {
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80) {
            text.push_back(c);
        } else {
            text.push_back(static_cast<char>(0xC0 | byte >> 6));
            text.push_back(static_cast<char>(0x80 | (byte & 0x3F)));
        }
    }
    return text;
}

std::string narrow(std::string_view text) {
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        if ((byte == 0xC2 || byte == 0xC3) && i + 1 < text.size()) {
            const auto next = static_cast<unsigned char>(text[++i]);
            bytes.push_back(static_cast<char>((byte & 3) << 6 | (next & 0x3F)));
        } else {
            bytes.push_back(text[i]);
        }
    }
    return bytes;
}

std::string text_of(const Json& value, bool wide) {
    if (!value.is_string()) return value.dump(-1, ' ', false, Json::error_handler_t::replace);
    const auto& text = value.get_ref<const std::string&>();
    return wide ? narrow(text) : text;
}

// The line as JSON; `wide` tells that it was not UTF-8 and its texts must be narrowed again.
Json parse(std::string_view line, bool& wide) {
    Json json = Json::parse(line, nullptr, false);
    wide = json.is_discarded();
    if (wide) json = Json::parse(widen(line), nullptr, false);
    if (!json.is_object()) malformed("a line is not a JSON object");
    return json;
}

ServerMessage read(std::string_view line) {
    bool wide = false;
    const Json json = parse(line, wide);
    ServerMessage message;
    const auto verb = json.find("verb"), tag = json.find("tag");
    if (verb == json.end() || !verb->is_string()) malformed("a line has no verb");
    message.verb = verb_of(verb->get_ref<const std::string&>());
    if (message.verb == ServerVerb::Unknown) message.name = text_of(*verb, wide);
    if (tag != json.end()) {
        const auto id = tag->is_string() ? parse_hex(tag->get_ref<const std::string&>()) : std::nullopt;
        if (!id) malformed("a tag is not 16 hex digits");
        message.session = *id;
    } else if (message.verb != ServerVerb::Unknown) {
        malformed("a line has no tag");
    }
    if (const auto opts = json.find("opts"); opts != json.end()) {
        if (!opts->is_object()) malformed("opts is not an object");
        for (const auto& [name, value] : opts->items()) {
            if (value.is_string() || value.is_number()) message.fields.emplace(name, text_of(value, wide));
        }
    }
    if (const auto cause = json.find("rc"); cause != json.end()) {
        const bool in_range = cause->is_number_integer() && *cause >= 0 && *cause <= 255;
        if (!in_range) malformed("rc is not a cause");
        message.cause = cause->get<int>();
    }
    if (const auto blob = json.find("blob"); blob != json.end()) {
        if (!blob->is_string()) malformed("blob is not a text");
        message.description = text_of(*blob, wide);
    }
    return message;
}

}  // namespace

const std::string* ServerMessage::field(const std::string& key) const {
    const auto it = fields.find(key);
    return it == fields.end() ? nullptr : &it->second;
}

std::optional<Decoded<ServerMessage>> decode_server(std::string_view bytes) {
    const std::size_t end = bytes.substr(0, max_message).find('\n');
    if (end == std::string_view::npos) {
        if (bytes.size() >= max_message) oversized("a line passes 16 KiB");
        return std::nullopt;
    }
    return Decoded<ServerMessage>{read(bytes.substr(0, end)), end + 1};
}

std::string encode(const ServerMessage& message) {
    std::string out = "{\"verb\":";
    std::string_view verb_name = message.name;
    for (const auto& [verb, text] : verbs) {
        if (verb == message.verb) verb_name = text;
    }
    put_string(out, verb_name);
    out += ",\"tag\":";
    put_string(out, to_hex(message.session));
    out += ",\"opts\":{";
    bool first = true;
    for (const auto& [name, value] : message.fields) {
        if (!std::exchange(first, false)) out.push_back(',');
        put_string(out, name);
        out.push_back(':');
        put_string(out, value);
    }
    out.push_back('}');
    if (message.cause) out += ",\"rc\":" + std::to_string(*message.cause);
    if (message.description) {
        out += ",\"blob\":";
        put_string(out, *message.description);
    }
    out += "}\n";
    if (out.size() > max_message) oversized("a line passes 16 KiB");
    return out;
}

}  // namespace jasperspread::codec
