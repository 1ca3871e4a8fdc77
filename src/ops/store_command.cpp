#include "store_command.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

#include "codec/message.h"
#include "store/sqlite/sqlite_store.h"

namespace jasperspread::ops {
namespace {

const char* word_for(store::Phase phase) {
    return phase == store::Phase::Intent ? "may have run" : "stood";
}

}  // namespace

StoreCommand::StoreCommand(CLI::App& app) {
    all_ = app.add_subcommand("store", "look after a store, while no agent runs on it");
    all_->require_subcommand(1);
    check_ = all_->add_subcommand("check", "say whether it is sound; status 1 if not");
    dump_ = all_->add_subcommand("dump", "print what it holds, a line each");
    export_ = all_->add_subcommand("export", "print what it holds as JSON, one object a line");
    compact_ = all_->add_subcommand("compact", "give back the room of what was erased");
    for (CLI::App* one : {check_, dump_, export_, compact_})
        one->add_option("folder", folder_, "store.folder of the operator file")->required();
}

bool StoreCommand::wanted() const {
    return all_->parsed();
}

int StoreCommand::run(std::ostream& out) const {
    store::Settings settings;
    settings.folder = folder_;
    store::SqliteStore file(settings, "", store::SqliteStore::Use::Look);
    if (compact_->parsed()) {
        file.compact();
        out << folder_ << ": compact\n";
        return 0;
    }
    if (check_->parsed()) {
        const std::string wrong = file.check();
        out << folder_ << ": " << (wrong.empty() ? "sound" : wrong) << "\n";
        return wrong.empty() ? 0 : 1;
    }
    const store::Found found = file.load("");
    if (dump_->parsed()) {
        out << "agent " << found.before.name << ", " << found.before.starts << " starts, "
            << found.sessions.size() << " sessions, " << found.damaged << " damaged, list of revision "
            << found.list.revision << "\n";
    } else {
        out << nlohmann::json{{"agent", found.before.name},
                              {"lives", found.before.starts},
                              {"boot", found.before.boot},
                              {"list_revision", found.list.revision}}
            << "\n";
    }
    for (const store::SessionRecord& one : found.sessions) {
        const std::string id = codec::to_hex(one.id);
        if (dump_->parsed()) {
            out << id << " " << word_for(one.phase) << " at " << one.server << ", " << one.class_name
                << (one.paid ? ", paid" : "") << ", incarnation " << one.incarnation << "\n";
        } else {
            out << nlohmann::json{{"session", id},           {"phase", word_for(one.phase)},
                                  {"paid", one.paid},        {"server", one.server},
                                  {"class", one.class_name}, {"title", one.title},
                                  {"life", one.incarnation}, {"at", one.at}}
                << "\n";
        }
    }
    return 0;
}

}  // namespace jasperspread::ops
