// What whoever starts processes of the program needs: files, descriptors, addresses, and the sections of an
// operator file.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "fleet/settings.h"
#include "net/socket.h"
#include "recovery/settings.h"

namespace lab {

void write_file(const std::string& path, const std::string& text);  // throws std::runtime_error
void make_folder(const std::string& path);                          // the same; one that is there is fine
void take_all_descriptors();                                        // as many as the hard limit allows

// A loopback address of this process alone, with port 0: other laboratories and connections get none there.
jasperspread::net::Address own_loopback_address();

// Such an address with a port that nobody else is given while this object lives: a party that is away for a
// while finds it free when it comes back. Who connects meanwhile is refused.
class ReservedAddress {
public:
    ReservedAddress();  // throws std::system_error
    const jasperspread::net::Address& address() const { return address_; }

private:
    jasperspread::net::Fd fd_;  // bound, and never listens
    jasperspread::net::Address address_;
};

// `settings.key_file`, `listen`, `advertise` (may be empty) and `seeds` are this agent's own.
void write_fleet_section(std::ostream& yaml, const jasperspread::fleet::Settings& settings);
void write_recovery_section(std::ostream& yaml, const jasperspread::recovery::Settings& settings);

}  // namespace lab
