#include "settings.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace jasperspread::agent {

using cinderfront::ClassSettings;
using cinderfront::KeyScope;
using cinderfront::Semantics;
using cinderfront::Settings;
using cinderfront::TenantSettings;

void bad(const std::string& expected, std::string_view got) {
    throw SettingsError("expected " + expected + ", got '" + std::string(got) + "'");
}

double finite(std::string_view text, const std::string& what) {
    const double value = from_text<double>(text, what + " (a number)");
    if (!std::isfinite(value)) bad(what + " (a finite number)", text);
    return value;
}

std::uint64_t ranged(std::string_view text, const std::string& what, std::uint64_t max) {
    const std::string expected = what + " (a whole number up to " + std::to_string(max) + ")";
    const auto value = from_text<std::uint64_t>(text, expected);
    if (value > max) bad(expected, text);
    return value;
}

std::vector<std::string_view> split(std::string_view text, char by) {
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t cut = text.find(by);
        parts.push_back(text.substr(0, cut));
        if (cut == std::string_view::npos) break;
        text.remove_prefix(cut + 1);
        if (text.empty()) parts.push_back(text);
    }
    return parts;
}

namespace {

constexpr std::uint64_t max_count = 1'000'000'000;
constexpr std::uint64_t max_list = 100'000;

// The pairs of a profile by path. Paths that are not asked for are passed over.
class Pairs {
public:
    explicit Pairs(PathValues values) : pairs_(std::move(values)) {}
    std::optional<std::string_view> text(const std::string& path) const {
        const auto it = pairs_.find(path);
        if (it == pairs_.end() || it->second == "-") return std::nullopt;
        return std::string_view(it->second);
    }
    std::optional<double> number(const std::string& path) const {
        const auto value = text(path);
        if (!value) return std::nullopt;
        return finite(*value, path);
    }
    void number(const std::string& path, double& into) const {
        if (const auto value = number(path)) into = *value;
    }
    void whole(const std::string& path, std::uint32_t& into) const {
        if (const auto value = text(path)) into = static_cast<std::uint32_t>(ranged(*value, path, max_count));
    }
    void flag(const std::string& path, bool& into) const {
        if (const auto value = text(path)) into = truth(path, *value);
    }
    static bool truth(const std::string& path, std::string_view value) {
        if (value == "true") return true;
        if (value == "false") return false;
        bad(path + " (true or false)", value);
    }
    std::vector<std::string> names(const std::string& path) const {
        std::vector<std::string> list;
        for (const std::string_view item : items(path)) list.emplace_back(item);
        return list;
    }
    std::vector<double> numbers(const std::string& path) const {
        std::vector<double> list;
        for (const std::string_view item : items(path)) list.push_back(finite(item, path));
        return list;
    }
    std::vector<std::string_view> items(const std::string& path) const {
        return split(text(path).value_or(std::string_view{}), ',');
    }
    std::size_t count(const std::string& path) const {
        const auto value = text(path + ".count");
        return value ? ranged(*value, path + ".count", max_list) : 0;
    }

private:
    PathValues pairs_;
};

Semantics semantics(std::string_view text) {
    return choice<Semantics>({{"read_like", Semantics::ReadLike},
                              {"idempotency_key", Semantics::IdempotencyKey},
                              {"non_idempotent", Semantics::NonIdempotent}},
                             text, "read_like, idempotency_key or non_idempotent");
}

KeyScope key_scope(std::string_view text) {
    return choice<KeyScope>({{"all", KeyScope::All}, {"zone", KeyScope::Zone}, {"cell", KeyScope::Cell}},
                            text, "all, zone or cell");
}

void parse_classes(const Pairs& pairs, Profile& profile) {
    const auto scale = pairs.numbers("family_info.scale_by_class");
    const auto floor = pairs.items("family_info.floor_by_class");
    const auto top = pairs.items("family_info.top_by_class");
    const auto seats = pairs.items("family_info.seats");
    const auto live = pairs.items("family_info.is_live");
    const auto whole = [](std::string_view text, const char* what) {
        return static_cast<int>(ranged(text, what, max_count));
    };
    for (std::size_t i = 0; i < pairs.count("classes"); ++i) {
        const std::string path = "classes." + std::to_string(i) + ".";
        const auto name = pairs.text(path + "name");
        if (!name) throw SettingsError("expected " + path + "name in the settings");
        ClassSettings cls;
        pairs.number(path + "aim", cls.aim);
        pairs.number(path + "deadline", cls.deadline);
        pairs.number(path + "points", cls.points);
        pairs.number(path + "window", cls.window);
        if (const auto text = pairs.text(path + "semantics")) cls.semantics = semantics(*text);
        if (const auto text = pairs.text(path + "key_scope")) cls.key_scope = key_scope(*text);
        if (i < scale.size()) cls.scale = scale[i];
        if (i < floor.size()) cls.floor = whole(floor[i], "family_info.floor_by_class");
        if (i < top.size()) cls.top = whole(top[i], "family_info.top_by_class");
        if (i < seats.size()) cls.seats = whole(seats[i], "family_info.seats");
        if (i < live.size()) cls.live = Pairs::truth("family_info.is_live", live[i]);
        profile.settings.classes.push_back(cls);
        profile.class_names.emplace_back(*name);
    }
}

std::string scalar(const nlohmann::json& value) {
    return plain_name(value.is_string() ? value.get<std::string>() : value.dump());
}

void flatten(const std::string& path, const nlohmann::json& value, PathValues& into) {
    const auto below = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.is_object()) {
        for (const auto& [name, item] : value.items()) flatten(below(name), item, into);
    } else if (value.is_array()) {
        if (!value.empty() && value.front().is_object()) {
            into[below("count")] = std::to_string(value.size());
            for (std::size_t i = 0; i < value.size(); ++i) flatten(below(std::to_string(i)), value[i], into);
            return;
        }
        std::string joined;
        for (const auto& item : value) {
            if (!joined.empty()) joined.push_back(',');
            joined.append(scalar(item));
        }
        into[path] = joined;
    } else if (!value.is_null()) {
        into[path] = scalar(value);
    }
}

}  // namespace

