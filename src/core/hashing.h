// Hashes that are the same in every process, as rendezvous hashing and prefix affinity require.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace KingCup
{

/// xxHash64 of the text, with seed 0.
auto stableHash(std::string_view text) -> std::uint64_t;

/// Rendezvous (highest random weight) hashing: the score of one member for one subject. The member with the highest score ranks first. When a member
/// goes away, only the subjects that it ranked first for move to others.
auto rendezvousScore(std::string_view subject, std::string_view member) -> std::uint64_t;
/// The member that ranks first for the subject, among `self` and `others`.
auto rendezvousFirst(std::string_view subject, const std::string &self, const std::set<std::string> &others) -> std::string;

} // namespace KingCup
