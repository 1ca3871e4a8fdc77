// Power losses played on any world, and what they are measured by: service against time.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "lab/run/common.h"

namespace lab {

// What is served, s after s: worth earned a second, and what the servers that are up could give by then,
// taken from the service before the first loss.
class ServiceCurve {
public:
    struct Point {
        double at = 0, served = 0, could = 0;
    };
    void before(double worth_per_s) { usual_ = worth_per_s; }
    void point(double at, double served, double up_part) {
        points_.push_back({at, served, usual_ * up_part});
    }
    // From `from` on: after how long this part of what could be given is served, and stays so for a second.
    double reaches(double part, double from, double until) const;
    // Of the service before the first loss, what was served from then on: unlike worth over what is wanted it
    // does not rise because viewers have left for good.
    double kept() const;
    const std::vector<Point>& points() const { return points_; }

private:
    double usual_ = 0;
    std::vector<Point> points_;
};

struct PowerRun {
    Result result;  // figures and violations
    ServiceCurve curve;
};

// Turns the plan's agents into such as remember, talk and come back in this order; "none": they do nothing of
// it.
void with_recovery(WorldPlan& plan, const std::string& order);

// `all` losses of everything and `building` of one building in turn, each with some seconds to come back.
struct PowerPlan {
    std::uint64_t seed = 1;
    int all = 3, building = 3, kills_between = 2;
    double every_s = 16, fills_s = 20, usual_s = 10;  // the last two: before the first
    double never_part = 0;
    bool again_in_recovery = false;  // power fails once more while the agents come back
};

template <typename AnyWorld>
PowerRun play_power(AnyWorld& world, const PowerPlan& plan);

extern template PowerRun play_power(class SimWorld&, const PowerPlan&);
extern template PowerRun play_power(class SocketWorld&, const PowerPlan&);

// The worlds of the experiments and of the tests.
WorldPlan power_processes_plan(std::uint64_t seed, int agents);

}  // namespace lab