std::string plain_name(std::string_view name) {
    std::string plain(name);
    for (char& c : plain) {
        if (c == ' ' || c == ',') c = '_';
    }
    return plain;
}

PathValues pairs_from_line(std::string_view pairs) {
    PathValues values;
    for (const std::string_view pair : split(pairs, ' ')) {
        const std::size_t cut = pair.find('=');
        if (cut == std::string_view::npos || cut == 0) bad("a path=value pair", pair);
        if (!values.emplace(pair.substr(0, cut), pair.substr(cut + 1)).second) bad("each setting once", pair);
    }
    return values;
}

PathValues pairs_from_json(const nlohmann::json& settings) {
    PathValues values;
    flatten("", settings, values);
    return values;
}

LoadField load_field(std::string_view name) {
    using cinderfront::LoadReport;
    static constexpr std::pair<std::string_view, LoadField> fields[] = {
        {"busy_reqs", &LoadReport::busy},       {"pending", &LoadReport::pending},
        {"cpu_share", &LoadReport::link_share}, {"x0", &LoadReport::link_asked},
        {"x1", &LoadReport::rack_asked},        {"svc_ms", &LoadReport::setup_ms},
        {"served_ps", &LoadReport::served_ps},  {"failed_ps", &LoadReport::failed_ps}};
    for (const auto& [known, field] : fields) {
        if (known == name) return field;
    }
    return nullptr;
}

std::optional<std::size_t> find_name(const std::vector<std::string>& names, std::string_view name) {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) return i;
    }
    return std::nullopt;
}

std::size_t index_of(const std::vector<std::string>& names, std::string_view name, const char* what) {
    if (const auto index = find_name(names, name)) return *index;
    bad(std::string(what) + " named in the settings", name);
}

