// Clients that keep to no protocol: they send what can't be read, stop in the middle, repeat, fall silent,
// and break off. Nothing is owed to them; they must harm nobody else.
#pragma once

#include <random>
#include <string>

#include "lab/model/party.h"

namespace lab {

class BadClients final : public Party {
public:
    // At this agent, until the object goes. `class_name`: one that the agent's settings name.
    BadClients(jasperspread::net::Loop& loop, const jasperspread::net::Address& agent, std::string class_name,
               std::uint64_t seed);
    ~BadClients() override { drop_all(); }

    std::uint64_t acts() const { return acts_; }

private:
    std::size_t heard(std::uint64_t, std::string_view bytes) override { return bytes.size(); }
    void opened(Connection& connection) override;
    void come();
    std::string set_up(std::uint64_t id, const std::string& home) const;
    std::string flood();
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    const jasperspread::net::Address agent_;
    const std::string class_name_;
    std::mt19937_64 random_;
    std::uint64_t acts_ = 0;
    jasperspread::net::Timer timer_;
};

}  // namespace lab
