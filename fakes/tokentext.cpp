#include "fakes/tokentext.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace KingCup
{

namespace
{
constexpr std::uint64_t HashRange = 0xffff;
}

auto tokenText(const std::string &artifact, const std::string &prompt, int index) -> std::string
{
    const auto seed = XXH3_64bits_withSeed(prompt.data(), prompt.size(), XXH3_64bits(artifact.data(), artifact.size()));
    const auto hash = XXH3_64bits_withSeed(&index, sizeof index, seed) & HashRange;
    return std::to_string(index) + ":" + std::to_string(hash) + " ";
}

} // namespace KingCup
