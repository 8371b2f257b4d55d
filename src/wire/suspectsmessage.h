// What processes tell each other of requests that crash targets, as a message.
#pragma once

#include "core/suspects.h"
#include "wire/messages.h"

namespace KingCup
{

auto toMessage(const SuspectDigest &digest) -> Wire::Suspects;
auto fromMessage(const Wire::Suspects &message) -> SuspectDigest;

} // namespace KingCup
