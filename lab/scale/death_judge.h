// Tells reports of deaths that were none from true ones, and from those that a cut link explains.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lab {

class DeathJudge {
public:
    // `token`: of the life that runs now; 0 where it is not known.
    struct Life {
        std::uint64_t token = 0;
        double began = 0, ended = 0;  // ended 0: it runs
    };
    explicit DeathJudge(int agents) : lives_(static_cast<std::size_t>(agents)) {}

    void starts(int agent, double now) { lives_[index(agent)].push_back({0, now, 0}); }
    void token(int agent, std::uint64_t token) { lives_[index(agent)].back().token = token; }
    void dies(int agent, double now) {
        if (!lives_[index(agent)].empty()) lives_[index(agent)].back().ended = now;
    }
    // Whether two agents can't hear each other, or could not until a short while ago.
    void cut_by(std::function<bool(int one, int other, double now)> was_cut) {
        was_cut_ = std::move(was_cut);
    }
    // `token` of the life that is said to have died; 0: not known.
    void report(int by, int of, std::uint64_t token, double now);

    struct Counts {
        std::uint64_t found = 0;    // true deaths, over all who reported them
        std::uint64_t wrong = 0;    // of a life that ran and could be reached
        std::uint64_t cut = 0;      // of a life that ran, beyond a cut or just after it
        std::uint64_t unclear = 0;  // of a name that came back a short while ago, its life not told
    };
    const Counts& counts() const { return counts_; }
    const std::vector<std::string>& wrong_ones() const { return wrong_ones_; }  // the first, in words

private:
    enum class Verdict { Found, Wrong, Cut, Unclear };
    Verdict judge(int by, int of, std::uint64_t token, double now) const;
    static std::size_t index(int agent) { return static_cast<std::size_t>(agent); }

    std::vector<std::vector<Life>> lives_;
    std::function<bool(int, int, double)> was_cut_;
    Counts counts_;
    std::vector<std::string> wrong_ones_;
};

}  // namespace lab
