// Converts the digest of suspects (requests that crash targets), which processes exchange, to and from its message.
#pragma once

#include "core/suspects.h"
#include "wire/messages.h"

namespace KingCup
{

auto toMessage(const SuspectDigest &digest) -> Wire::Suspects;
auto fromMessage(const Wire::Suspects &message) -> SuspectDigest;

} // namespace KingCup
