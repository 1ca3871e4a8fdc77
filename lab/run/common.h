// What the experiments share: sums over a run, and arrivals that fill a part of the links.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "lab/model/faults.h"
#include "lab/model/ledger.h"
#include "lab/run/experiments.h"

namespace lab {

double figure(const Result& result, const std::string& name);  // throws std::out_of_range
double part(std::vector<double> values, double which);         // the quantile; 0 where there are none
void add_ledger(Result& result, const Ledger& ledger, const std::string& where);
double worth_part(const Ledger& ledger);  // earned, of what was wanted
// Arrivals that would fill this part of all links at the middle rate.
double arrivals_for(const WorldPlan& plan, double load);

struct Uniform {
    std::mt19937_64 random;
    double operator()() { return static_cast<double>(random() >> 11) * 0x1p-53; }
    int below(int most) { return static_cast<int>(random() % static_cast<std::uint64_t>(most)); }
};

WorldPlan handover_plan(std::uint64_t seed, bool with);  // one agent on sockets; the demo's too

}  // namespace lab
