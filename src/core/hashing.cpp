#include "core/hashing.h"

// The static analyser gets only the library's declarations, because it would report findings in the library's inline code.
#ifndef __clang_analyzer__
#define XXH_INLINE_ALL
#endif
#include <xxhash.h>

namespace KingCup
{

auto stableHash(std::string_view text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), 0);
}

auto rendezvousScore(std::string_view subject, std::string_view member) -> std::uint64_t
{
    return XXH64(member.data(), member.size(), stableHash(subject));
}

auto rendezvousFirst(std::string_view subject, const std::string &self, const std::set<std::string> &others) -> std::string
{
    const auto *best = &self;
    auto bestScore = rendezvousScore(subject, self);
    for (const auto &member : others) {
        const auto score = rendezvousScore(subject, member);
        if (score > bestScore) {
            best = &member;
            bestScore = score;
        }
    }
    return *best;
}

} // namespace KingCup
