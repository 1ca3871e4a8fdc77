#include "set_up_reader.h"

#include <algorithm>
#include <cmath>
#include <string_view>

#include "codec/error.h"
#include "codec/server_codec.h"

namespace jasperspread::agent {

using codec::ViewerMessage;

namespace {

[[noreturn]] void out_of_range(std::string_view name) {
    codec::malformed("a set-up's " + std::string(name) + " is out of range");
}

[[noreturn]] void not_a_number(std::string_view name) {
    codec::malformed("a set-up's " + std::string(name) + " is not a number");
}

// Null where the set-up does not have the figure.
const std::string* figure(const ViewerMessage& message, const char* name) {
    const auto it = message.figures.find(name);
    return it == message.figures.end() ? nullptr : &it->second;
}

// A whole number from `least` to `most`, which every set-up has.
std::uint32_t whole_figure(const ViewerMessage& message, const char* name, std::size_t least,
                           std::size_t most) {
    const std::string* text = figure(message, name);
    if (text == nullptr) codec::malformed(std::string("a set-up has no ") + name);
    const auto value = codec::parse_number(*text);
    if (!value || std::trunc(*value) != *value) not_a_number(name);
    if (*value < static_cast<double>(least) || *value > static_cast<double>(most)) out_of_range(name);
    return static_cast<std::uint32_t>(*value);
}

std::optional<std::uint64_t> hex_figure(const ViewerMessage& message, const char* name) {
    const std::string* text = figure(message, name);
    if (text == nullptr) return std::nullopt;
    const auto value = codec::parse_hex(*text);
    if (!value) not_a_number(name);
    return value;
}

bool flag_figure(const ViewerMessage& message, const char* name) {
    const std::string* text = figure(message, name);
    if (text == nullptr) return false;
    if (*text != "0" && *text != "1") out_of_range(name);
    return *text == "1";
}

// How long the viewer waits for the answer, s: at most the class's deadline.
double wait_of(const ViewerMessage& message, double deadline) {
    if (!message.wait_ms) return deadline;
    if (*message.wait_ms <= 0) out_of_range("wait");
    return std::min(*message.wait_ms / 1000, deadline);
}

// How long the session is expected to last, s.
std::optional<double> hint_of(const ViewerMessage& message) {
    if (!message.hint_ms) return std::nullopt;
    if (*message.hint_ms < 0) out_of_range("hint");
    return *message.hint_ms / 1000;
}

std::uint32_t index_in(const std::vector<std::string>& names, const std::string& name, const char* what) {
    const auto index = find_name(names, plain_name(name));
    if (!index) codec::malformed(std::string("a set-up names no ") + what + " of the settings");
    return static_cast<std::uint32_t>(*index);
}

// Tenants mean nothing where the settings name none.
std::optional<std::uint32_t> tenant_of(const ViewerMessage& message, const Profile& profile) {
    if (!message.tenant || profile.tenant_names.empty()) return std::nullopt;
    return index_in(profile.tenant_names, *message.tenant, "tenant");
}

}  // namespace

SetUp read_set_up(const ViewerMessage& message, const Profile& profile, double now) {
    SetUp set_up;
    cinderfront::Request& request = set_up.request;
    request.id = message.session;
    if (request.id == 0) codec::malformed("a set-up has no id");  // servers close on it, with all open there
    set_up.class_name = message.class_name.value_or("");
    set_up.title = message.title.value_or("");
    set_up.description = message.description.value_or("");
    // Servers close on a line that they can't read, with all set-ups that are open there.
    if (!codec::fits_a_line(set_up.description)) codec::malformed("a set-up's description is not UTF-8");
    request.cls = index_in(profile.class_names, set_up.class_name, "class");
    request.tenant = tenant_of(message, profile);
    request.not_after = now + wait_of(message, profile.settings.classes[request.cls].deadline);
    request.hint = hint_of(message);
    request.title = codec::parse_hex(set_up.title);
    if (!request.title) codec::malformed("a set-up names no title");
    request.key = hex_figure(message, "viewer");
    const std::size_t cells = std::max(1U, profile.settings.cells);
    request.start_cell = whole_figure(message, "home", 0, cells - 1);
    request.holders = whole_figure(message, "copies", 1, cells);
    const std::size_t rungs = std::max<std::size_t>(1, profile.settings.ladder_kb.size());
    request.ceiling = static_cast<int>(whole_figure(message, "top", 0, rungs - 1));
    request.repeat = flag_figure(message, "again");
    if (const std::string* at = figure(message, "at")) set_up.playing_at = *at;
    return set_up;
}

}  // namespace jasperspread::agent
