#include "host.h"

#include <cmath>
#include <limits>

namespace cinderfront::wire {
namespace {

ListKind list_kind(std::string_view word) {
    if (word == "update") return ListKind::Update;
    if (word == "replace") return ListKind::Replace;
    if (word == "restored") return ListKind::Restored;
    if (word == "unavailable") return ListKind::Unavailable;
    throw WireError("expected update, replace, restored or unavailable, got " + std::string(word));
}

}  // namespace

Host::Instance& Host::instance(const std::string& name) {
    const auto it = instances_.find(name);
    if (it == instances_.end()) throw WireError("expected a running instance, got " + name);
    return it->second;
}

void Host::event(std::string_view line) {
    Parts parts(line);
    const std::string_view verb = parts.word("message name");
    if (entries_left_ > 0) return list_entry(verb, parts);
    if (verb == "INVENTORY") return begin_list(parts);
    if (verb == "M") throw WireError("expected an event, got an M line outside a list");
    if (verb == "MARK") throw WireError("expected EOB before the next MARK");
    const std::string name = instance_name(parts);
    if (verb == "HELLO") return start_instance(name, parts);
    Instance& inst = instance(name);
    if (verb == "POWER_OFF") {
        parts.end();
        instances_.erase(name);
        // What it had answered in this batch is void.
        std::erase_if(reply_, [&](const auto& lines) { return lines.first == name; });
        return;
    }
    const Event parsed = verb == "ENDPOINTS" ? Event(server_list(parts, inst.profile))
                                             : parse_event(verb, parts, inst.profile);
    parts.end();
    actions_.clear();
    inst.controller.handle(now_, parsed, actions_);
    if (actions_.empty()) return;
    auto& lines = reply_.emplace_back(name, std::string()).second;
    for (const Action& action : actions_) append_action(lines, name, action);
}

void Host::begin_list(Parts& parts) {
    filling_ = parts.whole("table", lists_.size() - 1);
    entries_left_ = parts.whole("hosts", 1'000'000);
    parts.end();
    lists_[filling_].emplace();
}

void Host::list_entry(std::string_view verb, Parts& parts) {
    if (verb != "M") throw WireError("expected an M line of the list, got " + std::string(verb));
    lists_[filling_]->push_back(parse_entry(parts));
    parts.end();
    --entries_left_;
}

void Host::start_instance(const std::string& name, Parts& parts) {
    const std::uint64_t seed = parts.whole("seed", std::numeric_limits<std::uint64_t>::max());
    Profile profile = parse_profile(parts.text());
    if (instances_.contains(name)) throw WireError("expected a new instance, got " + name + ", which runs");
    Controller controller(profile.settings, seed);
    instances_.emplace(name, Instance{std::move(profile), std::move(controller)});
}

ServerList Host::server_list(Parts& parts, const Profile& profile) const {
    ServerList list;
    list.kind = list_kind(parts.word("list kind"));
    if (!parts.absent()) parts.whole("rev", std::numeric_limits<std::uint64_t>::max());
    if (list.kind == ListKind::Unavailable) {
        parts.word("table");
        return list;
    }
    const std::size_t table = parts.whole("table", lists_.size() - 1);
    if (!lists_[table]) throw WireError("expected a list sent before, got table " + std::to_string(table));
    for (const RawEntry& raw : *lists_[table]) {
        ServerEntry entry = raw.entry;
        entry.zone = static_cast<std::uint32_t>(index_of(profile.zone_names, raw.zone, "area"));
        entry.kind = static_cast<std::uint32_t>(index_of(profile.kind_names, raw.kind, "sku"));
        list.entries.push_back(entry);
    }
    return list;
}

void Host::run(std::istream& in, std::ostream& out) {
    std::string line;
    std::string batch;
    std::size_t line_no = 0;
    bool open = false;
    try {
        while (std::getline(in, line)) {
            ++line_no;
            if (in.eof()) throw WireError("expected a line end, got the end of input");
            if (!open) {
                if (line.empty()) continue;
                Parts parts(line);
                if (parts.word("MARK") != "MARK") throw WireError("expected MARK to open a batch");
                now_ = parts.number("time");
                batch = std::to_string(parts.whole("batch", std::numeric_limits<std::uint64_t>::max()));
                parts.end();
                open = true;
                reply_.clear();
            } else if (line == "EOB") {
                if (entries_left_ > 0) throw WireError("expected more M lines before EOB");
                for (const auto& lines : reply_) out << lines.second;
                out << "OK " << batch << '\n' << std::flush;
                open = false;
            } else {
                event(line);
            }
        }
        if (open) throw WireError("expected EOB, got the end of input");
    } catch (const WireError& error) {
        throw WireError("line " + std::to_string(line_no) + ": " + error.what());
    }
}

}  // namespace cinderfront::wire
