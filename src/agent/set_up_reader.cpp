#include "set_up_reader.h"

#include <algorithm>

#include "codec/error.h"

namespace jasperspread::agent {

using codec::ViewerMessage;

namespace {

const std::string* figure(const ViewerMessage& message, const char* name) {
    const auto it = message.figures.find(name);
    return it == message.figures.end() ? nullptr : &it->second;
}

std::uint32_t small_figure(const ViewerMessage& message, const char* name, std::size_t least,
                           std::size_t most) {
    const std::string* text = figure(message, name);
    const auto value = text == nullptr ? std::nullopt : codec::parse_number(*text);
    if (!value) codec::malformed(std::string("a set-up has no ") + name);
    if (*value < static_cast<double>(least) || *value > static_cast<double>(most)) {
        codec::malformed(std::string("a set-up's ") + name + " is out of range");
    }
    return static_cast<std::uint32_t>(*value);
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
    const auto& classes = profile.class_names;
    const auto cls = std::find(classes.begin(), classes.end(), plain_name(set_up.class_name));
    if (cls == classes.end()) codec::malformed("a set-up names no class of the settings");
    request.cls = static_cast<std::uint32_t>(cls - classes.begin());
    const double deadline = profile.settings.classes[request.cls].deadline;
    if (message.wait_ms && *message.wait_ms <= 0) codec::malformed("a set-up waits for no time");
    request.not_after = now + std::min(message.wait_ms.value_or(deadline * 1000) / 1000, deadline);
    if (message.hint_ms && *message.hint_ms >= 0) request.hint = *message.hint_ms / 1000;
    request.title = codec::parse_hex(set_up.title);
    if (!request.title) codec::malformed("a set-up names no title");
    if (const std::string* viewer = figure(message, "viewer")) request.key = codec::parse_hex(*viewer);
    const std::size_t cells = std::max(1U, profile.settings.cells);
    request.start_cell = small_figure(message, "home", 0, cells - 1);
    request.holders = small_figure(message, "copies", 1, cells);
    const std::size_t rungs = std::max<std::size_t>(1, profile.settings.ladder_kb.size());
    request.ceiling = static_cast<int>(small_figure(message, "top", 0, rungs - 1));
    const std::string* again = figure(message, "again");
    request.repeat = again != nullptr && *again != "0";
    if (const std::string* at = figure(message, "at")) set_up.playing_at = *at;
    return set_up;
}

}  // namespace jasperspread::agent
