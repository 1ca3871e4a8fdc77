#include "lab/scale/death_judge.h"

#include <algorithm>

namespace lab {

DeathJudge::Verdict DeathJudge::judge(int by, int of, std::uint64_t token, double now) const {
    const auto& lives = lives_[index(of)];
    const bool had_death =
        std::any_of(lives.begin(), lives.end(), [](const Life& life) { return life.ended > 0; });
    auto life = lives.end();
    if (token != 0)
        life = std::find_if(lives.begin(), lives.end(), [&](const Life& one) { return one.token == token; });
    const bool told = life != lives.end();
    if (!told && had_death) return lives.back().ended > 0 ? Verdict::Found : Verdict::Unclear;
    const bool ran = !told || life->ended == 0 || now < life->ended;
    if (!ran) return Verdict::Found;
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
