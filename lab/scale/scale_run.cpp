#include "lab/scale/scale_run.h"

#include <random>

namespace lab {
namespace {

constexpr double change_after_s = 1;  // the first of a scene
constexpr double back_least_s = 0.3, back_most_s = 2;
constexpr double restarts_end_s = 3;  // so long before the end of their scene
constexpr double just_booted_s = 5;   // how long a machine has been up that lost power
constexpr double long_up_s = 1e6;

DeathJudge::Counts since(const DeathJudge::Counts& before, const DeathJudge::Counts& now) {
    return {now.found - before.found, now.wrong - before.wrong, now.cut - before.cut,
            now.unclear - before.unclear};
}

class Player {
public:
    explicit Player(ScaleWorld& world) : world_(world), random_(world.plan().seed * 31 + 7) {}

    // What the fault is, and what ends it.
    void begin(const Scene& scene);
    void end(const Scene& scene);
    // Changes while it lasts; then waits until all agree.
    SceneOutcome play(const Scene& scene);
    void wait_for_agreement(SceneOutcome& outcome);

private:
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    void restart_one_by_one(const Scene& scene);

    ScaleWorld& world_;
    std::mt19937_64 random_;
};

void Player::restart_one_by_one(const Scene& scene) {
    const double over_s = scene.lasts_s - restarts_end_s;
    for (const int agent : scene.agents) {
        const double at = uniform() * over_s, back = back_least_s + uniform() * (back_most_s - back_least_s);
        world_.after(at, [this, agent] { world_.kill(agent); });
        world_.after(at + back, [this, agent] { world_.start(agent, long_up_s); });
    }
}

void Player::begin(const Scene& scene) {
    switch (scene.kind) {
        case SceneKind::Restarts:
            return restart_one_by_one(scene);
        case SceneKind::Zone:
            world_.feed_down(scene.zone);
            [[fallthrough]];
        case SceneKind::Rack:
            for (const int agent : scene.agents) world_.kill(agent);
            return;
        case SceneKind::Regions:
            return world_.cut_regions(true);
        case SceneKind::Feed:
            return world_.feed_down(scene.zone);
    }
}

void Player::end(const Scene& scene) {
    switch (scene.kind) {
        case SceneKind::Restarts:
            return;
        case SceneKind::Zone:
            world_.feed_up(scene.zone);
            [[fallthrough]];
        case SceneKind::Rack:
            for (const int agent : scene.agents) world_.start(agent, just_booted_s);
            return;
        case SceneKind::Regions:
            return world_.cut_regions(false);
        case SceneKind::Feed:
            return world_.feed_up(scene.zone);
    }
}

void Player::wait_for_agreement(SceneOutcome& outcome) {
    outcome.whole = world_.now();
    outcome.agreed = world_.run_until([this] { return world_.all_agree() && world_.all_by_latest_change(); },
                                      world_.plan().agree_s);
    outcome.ended = world_.now();
    if (outcome.agreed) return;
    for (const int agent : world_.changes().without_latest())
        outcome.left_open.push_back("agent " + std::to_string(agent) + " goes by change " +
                                    std::to_string(world_.changes().latest(agent)) + " of " +
                                    std::to_string(world_.changes().told()));
    for (const int agent : world_.in_doubt())
        outcome.left_open.push_back("agent " + std::to_string(agent) + " takes " +
                                    std::to_string(world_.sample(agent).present) + " of " +
                                    std::to_string(world_.running()) + " for there");
}

SceneOutcome Player::play(const Scene& scene) {
    SceneOutcome outcome;
    outcome.name = name_of(scene.kind);
    outcome.began = world_.now();
    outcome.killed = scene.agents.size();
    const auto deaths = world_.deaths().counts();
    begin(scene);
    world_.run_for(change_after_s);
    world_.change();
    world_.run_for((scene.lasts_s - change_after_s) / 2);
    world_.change();
    world_.run_for((scene.lasts_s - change_after_s) / 2);
    end(scene);
    world_.change();
    wait_for_agreement(outcome);
    outcome.deaths = since(deaths, world_.deaths().counts());
    return outcome;
}

}  // namespace

ScaleOutcome play_scale(ScaleWorld& world) {
    ScaleOutcome outcome;
    Player player(world);
    const ScalePlan& plan = world.plan();
    outcome.began = world.now();
    outcome.start.name = "start";
    outcome.start.began = world.now();
    player.wait_for_agreement(outcome.start);
    while (world.now() < outcome.began + plan.starts_s)
        world.run_for(outcome.began + plan.starts_s - world.now());
    outcome.start.deaths = world.deaths().counts();
    outcome.baseline = world.now();
    for (int agent = 0; agent < plan.agents(); ++agent) {
        outcome.at_baseline.push_back(world.sample(agent));
        if (plan.is_real(agent)) outcome.sent_at_baseline.push_back(world.sent_by_real(agent));
    }
    Scene calm;
    calm.lasts_s = plan.calm_s;
    outcome.calm = player.play(calm);
    outcome.calm.name = "calm";
    for (const Scene& scene : plan.scenes) outcome.scenes.push_back(player.play(scene));
    world.change();
    world.run_until([&] { return world.all_by_latest_change(); }, plan.agree_s);
    outcome.ended = world.now();
    return outcome;
}

}  // namespace lab
