// Reads what a viewer's set-up message asks. The one place that says which figures of a set-up are sound: a
// figure that is there and is no number, or out of its range, makes the whole set-up unsound.
#pragma once

#include "agent/seam.h"
#include "agent/settings.h"
#include "codec/viewer_codec.h"

namespace jasperspread::agent {

// What a set-up asks, as the decision module takes it; `now` is Unix time, s. Throws codec::CodecError where
// something that is needed is missing, or something that is there is unsound.
SetUp read_set_up(const codec::ViewerMessage& message, const Profile& profile, double now);

}  // namespace jasperspread::agent
