#include "common.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace lab {

double figure(const Result& result, const std::string& name) {
    for (const auto& [key, value] : result.figures) {
        if (key == name) return value;
    }
    throw std::out_of_range("there is no figure " + name);
}

double part(std::vector<double> values, double which) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(which * last))];
}

void add_ledger(Result& result, const Ledger& ledger, const std::string& where) {
    for (const std::string& what : ledger.violations()) result.violations.push_back(where + ": " + what);
}

double worth_part(const Ledger& ledger) {
    const auto& sums = ledger.sums();
    return sums.worth_offered > 0 ? sums.worth_earned / sums.worth_offered : 0;
}

double arrivals_for(const WorldPlan& plan, double load) {
    double scale = 0;
    for (const ClassPlan& cls : plan.classes) scale += cls.scale / static_cast<double>(plan.classes.size());
    const double middle = plan.ladder_kb[plan.ladder_kb.size() / 2] * scale;
    return load * plan.all_links_kb() / (middle * plan.life_s);
}

}  // namespace lab
