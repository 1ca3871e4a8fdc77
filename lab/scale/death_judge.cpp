#include "lab/scale/death_judge.h"

#include <algorithm>

namespace lab {
namespace {

constexpr double told_for_s = 40;

}  // namespace

DeathJudge::Verdict DeathJudge::judge(int by, int of, std::uint64_t token, double now) const {
    const auto& lives = lives_[index(of)];
    const auto ran = [now](const Life& life) {
        return life.began <= now && (life.ended == 0 || now < life.ended);
    };
    auto life = lives.end();
    if (token != 0)
        life = std::find_if(lives.begin(), lives.end(), [&](const Life& one) { return one.token == token; });
    const bool told = life != lives.end();
    if (!told) life = std::find_if(lives.begin(), lives.end(), ran);
    if (life == lives.end() || !ran(*life)) return Verdict::Found;
    // Perhaps of the life before, whose death is told for so long.
    if (!told && life != lives.begin() && now < life->began + told_for_s) return Verdict::Unclear;
    return was_cut_ && was_cut_(by, of, now) ? Verdict::Cut : Verdict::Wrong;
}

void DeathJudge::report(int by, int of, std::uint64_t token, double now) {
    switch (judge(by, of, token, now)) {
        case Verdict::Found:
            ++counts_.found;
            break;
        case Verdict::Cut:
            ++counts_.cut;
            break;
        case Verdict::Unclear:
            ++counts_.unclear;
            break;
        case Verdict::Wrong: {
            ++counts_.wrong;
            constexpr std::size_t kept = 20;
            if (wrong_ones_.size() < kept)
                wrong_ones_.push_back("agent " + std::to_string(by) + " took agent " + std::to_string(of) +
                                      " for dead, at " + std::to_string(now));
            break;
        }
    }
}

}  // namespace lab
