// What kind of message a datagram between agents holds, read past its seal without opening it.
#pragma once

#include <optional>
#include <string_view>

#include "fleet/message.h"

namespace lab {

// nullopt for a datagram of another form. Proves nothing: the seal is not checked.
std::optional<jasperspread::fleet::Kind> kind_of(std::string_view datagram);

}  // namespace lab
