#include "config.h"

#include <nlohmann/json.hpp>

#include "codec/message.h"

namespace jasperspread::agent {
namespace {

using Json = nlohmann::json;

const Json& member(const Json& object, const char* name, const std::string& path) {
    const auto it = object.find(name);
    if (it == object.end()) throw SettingsError("expected " + path + " in the configuration");
    return *it;
}

std::string text_at(const Json& object, const char* name) {
    const Json& value = member(object, name, name);
    if (!value.is_string()) bad(std::string(name) + " (a text)", value.dump());
    return value.get<std::string>();
}

net::Address address_at(const Json& object, const char* name) {
    const std::string text = text_at(object, name);
    const auto address = net::parse_address(text);
    if (!address) bad(std::string(name) + " (an address and port)", text);
    return *address;
}

std::size_t limit_at(const Json& config, const char* name, std::size_t fallback) {
    const auto limits = config.find("limits");
    if (limits == config.end()) return fallback;
    if (!limits->is_object()) bad("limits (an object)", limits->dump());
    const auto it = limits->find(name);
    if (it == limits->end()) return fallback;
    constexpr double most = 1e9;
    const double read = it->is_number() ? it->get<double>() : 0;
    if (!(read >= 1 && read <= most))
        bad(std::string("limits.") + name + " (a number from 1 on)", it->dump());
    return static_cast<std::size_t>(read);
}

}  // namespace

Config read_config(std::string_view text) {
    constexpr std::size_t usual_descriptors = 1024, fewest_descriptors = 32;
    constexpr std::size_t usual_memory_mb = 192, megabyte = 1'000'000;
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) throw SettingsError("expected the configuration to be one JSON object");
    Config config;
    config.name = text_at(json, "name");
    config.listen = address_at(json, "listen");
    config.feed = address_at(json, "feed");
    const std::string seed = text_at(json, "seed");
    const auto number = codec::parse_hex(seed);
    if (!number) bad("seed (up to 16 hex digits)", seed);
    config.seed = *number;
    config.descriptors = limit_at(json, "sockets", usual_descriptors);
    if (config.descriptors < fewest_descriptors) {
        bad("limits.sockets (32 or more)", std::to_string(config.descriptors));
    }
    config.memory = limit_at(json, "memory_mb", usual_memory_mb) * megabyte;
    const Json& settings = member(json, "settings", "settings");
    if (!settings.is_object()) bad("settings (an object)", settings.dump());
    config.profile = read_profile(pairs_from_json(settings));
    if (config.profile.settings.classes.empty())
        throw SettingsError("expected settings.classes to name a class");
    const Json& known = member(json, "known", "known");
    const Json& last = member(known, "n", "known.n");
    const Json& events = member(known, "events", "known.events");
    if (!last.is_number_unsigned()) bad("known.n (a whole number)", last.dump());
    if (!events.is_array()) bad("known.events (a list)", events.dump());
    for (const Json& event : events) {
        try {
            const ListChange change = read_change(event, config.profile);
            if (!change.unreadable.empty()) throw SettingsError(change.unreadable.front());
            config.directory.apply(change);
        } catch (const SettingsError& error) {
            throw SettingsError(std::string("known.events: ") + error.what());
        }
    }
    config.known_number = last.get<std::uint64_t>();
    return config;
}

}  // namespace jasperspread::agent
