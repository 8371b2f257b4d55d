// Hashes that every process computes alike: rendezvous ranking and prefix affinity rest on them.
#pragma once

#include <cstdint>
#include <string_view>

namespace KingCup
{

/// xxHash64 of the text.
auto stableHash(std::string_view text) -> std::uint64_t;

/// The score of one member for one subject. Whoever scores highest ranks first; a member that goes moves only its own subjects.
auto rendezvousScore(std::string_view subject, std::string_view member) -> std::uint64_t;

} // namespace KingCup
