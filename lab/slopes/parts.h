// The parts of the experiment `slopes`, each with the numbers that it measures.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/run/common.h"
#include "lab/slopes/slope.h"

namespace lab {

// Collects the points of several numbers while a size grows.
class SlopeSet {
public:
    // A number of this set; the ones before stay where they are. `x_unit`: what one of x is.
    void add(const std::string& name, const std::string& unit, const std::string& x_unit,
             const std::string& note = "");
    void point(const std::string& name, double x, double y);
    // Fits every number into `result`; one with fewer than three points counts as a violation.
    void finish(Result& result, const std::string& command);

private:
    std::vector<Slope> slopes_;
};

struct SlopePart {
    const char* name;
    void (*run)(const Ask& ask, Result& result);
};
const std::vector<SlopePart>& slope_parts();

void measure_connections(const Ask& ask, Result& result);
void measure_memory(const Ask& ask, Result& result);
void measure_fanout_ended(const Ask& ask, Result& result);
void measure_fanout_gone(const Ask& ask, Result& result);
void measure_fanout_claimed(const Ask& ask, Result& result);
void measure_owed(const Ask& ask, Result& result);
void measure_lists(const Ask& ask, Result& result);
void measure_decisions(const Ask& ask, Result& result);
void measure_membership_calm(const Ask& ask, Result& result);
void measure_membership_lossy(const Ask& ask, Result& result);
void measure_recovery(const Ask& ask, Result& result);

// A folder of its own for each rig: logs are told apart, and a number seen in one is of that life.
std::string fresh_folder(const Ask& ask, const std::string& name);
std::string command_of(const Ask& ask, const std::string& part);

}  // namespace lab
