// What lesson servers' messages mean to the agent: the causes of releases, as PROTOCOL words them, and
// reports of load.
#pragma once

#include <cinderfront/controller.h>

#include <cstdint>
#include <optional>
#include <string>

#include "agent/seam.h"
#include "codec/server_codec.h"

namespace jasperspread::agent {

constexpr int cause_ok = 16, cause_cancelled = 31, cause_full = 34, cause_error = 47, cause_moot = 102;

// How an attempt, or a session that stood, has ended by this release.
cinderfront::Ending ending_of_attempt(const codec::ServerMessage& message);
cinderfront::Ending ending_of_session(const codec::ServerMessage& message);

// A message without fields.
codec::ServerMessage word(codec::ServerVerb verb, SessionId id, std::optional<int> cause = std::nullopt);

// A field that holds a whole number; 0 where it is not there or can't be one.
std::uint64_t whole(const std::string* text);

// "x0:12;x1:40" with the names of the settings; fields that this program does not know are passed over.
cinderfront::LoadReport read_load(const std::string& text);
cinderfront::LoadReport load_of(const codec::ServerMessage& message);

}  // namespace jasperspread::agent
