// Reads what a viewer's set-up message asks.
#pragma once

#include "agent/seam.h"
#include "agent/settings.h"
#include "codec/viewer_codec.h"

namespace jasperspread::agent {

// What a set-up asks, as the decision module takes it; `now` is Unix time, s. Throws codec::CodecError where
// something that is needed is missing or can't be used.
SetUp read_set_up(const codec::ViewerMessage& message, const Profile& profile, double now);

}  // namespace jasperspread::agent
