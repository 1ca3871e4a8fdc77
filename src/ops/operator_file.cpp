#include "operator_file.h"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <ostream>
#include <set>
#include <vector>

#include "codec/message.h"
#include "net/socket.h"

namespace jasperspread::ops {
namespace {

struct Wrong : std::runtime_error {  // what was expected; the place is added where it is known
    using std::runtime_error::runtime_error;
};

using Take = std::function<void(OperatorSettings&, const YAML::Node&)>;
using Show = std::function<std::string(const OperatorSettings&)>;

struct Key {
    const char* section;
    const char* name;
    const char* unit;
    const char* meaning;
    Take take;
    Show show;
};

std::string scalar(const YAML::Node& node, const char* expected) {
    if (!node.IsScalar()) throw Wrong(std::string("expected ") + expected);
    return node.Scalar();
}

template <typename Section>
Key flag(const char* section, Section OperatorSettings::*in, const char* name, bool Section::*field,
         const char* meaning) {
    return {section,
            name,
            "yes or no",
            meaning,
            [=](OperatorSettings& settings, const YAML::Node& node) {
                const std::string text = scalar(node, "true or false");
                if (!YAML::convert<bool>::decode(node, settings.*in.*field))
                    throw Wrong("expected true or false, got '" + text + "'");
            },
            [=](const OperatorSettings& settings) {
                return std::string(settings.*in.*field ? "true" : "false");
            }};
}

template <typename Section>
Key text(const char* section, Section OperatorSettings::*in, const char* name, std::string Section::*field,
         const std::set<std::string>& allowed, const char* meaning) {
    return {section,
            name,
            "text",
            meaning,
            [=](OperatorSettings& settings, const YAML::Node& node) {
                std::string expected = "a text";
                for (const std::string& one : allowed) expected += (expected == "a text" ? ": " : ", ") + one;
                const std::string value = scalar(node, expected.c_str());
                if (!allowed.empty() && !allowed.contains(value))
                    throw Wrong("expected " + expected + "; got '" + value + "'");
                settings.*in.*field = value;
            },
            [=](const OperatorSettings& settings) { return "\"" + (settings.*in.*field) + "\""; }};
}

template <typename Section>
Key texts(const char* section, Section OperatorSettings::*in, const char* name,
          std::vector<std::string> Section::*field, const char* meaning) {
    return {section,
            name,
            "list of texts",
            meaning,
            [=](OperatorSettings& settings, const YAML::Node& node) {
                if (!node.IsSequence()) throw Wrong("expected a list of texts");
                (settings.*in.*field).clear();
                for (const YAML::Node& one : node)
                    (settings.*in.*field).push_back(scalar(one, "a list of texts"));
            },
            [=](const OperatorSettings& settings) {
                std::string list;
                for (const std::string& one : settings.*in.*field) list += (list.empty() ? "" : ", ") + one;
                return "[" + list + "]";
            }};
}

// An address as "127.0.0.1:2910"; empty where it is not set.
template <typename Section>
Key address(const char* section, Section OperatorSettings::*in, const char* name, std::string Section::*field,
            const char* meaning) {
    Key key = text(section, in, name, field, {}, meaning);
    key.take = [=, plain = key.take](OperatorSettings& settings, const YAML::Node& node) {
        plain(settings, node);
        const std::string& value = settings.*in.*field;
        if (!value.empty() && !net::parse_address(value))
            throw Wrong("expected an address as 127.0.0.1:2910, got '" + value + "'");
    };
    return key;
}

std::string shown(double number) {
    return codec::to_text(number);
}

// A number from `least` to `most`, both included; whole where the field is.
template <typename Section, typename Number>
Key number(const char* section, Section OperatorSettings::*in, const char* name, Number Section::*field,
           double least, double most, const char* unit, const char* meaning) {
    return {
        section,
        name,
        unit,
        meaning,
        [=](OperatorSettings& settings, const YAML::Node& node) {
            const std::string expected =
                std::string(std::is_integral_v<Number> ? "a whole number" : "a number") + " from " +
                shown(least) + " to " + shown(most);
            const std::string value = scalar(node, expected.c_str());
            double read = 0;
            const bool fits = YAML::convert<double>::decode(node, read) && read >= least && read <= most &&
                              (!std::is_integral_v<Number> || read == std::floor(read));
            if (!fits) throw Wrong("expected " + expected + ", got '" + value + "'");
            settings.*in.*field = static_cast<Number>(read);
        },
        [=](const OperatorSettings& settings) { return shown(static_cast<double>(settings.*in.*field)); }};
}

std::vector<Key> log_keys() {
    const auto log = &OperatorSettings::log;
    return {
        flag("log", log, "json", &LogSettings::json, "each line of the log is one JSON object"),
        text("log", log, "level", &LogSettings::level, {"debug", "info", "warn", "err"},
             "lines of a lower level stay out"),
    };
}

std::vector<Key> handover_keys() {
    using H = handover::Settings;
    const auto move = &OperatorSettings::handover;
    return {
        flag("handover", move, "enabled", &H::enabled, "move sessions between servers that support it"),
        text("handover", move, "key_file", &H::key_file, {},
             "file with the tickets' key: 64 hex digits, the same at the lesson servers"),
        number("handover", move, "hold_s", &H::hold_s, 0.1, 30, "s", "how long a target keeps a reservation"),
        number("handover", move, "probation_s", &H::probation_s, 0.05, 10, "s",
               "how long a target streams before it must have heard that this is confirmed"),
        number("handover", move, "answer_s", &H::answer_s, 0.02, 10, "s",
               "a step without an answer so long has failed, or is asked again"),
        number("handover", move, "clock_slack", &H::clock_slack, 0, 0.5, "part",
               "by which the clocks of servers and agent may run apart"),
        number("handover", move, "look_every_s", &H::look_every_s, 0.05, 60, "s",
               "how often sessions worth moving are looked for"),
        number("handover", move, "least_gain", &H::least_gain, 0, 10, "worth",
               "a second's worth that a move must gain, as a part of the class's"),
        number("handover", move, "payback_s", &H::payback_s, 0.1, 600, "s",
               "a move must earn its price within so long"),
        number("handover", move, "price_s", &H::price_s, 0, 60, "s",
               "price of a move, in seconds of the class's worth"),
        number("handover", move, "rest_s", &H::rest_s, 0, 3600, "s",
               "a session that was moved stays for so long"),
        number("handover", move, "moves_per_minute", &H::moves_per_minute, 0, 100000, "moves",
               "this agent's budget"),
        number("handover", move, "out_of_source", &H::out_of_source, 1, 10000, "moves",
               "at once from one server"),
        number("handover", move, "into_target", &H::into_target, 1, 10000, "moves",
               "at once into one server"),
        number("handover", move, "back_off_s", &H::back_off_s, 0, 600, "s",
               "a target that failed is left alone so long, twice as long each time"),
        number("handover", move, "back_off_most_s", &H::back_off_most_s, 0, 3600, "s",
               "and this long at most"),
    };
}

std::vector<Key> fleet_keys() {
    using F = fleet::Settings;
    const auto peers = &OperatorSettings::fleet;
    return {
        text("fleet", peers, "key_file", &F::key_file, {},
             "file with the agents' key: 64 hex digits, the same at all; without it they don't talk"),
        address("fleet", peers, "listen", &F::listen, "address for datagrams from other agents"),
        address("fleet", peers, "advertise", &F::advertise,
                "where they reach it, if that is another address"),
        texts("fleet", peers, "seeds", &F::seeds, "addresses of some agents, of which one should be there"),
        number("fleet", peers, "probe_every_s", &F::probe_every_s, 0.05, 60, "s",
               "one other agent is probed so often"),
        number("fleet", peers, "answer_s", &F::answer_s, 0.01, 20, "s",
               "without an answer so long others are asked to probe it"),
        number("fleet", peers, "helpers", &F::helpers, 0, 16, "agents", "that are asked then"),
        number("fleet", peers, "suspect_s", &F::suspect_s, 0.1, 600, "s",
               "a suspicion lasts so long at least, and twice that at most"),
        number("fleet", peers, "sync_s", &F::sync_s, 0.1, 600, "s",
               "one that is dead, or a seed, is asked to join so often"),
        number("fleet", peers, "forget_s", &F::forget_s, 1, 86400, "s",
               "the dead are remembered for so long"),
    };
}

std::vector<Key> store_keys() {
    using S = store::Settings;
    const auto kept = &OperatorSettings::store;
    return {
        text("store", kept, "folder", &S::folder, {},
             "folder for what is remembered, of this agent alone; without it nothing is"),
        text("store", kept, "boot_file", &S::boot_file, {},
             "file that tells one boot of the machine from another"),
        number("store", kept, "megabytes", &S::megabytes, 4, 100000, "MB", "the most that it takes on disk"),
        number("store", kept, "records", &S::records, 100, 10000000, "sessions", "the most that it holds"),
        number("store", kept, "lazy_s", &S::lazy_s, 0.001, 10, "s",
               "what nobody waits for is written so late at most"),
        number("store", kept, "again_s", &S::again_s, 0.05, 60, "s",
               "after a write that failed the next is tried so much later"),
        text("store", kept, "without", &S::without, {"refuse", "serve"},
             "paid set-ups while nothing can be written"),
        number("store", kept, "stale_s", &S::stale_s, 0, 3600, "s",
               "a control feed that is behind the remembered list is believed after so long"),
        number("store", kept, "claim_s", &S::claim_s, 0.5, 600, "s",
               "after a return: what no viewer names within so long is released"),
    };
}

std::vector<Key> recovery_keys() {
    using R = recovery::Settings;
    const auto back = &OperatorSettings::recovery;
    return {
        text("recovery", back, "order", &R::order, {"off", "delay", "strict", "alone", "fleet"},
             "in which service returns after a power loss (docs/design/recovery.md)"),
        text("recovery", back, "uptime_file", &R::uptime_file, {},
             "file that tells how long the machine has been up, s, as its first word"),
        number("recovery", back, "spread_s", &R::spread_s, 1, 3600, "s",
               "machines that lost power at one instant are up again within so long of each other"),
        number("recovery", back, "ask_s", &R::ask_s, 0.1, 60, "s",
               "others are asked who lost power for so long at most"),
        number("recovery", back, "answers_enough", &R::answers_enough, 1, 1000, "answers",
               "that are waited for, or those of half of all agents"),
        number("recovery", back, "list_s", &R::list_s, 0, 600, "s",
               "a list that is not behind is waited for so long at most"),
        number("recovery", back, "probe_s", &R::probe_s, 0, 60, "s",
               "and a first answer of a server so long"),
        number("recovery", back, "paid_s", &R::paid_s, 0, 600, "s",
               "paid classes come alone for so long at most"),
        number("recovery", back, "rest_s", &R::rest_s, 0, 600, "s",
               "and all others are held to a rate for so long at most"),
        number("recovery", back, "rest_from", &R::rest_from, 0.1, 1000, "set-ups",
               "of which so many a second are let in at first, by each agent"),
        number("recovery", back, "calm_s", &R::calm_s, 0, 600, "s",
               "and to none, with the orders alone and fleet, once all has been well for so long"),
        number("recovery", back, "delay_s", &R::delay_s, 0, 600, "s",
               "with the order delay: nobody is let in for so long"),
        number("recovery", back, "stay_away_s", &R::stay_away_s, 0, 60, "s",
               "those turned away meanwhile are told to stay away so long, up to twice that"),
    };
}

// All keys, in the order in which they are explained.
std::vector<Key> keys() {
    std::vector<Key> all = log_keys();
    for (const auto& section : {handover_keys(), fleet_keys(), store_keys(), recovery_keys()})
        all.insert(all.end(), section.begin(), section.end());
    return all;
}

std::string place(const std::string& file, const YAML::Mark& mark, const std::string& key) {
    return file + ":" + std::to_string(mark.line + 1) + ": " + key + ": ";
}

void take_section(OperatorSettings& settings, const std::vector<Key>& table, const std::string& file,
                  const std::string& section, const YAML::Node& node) {
    if (!node.IsMap()) throw OperatorError(place(file, node.Mark(), section) + "expected keys below it");
    std::set<std::string> seen;
    for (const auto& entry : node) {
        const std::string name = entry.first.Scalar(), full = section + "." + name;
        const YAML::Mark mark = entry.first.Mark();
        if (!seen.insert(name).second) throw OperatorError(place(file, mark, full) + "it stands here twice");
        const Key* key = nullptr;
        for (const Key& one : table) {
            if (section == one.section && name == one.name) key = &one;
        }
        if (key == nullptr) throw OperatorError(place(file, mark, full) + "there is no such key");
        try {
            key->take(settings, entry.second);
        } catch (const Wrong& error) {
            throw OperatorError(place(file, mark, full) + error.what());
        }
    }
}

}  // namespace

OperatorSettings read_operator(const std::string& yaml, const std::string& file) {
    const std::vector<Key> table = keys();
    std::set<std::string> sections, seen;
    for (const Key& key : table) sections.insert(key.section);
    OperatorSettings settings;
    try {
        const YAML::Node root = YAML::Load(yaml);
        if (root.IsNull()) return settings;
        if (!root.IsMap()) throw OperatorError(place(file, root.Mark(), "the file") + "expected sections");
        for (const auto& entry : root) {
            const std::string section = entry.first.Scalar();
            const YAML::Mark mark = entry.first.Mark();
            if (!sections.contains(section))
                throw OperatorError(place(file, mark, section) + "there is no such section");
            if (!seen.insert(section).second)
                throw OperatorError(place(file, mark, section) + "it stands here twice");
            take_section(settings, table, file, section, entry.second);
        }
    } catch (const YAML::Exception& error) {
        throw OperatorError(place(file, error.mark, "the file") + "not readable as YAML: " + error.msg);
    }
    if (settings.handover.enabled && settings.handover.key_file.empty())
        throw OperatorError(file + ":1: handover.key_file: expected a file, as handover.enabled is set");
    const fleet::Settings& talk = settings.fleet;
    if (!talk.key_file.empty() && talk.listen.empty())
        throw OperatorError(file + ":1: fleet.listen: expected an address, as fleet.key_file is set");
    if (talk.answer_s >= talk.probe_every_s)
        throw OperatorError(file + ":1: fleet.answer_s: expected less than fleet.probe_every_s");
    for (const std::string& seed : talk.seeds) {
        if (!net::parse_address(seed))
            throw OperatorError(file + ":1: fleet.seeds: expected addresses as 127.0.0.1:2910, got '" + seed +
                                "'");
    }
    return settings;
}

OperatorSettings load_operator(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw OperatorError(path + ":1: the file: expected to be readable");
    return read_operator({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}, path);
}

void explain_operator(std::ostream& out) {
    const OperatorSettings defaults;
    std::string section;
    for (const Key& key : keys()) {
        if (section != key.section) out << (section.empty() ? "" : "\n") << key.section << ":\n";
        section = key.section;
        out << "  # " << key.meaning << " (" << key.unit << ")\n  " << key.name << ": " << key.show(defaults)
            << "\n";
    }
}

}  // namespace jasperspread::ops
