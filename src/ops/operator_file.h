// The operator file: what an installation switches on beside the platform's configuration. YAML; without one
// every setting has its default and the program is what it is without it. The keys are one table, which is
// also what `jasperspread explain-config` prints.
#pragma once

#include <iosfwd>
#include <stdexcept>
#include <string>

#include "fleet/settings.h"
#include "handover/settings.h"
#include "recovery/settings.h"
#include "store/settings.h"

namespace jasperspread::ops {

struct LogSettings {
    bool json = false;
    std::string level = "info";  // debug, info, warn or err
};

struct OperatorSettings {
    LogSettings log;
    handover::Settings handover;
    fleet::Settings fleet;
    store::Settings store;
    recovery::Settings recovery;
};

// One line: the file, the line in it, the key, and what was expected.
struct OperatorError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

OperatorSettings read_operator(const std::string& yaml, const std::string& file_name);
OperatorSettings load_operator(const std::string& path);  // throws OperatorError also where it can't be read
void explain_operator(std::ostream& out);                 // every key with its default, unit and meaning

}  // namespace jasperspread::ops
