// The settings as the simulator's wire and the configuration give them: values by path, read in one place.
#pragma once

#include <cinderfront/controller.h>

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasperspread::agent {

// Names the field and what was expected of it.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[noreturn]] void bad(const std::string& expected, std::string_view got);
double finite(std::string_view text, const std::string& what);
std::uint64_t ranged(std::string_view text, const std::string& what, std::uint64_t max);
std::vector<std::string_view> split(std::string_view text, char by);

template <typename T>
T from_text(std::string_view text, const std::string& what) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) bad(what, text);
    return value;
}

template <typename T>
T choice(const std::vector<std::pair<std::string_view, T>>& options, std::string_view text,
         const char* what) {
    for (const auto& [name, value] : options) {
        if (name == text) return value;
    }
    bad(what, text);
}

// Settings as told, with the names that the wire uses in place of indexes.
struct Profile {
    cinderfront::Settings settings;
    std::vector<std::string> class_names, tenant_names, zone_names, kind_names;
    // Of the links to servers, which the module leaves to its host; 0 where not told.
    double connect_timeout = 0, conn_idle = 0;
    std::uint32_t streams_per_conn = 0;
};

// Of a class whose set-ups are never sent twice once they may have run.
inline bool is_paid(const cinderfront::ClassSettings& cls) {
    return cls.semantics == cinderfront::Semantics::NonIdempotent;
}

using PathValues = std::map<std::string, std::string, std::less<>>;  // lists joined with commas
PathValues pairs_from_line(std::string_view pairs);                  // path=value path=value
PathValues pairs_from_json(const nlohmann::json& settings);          // the same, nested
// A name as it stands in a Profile: spaces and commas are underscores there.
std::string plain_name(std::string_view name);

// The field of a load report that goes by this name; null for one that this program does not know.
using LoadField = std::optional<double> cinderfront::LoadReport::*;
LoadField load_field(std::string_view name);

Profile read_profile(PathValues values);
// The place of a name among those of the settings; nullopt where it is not there.
std::optional<std::size_t> find_name(const std::vector<std::string>& names, std::string_view name);
// The same; throws SettingsError where it is not there.
std::size_t index_of(const std::vector<std::string>& names, std::string_view name, const char* what);

}  // namespace jasperspread::agent
