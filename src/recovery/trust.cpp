#include "trust.h"

#include <algorithm>
#include <array>
#include <limits>

namespace jasperspread::recovery {
namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double by_length = -1;  // ages out with its own length

struct Row {
    Thing thing;
    std::string_view name;
    // Where this process, its machine, its building (a server there, a server elsewhere) or all died.
    Trust process, machine, building_here, building_there, all;
    double ages_out_s;
};

constexpr Trust fact = Trust::Fact, hint = Trust::Hint, none = Trust::Void;

// Prices and health fade in the decision module by the same times (src/policy/state.h).
constexpr std::array table = {
    Row{Thing::Incarnation, "incarnation", fact, fact, fact, fact, fact, never},
    Row{Thing::PaidSetUp, "paid_set_up", fact, fact, fact, fact, fact, never},
    Row{Thing::OwedOutcome, "owed_outcome", fact, fact, fact, fact, fact, never},
    Row{Thing::Revision, "revision", fact, fact, fact, fact, fact, never},
    Row{Thing::List, "list", hint, hint, hint, hint, hint, 3600},
    Row{Thing::Session, "session", hint, hint, none, hint, none, by_length},
    Row{Thing::FreeSetUp, "free_set_up", none, none, none, none, none, never},
    Row{Thing::ServerHealth, "server_health", hint, none, none, none, none, 20},
    Row{Thing::ServerStart, "server_start", fact, fact, none, fact, none, by_length},
    Row{Thing::Price, "price", hint, none, none, none, none, 8},
    Row{Thing::BudgetPart, "budget_part", none, none, none, none, none, never},
};

const Row& row_of(Thing thing) {
    return *std::find_if(table.begin(), table.end(), [&](const Row& row) { return row.thing == thing; });
}

}  // namespace

std::string_view name_of(Thing thing) {
    return row_of(thing).name;
}

Trust trust(const Memory& memory, Scope scope) {
    const Row& row = row_of(memory.thing);
    const double most = row.ages_out_s == by_length ? memory.length_s : row.ages_out_s;
    const bool known_age = memory.age_s.has_value() && *memory.age_s >= 0;
    if (most < never && (!known_age || *memory.age_s > most)) return Trust::Void;
    switch (scope) {
        case Scope::Process:
            return row.process;
        case Scope::Machine:
            return row.machine;
        case Scope::Building:
            return memory.server_here ? row.building_here : row.building_there;
        case Scope::All:
            return row.all;
    }
    return Trust::Void;
}

SessionDecision session_decision(Trust trust, const SessionWords& words) {
    if (words.taken_over) return SessionDecision::Leave;
    const bool there = words.server == ServerWord::Plays || words.server == ServerWord::Holds;
    if (words.viewer_elsewhere)
        return words.server == ServerWord::Unknown ? SessionDecision::Leave : SessionDecision::Release;
    if (words.unclaimed)
        return words.server == ServerWord::Unknown ? SessionDecision::Over : SessionDecision::Release;
    if (trust == Trust::Void) return there ? SessionDecision::OverReleased : SessionDecision::Over;
    if (words.server == ServerWord::Plays) return SessionDecision::Keep;
    if (words.server == ServerWord::Unknown) return SessionDecision::Over;
    return words.waited ? SessionDecision::OverReleased : SessionDecision::Ask;
}

PaidDecision paid_decision(ServerWord server, bool viewer_waits, bool waited) {
    switch (server) {
        case ServerWord::Plays:
            return viewer_waits ? PaidDecision::Standing : PaidDecision::Released;
        case ServerWord::Unknown:
            return PaidDecision::Failed;
        default:
            // Held and not begun, or silent: it may yet begin. In the end it has failed, whatever became of
            // it.
            return waited ? PaidDecision::Released : PaidDecision::Ask;
    }
}

bool may_take_new(Trust remembered, const ListWords& words) {
    if (!words.feed_up.value_or(false)) return false;
    const bool behind = words.feed_revision < words.remembered_revision && remembered != Trust::Void;
    if (!behind || words.waited) return true;
    // A feed that is behind adds nothing: only what both call up.
    return words.remembered_up.value_or(false);
}

}  // namespace jasperspread::recovery
