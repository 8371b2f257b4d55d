// How gateways encode to each other, and in the store, what they know of suspected requests and prompt parts (core/crashrepeats.h).
#pragma once

#include "core/crashrepeats.h"
#include "wire/messages.h"

namespace KingCup
{

auto writeMessage(const CrashMessage &message, Wire::CrashReport &report) -> void;
auto messageOf(const Wire::CrashReport &report) -> CrashMessage;

} // namespace KingCup
