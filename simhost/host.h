// Keeps one controller for each front and plays batches of the wire through them. Instances share nothing.
#pragma once

#include <cinderfront/controller.h>

#include <array>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "wire.h"

namespace cinderfront::wire {

class Host {
public:
    // Reads batches until the input ends. Throws WireError, with the line's number, on what is malformed.
    void run(std::istream& in, std::ostream& out);

private:
    struct Instance {
        Profile profile;
        Controller controller;
    };
    void event(std::string_view line);
    void begin_list(Parts& parts);
    void list_entry(std::string_view verb, Parts& parts);
    void start_instance(const std::string& name, Parts& parts);
    ServerList server_list(Parts& parts, const Profile& profile) const;
    Instance& instance(const std::string& name);

    double now_ = 0;
    std::size_t entries_left_ = 0;
    std::size_t filling_ = 0;
    std::array<std::optional<std::vector<RawEntry>>, 16> lists_;
    std::map<std::string, Instance> instances_;
    std::vector<std::pair<std::string, std::string>> reply_;  // instance and its lines, event by event
    std::vector<Action> actions_;
};

}  // namespace cinderfront::wire
