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

// The text as a JSON string; nullopt where it is not UTF-8, as no JSON string holds it.
std::optional<std::string> quoted(std::string_view text) {
    try {
        return Json(text).dump();
    } catch (const Json::type_error&) {
        return std::nullopt;
    }
}

void put_string(std::string& out, std::string_view text) {
    const auto string = quoted(text);
    if (!string) malformed("a text is not UTF-8");
    out += *string;
}

std::string text_of(const Json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// The whole line as one JSON object in UTF-8.
Json parse(std::string_view line) {
    // The parser takes a zero byte for the end of its input.
    if (line.find('\0') != std::string_view::npos) malformed("a line has a zero byte");
    Json json = Json::parse(line, nullptr, false);
    if (!json.is_object()) malformed("a line is not a JSON object");
    return json;
}

void read_verb(ServerMessage& message, const Json& json) {
    const auto verb = json.find("verb");
    if (verb == json.end() || !verb->is_string()) malformed("a line has no verb");
    message.verb = verb_of(verb->get_ref<const std::string&>());
    if (message.verb == ServerVerb::Unknown) message.name = text_of(*verb);
}

// Of a later version's verbs it is not known whether they belong to a session.
void read_session(ServerMessage& message, const Json& json) {
    const auto tag = json.find("tag");
    if (tag == json.end()) {
        if (message.verb != ServerVerb::Unknown) malformed("a line has no tag");
        return;
    }
    const auto id = tag->is_string() ? parse_session_id(tag->get_ref<const std::string&>()) : std::nullopt;
    if (!id) malformed("a tag is not 16 hex digits");
    message.session = *id;
}

void read_fields(ServerMessage& message, const Json& json) {
    const auto opts = json.find("opts");
    if (opts == json.end()) return;
    if (!opts->is_object()) malformed("opts is not an object");
    for (const auto& [name, value] : opts->items()) {
        if (value.is_string() || value.is_number()) message.fields.emplace(name, text_of(value));
    }
}

void read_cause(ServerMessage& message, const Json& json) {
    const auto cause = json.find("rc");
    if (cause == json.end()) return;
    const bool in_range = cause->is_number_integer() && *cause >= 0 && *cause <= 255;
    if (!in_range) malformed("rc is not a cause");
    message.cause = cause->get<int>();
}

void read_description(ServerMessage& message, const Json& json) {
    const auto blob = json.find("blob");
    if (blob == json.end()) {
        if (message.verb == ServerVerb::Started) malformed("an answer has no description");
        return;
    }
    if (!blob->is_string()) malformed("blob is not a text");
    message.description = blob->get<std::string>();
}

ServerMessage read(std::string_view line) {
    const Json json = parse(line);
    ServerMessage message;
    read_verb(message, json);
    read_session(message, json);
    read_fields(message, json);
    read_cause(message, json);
    read_description(message, json);
    return message;
}

}  // namespace

const std::string* ServerMessage::field(const std::string& key) const {
    const auto it = fields.find(key);
    return it == fields.end() ? nullptr : &it->second;
}

bool fits_a_line(std::string_view text) {
    return quoted(text).has_value();
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
