// Estimates which prompt prefixes an engine has in its KV cache, from this gateway's sends and the digests of other gateways. No I/O. The engine
// evicts the least recently used parts when its memory is full.
//
// A cached part is usable only if all parts before it are cached too, so a part is identified by a hash chained over all parts up to it.
#pragma once

#include "core/units.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCup
{

/// One part of a prompt. Requests that share a part and all parts before it can share the engine's cached state of that part.
struct PromptPart {
    std::uint64_t id = 0;
    int tokens = 0;

    auto operator==(const PromptPart &) const -> bool = default;
};

/// Identifies a part together with all parts before it, for one model and adapter.
struct PromptChain {
    std::uint64_t hash = 0;
    int tokens = 0; ///< length of the last part only
};

/// The chains of a prompt, shortest first. `model` names model and adapter: cached state can't be shared between different ones.
auto promptChains(const std::string &model, const std::vector<PromptPart> &parts) -> std::vector<PromptChain>;

class PromptCache
{
public:
    /// `capacity`: of the engine's KV memory, in tokens; running requests use the same memory.
    explicit PromptCache(std::int64_t capacity = 0);

    auto cachedTokens(const std::vector<PromptChain> &chains) const -> int; ///< length of the longest cached prefix
    auto usedTokens() const -> std::int64_t;

    auto setCapacity(std::int64_t capacity) -> void;
    /// The engine prefills this prompt: all its parts become the most recently used.
    auto touch(const std::vector<PromptChain> &chains) -> void;
    /// One part becomes the most recently used, because another gateway reported it as prefilled.
    auto touchOne(const PromptChain &chain) -> void;
    auto clear() -> void;

private:
    auto trim() -> void;

    std::int64_t m_capacity = 0;
    std::int64_t m_used = 0;
    std::list<PromptChain> m_order; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<PromptChain>::iterator> m_byHash;
};

} // namespace KingCup
