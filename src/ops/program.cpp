#include "program.h"

#include <signal.h>
#include <sys/resource.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

#include "agent/agent.h"
#include "keys/mac_keys.h"
#include "ops/command_line.h"
#include "ops/log_sink.h"
#include "ops/operator_file.h"
#include "ops/signals.h"
#include "store/sqlite/writer.h"

namespace jasperspread::ops {
namespace {

agent::Config load_config(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw agent::SettingsError("expected a readable configuration at " + path);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return agent::read_config(text);
}

std::string text_of(const std::string& path, const std::string& key) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw OperatorError(key + ": expected a readable file");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The text of a file that holds keys. Throws where it can't be used.
std::string key_of(const std::string& path, const std::string& key) {
    std::string text = text_of(path, key);
    try {
        keys::MacKeys check(text);
    } catch (const keys::KeyError& error) {
        throw OperatorError(key + ": " + error.what());
    }
    return text;
}

// What the operator file orders; nullopt where it is off. Throws where the key can't be used.
std::optional<agent::HandoverOrder> handover_order(const OperatorSettings& settings) {
    if (!settings.handover.enabled) return std::nullopt;
    return agent::HandoverOrder{settings.handover, key_of(settings.handover.key_file, "handover.key_file")};
}

// The same for the talk with other agents.
std::optional<agent::PeerOrder> peer_order(const OperatorSettings& settings) {
    if (settings.fleet.key_file.empty()) return std::nullopt;
    return agent::PeerOrder{settings.fleet, key_of(settings.fleet.key_file, "fleet.key_file")};
}

// How long the machine has been up, s. A file that can't be read, or says nothing, is as good as a machine
// that has been up for ever: then nobody takes this for a return from a power loss.
double uptime_of(const std::string& path) {
    std::ifstream file(path);
    double seconds = 0;
    if (!(file >> seconds) || !(seconds >= 0)) return 1e9;
    return seconds;
}

// How it comes back, where that is ordered or others may ask; nullopt where nobody cares.
std::optional<agent::RecoveryOrder> recovery_order(const OperatorSettings& settings,
                                                   const agent::MemoryOrder* memory) {
    const bool remembers = memory != nullptr, staged = settings.recovery.order != "off";
    if (!remembers && !staged && settings.fleet.key_file.empty()) return std::nullopt;
    agent::RecoveryOrder order;
    order.settings = settings.recovery;
    if (remembers) order.boot = memory->boot;
    if (remembers) order.boot_before = memory->found.before.boot;
    order.machine_s = uptime_of(settings.recovery.uptime_file);
    order.asks_scope = remembers && memory->found.before.starts > 0;
    return order;
}

OperatorSettings ordered(const Command& command) {
    return command.operator_file.empty() ? OperatorSettings{} : load_operator(command.operator_file);
}

// Holds the process to the descriptors that it was given, so that running out shows here first.
void limit_descriptors(std::size_t most) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max < most ? limit.rlim_max : most;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void serve(const Command& command, agent::Config config, agent::Between* between) {
    net::SystemKernel kernel;
    net::Loop loop(kernel);
    const OperatorSettings settings = ordered(command);
    const auto order = handover_order(settings);
    const auto peers = peer_order(settings);
    LogSink log(settings.log, [&] { return kernel.now(); });
    // Opened before anything listens: another process that holds it must not find us serving.
    std::optional<agent::MemoryOrder> memory;
    std::unique_ptr<store::Writer> writer;
    if (!settings.store.folder.empty()) {
        auto file =
            std::make_unique<store::SqliteStore>(settings.store, config.name, store::SqliteStore::Use::Serve);
        memory.emplace();
        memory->settings = settings.store;
        memory->boot = text_of(settings.store.boot_file, "store.boot_file");
        while (memory->boot.ends_with('\n')) memory->boot.pop_back();
        memory->found = file->load(memory->boot);
        writer = std::make_unique<store::Writer>(loop, std::move(file));
        memory->disk = writer.get();
    }
    std::function<void(int)> told;  // a signal that comes before it is there waits for the loop's first turn
    Signals signals(loop, [&](int signal) { told(signal); });
    agent::Agent agent(loop, log, std::move(config), between, memory ? &*memory : nullptr);
    if (order) agent.hand_over(*order);
    if (const auto back = recovery_order(settings, memory ? &*memory : nullptr)) agent.recover(*back);
    if (peers) agent.talk(*peers);
    told = [&](int signal) {
        if (signal != SIGHUP) return agent.ask_to_end();
        // Guards against a file that is half written or wrong: the program goes on with what it has.
        try {
            const OperatorSettings fresh = ordered(command);
            const auto fresh_order = handover_order(fresh);
            const auto fresh_peers = peer_order(fresh);
            agent.reread(load_config(command.config));
            log.change(fresh.log);
            if (fresh_order) agent.hand_over(*fresh_order);
            if (fresh_peers && peers) agent.talk(*fresh_peers);
            if (fresh_peers.has_value() != peers.has_value())
                log.warn("fleet_stays_as_it_was_until_the_next_start");
            if (fresh.store.folder != settings.store.folder)
                log.warn("store_stays_as_it_was_until_the_next_start");
            if (!fresh_order && order) log.warn("handover_stays_on_until_the_next_start");
        } catch (const std::exception& error) {
            log.warn("reread_failed_keeps_old", {{"why", error.what()}});
        }
    };
    do {
        loop.turn();
    } while (!agent.over());
}

}  // namespace

int run_program(int argc, char** argv, agent::Between* between) {
    signal(SIGPIPE, SIG_IGN);
    int status = 0;
    const auto command = read_command_line(argc, argv, status);
    if (!command) return status;
    try {
        block_signals();
        agent::Config config = load_config(command->config);
        limit_descriptors(config.descriptors);
        serve(*command, std::move(config), between);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasperspread: %s\n", error.what());
        return 2;
    }
    return 0;
}

}  // namespace jasperspread::ops