Profile read_profile(PathValues values) {
    const Pairs pairs(std::move(values));
    Profile profile;
    Settings& s = profile.settings;
    profile.zone_names = pairs.names("areas");
    profile.kind_names = pairs.names("kinds");
    parse_classes(pairs, profile);
    for (std::size_t i = 0; i < pairs.count("tenants"); ++i) {
        const std::string path = "tenants." + std::to_string(i) + ".";
        const auto name = pairs.text(path + "name");
        if (!name) throw SettingsError("expected " + path + "name in the settings");
        TenantSettings tenant;
        pairs.number(path + "portion", tenant.portion);
        pairs.number(path + "quota_rps", tenant.quota_rps);
        s.tenants.push_back(tenant);
        profile.tenant_names.emplace_back(*name);
    }
    if (const auto zone = pairs.text("zone")) {
        s.zone = static_cast<std::uint32_t>(index_of(profile.zone_names, *zone, "zone"));
    }
    pairs.whole("position", s.position);
    pairs.whole("balancers", s.fronts);
    pairs.whole("family_info.places", s.cells);
    pairs.whole("family_info.shelves", s.racks);
    pairs.whole("limits.try_limit", s.try_limit);
    s.ladder_kb = pairs.numbers("family_info.ladder_kb");
    s.worth_by_rung = pairs.numbers("family_info.worth_by_rung");
    s.places_by_kind = pairs.numbers("family_info.places_by_kind");
    for (const auto& [path, into] : std::initializer_list<std::pair<const char*, double&>>{
             {"family_info.all_links_kb", s.all_links_kb},
             {"family_info.rack_link_kb", s.rack_link_kb},
             {"family_info.weight_kb", s.weight_kb},
             {"family_info.shared_adds", s.shared_adds},
             {"family_info.guard", s.guard},
             {"family_info.stall_cost", s.stall_cost},
             {"family_info.switch_cost_s", s.switch_cost_s},
             {"family_info.told_late", s.told_late},
             {"family_info.told_every", s.told_every},
             {"over_share_worth", s.over_share_worth},
             {"goal.whole", s.goal_whole},
             {"goal.worst_window", s.goal_worst_window},
             {"goal.worst_class", s.goal_worst_class},
             {"goal.worst_tenant", s.goal_worst_tenant},
             {"penalties.cross_zone", s.price_cross_zone},
             {"penalties.late_fail", s.price_late_fail},
             {"penalties.moves", s.price_moves},
             {"penalties.peer", s.price_peer},
             {"penalties.probe", s.price_probe},
             {"penalties.handshake", s.price_handshake},
             {"limits.conn_idle", s.conn_idle},
             {"limits.max_retry_after", s.max_retry_after},
             {"round", s.round},
             {"obligations.answer_slack", s.answer_slack},
             {"obligations.must_ask_in", s.must_ask_in},
             {"obligations.drain_grace", s.drain_grace},
             {"obligations.cold", s.cold},
             {"obligations.cold_from", s.cold_from},
             {"obligations.fall", s.fall},
             {"obligations.fall_multiple", s.fall_multiple}}) {
        pairs.number(path, into);
    }
    s.spare_attempts = pairs.number("obligations.spare_attempts");
    s.resend_ratio = pairs.number("obligations.resend_ratio");
    s.look_back = pairs.number("obligations.look_back");
    pairs.flag("limits.cancel", s.can_cancel);
    pairs.flag("limits.probes", s.can_probe);
    pairs.flag("limits.peer_messages", s.can_message);
    pairs.flag("limits.retry_after", s.can_advise_retry);
    pairs.number("limits.connect_timeout", profile.connect_timeout);
    pairs.number("limits.conn_idle", profile.conn_idle);
    pairs.whole("limits.streams_per_conn", profile.streams_per_conn);
    if (const auto mode = pairs.text("membership_mode")) {
        s.list_on_request =
            choice<bool>({{"pushed", false}, {"on_request", true}}, *mode, "pushed or on_request");
    }
    return profile;
}

}  // namespace jasperspread::agent
