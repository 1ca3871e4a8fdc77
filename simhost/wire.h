// The simulator's wire: lines of text to the types of controller.h and back. Decodes and encodes; decides
// nothing.
#pragma once

#include <cinderfront/controller.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "agent/settings.h"

namespace cinderfront::wire {

using WireError = jasperspread::agent::SettingsError;
using jasperspread::agent::index_of;
using jasperspread::agent::Profile;

// Reads the parts of one line in order. Every reader names what it expected when it throws WireError.
class Parts {
public:
    explicit Parts(std::string_view line) : rest_(line) {}
    std::string_view word(const char* what);
    bool absent();  // takes a lone '-' if it is next
    std::uint64_t whole(const char* what, std::uint64_t max);
    std::uint64_t hex16(const char* what);
    double number(const char* what);
    bool boolean(const char* what);
    std::string_view text();  // all that is left
    void end() const;

private:
    std::string_view rest_;
    bool done_ = false;
};

std::string instance_name(Parts& parts);  // checks the form front_N
Profile parse_profile(std::string_view text);
LoadReport parse_report(std::string_view text);
std::string decode_base64(std::string_view text);
std::string encode_base64(std::string_view bytes);
void append_action(std::string& reply, const std::string& front, const Action& action);

// One unresolved entry of a list: names stay names until an instance with its profile reads them.
struct RawEntry {
    ServerEntry entry;
    std::string zone, kind;
};
RawEntry parse_entry(Parts& parts);

// Decodes the event that `verb` names, its instance already taken off. Lists are the host's own work.
Event parse_event(std::string_view verb, Parts& parts, const Profile& profile);

}  // namespace cinderfront::wire
