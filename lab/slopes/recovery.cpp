// What the sessions that an agent remembers cost it when it returns: until it listens, and until it is
// settled what became of each.
#include <algorithm>
#include <fstream>

#include "lab/slopes/parts.h"
#include "lab/slopes/process_cost.h"
#include "lab/slopes/rig.h"
#include "recovery/reconciliation.h"
#include "store/sqlite/sqlite_store.h"

namespace lab {
namespace {

namespace store = jasperspread::store;

constexpr int remembered[] = {1000, 5000, 10000, 20000, 40000, 60000};
constexpr double claim_s = 2;  // viewers have so long to name their sessions; here none does

void write_store(const std::string& folder, int sessions, double now) {
    constexpr int batch_size = 5000;
    store::Settings settings;
    settings.folder = folder;
    store::SqliteStore file(settings, "n0", store::SqliteStore::Use::Serve);
    file.load("boot 0");
    for (int written = 0; written < sessions;) {
        std::vector<store::Change> batch;
        for (int i = 0; i < batch_size && written < sessions; ++i) {
            const auto id = static_cast<store::SessionId>(++written);
            const store::SessionRecord record{id,       store::Phase::Standing, false, server_id(0),
                                              "replay", "7f3a9c21e0b4d655",     1,     now};
            batch.push_back({id, encode(record)});
        }
        if (file.apply(batch) != store::Fault::None) throw std::runtime_error("the store can't be written");
    }
}

std::string operator_file(const std::string& folder) {
    std::ofstream(folder + "/boot") << "boot 0";
    std::string path = folder + "/operator.yaml";
    std::ofstream(path) << "store:\n  folder: " << folder << "\n  boot_file: " << folder
                        << "/boot\n  claim_s: " << claim_s << "\n";
    return path;
}

struct Return {
    double listens_s = 0, listens_processor_s = 0, settled_s = 0, processor_s = 0, peak_bytes = 0;
};

Return measure(const Ask& ask, int sessions, Result& result) {
    const std::string folder = fresh_folder(ask, "recovery-" + std::to_string(sessions));
    jasperspread::net::SystemKernel kernel;
    write_store(folder, sessions, kernel.now());
    const std::string settings = operator_file(folder);
    Return measured;
    const double began = kernel.now();
    AgentRig rig({ask.program, folder, false, 1, false, settings});
    measured.listens_s = rig.now() - began;
    measured.listens_processor_s = rig.processor_s();
    constexpr double longest_s = 60;
    if (!rig.run_until([&] { return rig.process().logged(" returned ") > 0; }, longest_s))
        result.violations.push_back("recovery of " + std::to_string(sessions) + " is not settled");
    measured.settled_s = rig.now() - began - claim_s;
    rig.settle();
    measured.processor_s = rig.processor_s();
    measured.peak_bytes = static_cast<double>(rig.process().memory_kb()) * 1024;
    return measured;
}

// How long an agent that returns asks all others about its sessions, were it given the time, where every
// answer comes at once; in virtual time.
double asks_all_s(int sessions) {
    namespace recovery = jasperspread::recovery;
    constexpr int others = 449;
    recovery::ReconciliationSettings settings;
    settings.claim_s = 1e6;
    recovery::Reconciliation reconciliation(settings, 0);
    for (int id = 1; id <= sessions; ++id)
        reconciliation.remember(static_cast<recovery::SessionId>(id), false, recovery::Trust::Hint);
    std::vector<std::string> peers;
    peers.reserve(others);
    for (int peer = 0; peer < others; ++peer) peers.push_back("n" + std::to_string(peer));
    double now = 0;
    for (;; now += settings.ask_every_s) {
        const auto questions = reconciliation.ask(peers, now);
        if (questions.empty()) return now;
        for (const auto& one : questions) reconciliation.told(one.peer, one.number, {});
    }
}

}  // namespace

void measure_recovery(const Ask& ask, Result& result) {
    SlopeSet set;
    set.add("recovery_ready_s", "s", "session", "from its start until the program listens");
    set.add("recovery_ready_cpu_s", "s", "session", "processor time until it listens");
    set.add("recovery_settled_s", "s", "session",
            "from its start until each session is settled, less the 2 s in which viewers may claim");
    set.add("recovery_cpu_s", "s", "session", "processor time until all is settled and said");
    set.add("recovery_memory_bytes", "B", "session", "largest resident memory");
    set.add("recovery_asks_all_s", "s", "session",
            "virtual time in which 449 others could all be asked of each session; 8 s is what is given");
    for (const int sessions : {500, 1000, 2000, 4000, 8000})
        set.point("recovery_asks_all_s", sessions, asks_all_s(sessions));
    for (const int sessions : remembered) {
        const Return one = measure(ask, sessions, result);
        set.point("recovery_ready_s", sessions, one.listens_s);
        set.point("recovery_ready_cpu_s", sessions, one.listens_processor_s);
        set.point("recovery_settled_s", sessions, one.settled_s);
        set.point("recovery_cpu_s", sessions, one.processor_s);
        set.point("recovery_memory_bytes", sessions, one.peak_bytes);
    }
    set.finish(result, command_of(ask, "recovery"));
}

}  // namespace lab
