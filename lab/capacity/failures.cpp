#include "lab/capacity/failures.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace lab::capacity {
namespace {

constexpr double unbounded = std::numeric_limits<double>::infinity();

// All that one session costs a core, us, beside so many connections: an accept, a set-up, its end told, a
// close.
// The intervals of the four lines are taken for independent.
std::optional<Estimate> session_cpu_us(const Evidence& evidence, double connections) {
    double sum = 0, squares = 0;
    for (const char* name : {"accept_cpu_us", "setup_cpu_us", "told_end_cpu_us", "close_cpu_us"}) {
        const Fit* fit = evidence.find(name);
        if (fit == nullptr) return std::nullopt;
        const Estimate one = estimate_by_line(*fit, connections);
        sum += one.value;
        squares += (one.high - one.value) * (one.high - one.value);
    }
    return Estimate{sum, sum - std::sqrt(squares), sum + std::sqrt(squares), 1};
}

double per_s(double cpu_us, const Sizes& sizes) {
    return cpu_us > 0 ? sizes.at("us_a_s") / cpu_us : unbounded;
}

double back_after_s(const Burden& burden, double borne_per_s, const Sizes& sizes) {
    const double spare = borne_per_s - burden.ordinary_per_s;
    if (spare <= 0) return unbounded;
    const double backlog_s = burden.set_ups_each / spare - sizes.at("return_over_s");
    return sizes.at("front_notices_s") + sizes.at("return_last_s") + std::max(0.0, backlog_s);
}

}  // namespace

void from_json(const nlohmann::json& from, Scene& scene) {
    from.at("what").get_to(scene.what);
    from.at("agents_lost").get_to(scene.agents_lost);
    from.at("servers_lost").get_to(scene.servers_lost);
    from.at("refused").get_to(scene.refused);
    from.at("control").get_to(scene.control);
    from.at("figures").get_to(scene.figures);
}

Burden burden_of(const Scene& scene, const Sizes& sizes, const Evidence& evidence) {
    Burden burden;
    burden.takers = sizes.at("agents") - scene.agents_lost;
    burden.ended = sizes.at("connections_each") * (scene.agents_lost + burden.takers * scene.servers_lost);
    burden.set_ups_each = burden.ended * sizes.at("viewers_return_most") / burden.takers;
    burden.peak_per_s = burden.set_ups_each / sizes.at("return_over_s");
    burden.ordinary_per_s = sizes.at("set_ups_all_per_s") / burden.takers;
    const auto cost = session_cpu_us(evidence, sizes.at("connections") / burden.takers);
    if (!cost) return burden;
    const Estimate borne{per_s(cost->value, sizes), per_s(cost->high, sizes), per_s(cost->low, sizes), 1};
    burden.borne_per_s = borne;
    burden.back_after_s =
        Estimate{back_after_s(burden, borne.value, sizes), back_after_s(burden, borne.high, sizes),
                 back_after_s(burden, borne.low, sizes), 1};
    return burden;
}

}  // namespace lab::capacity
