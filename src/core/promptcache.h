// What an engine probably still has cached of prompts. A guess from own sends and other entries' digests: the
// engine keeps parts as long as its memory lasts and drops those that were used longest ago.
//
// A part helps only if all parts before it are kept too, so parts are known by the chain that leads to them.
#pragma once

#include "core/units.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCup
{

/// One part of a prompt. Requests that share a part, and all parts before it, can share what an engine has cached of it.
struct PromptPart {
    std::uint64_t id = 0;
    int tokens = 0;

    auto operator==(const PromptPart &) const -> bool = default;
};

/// A part together with all before it, for one model and adapter.
struct PromptChain {
    std::uint64_t hash = 0;
    int tokens = 0; ///< of its last part
};

/// The chains of a prompt, shortest first. `model` names model and adapter: what one has cached is of no use to another.
auto promptChains(const std::string &model, const std::vector<PromptPart> &parts) -> std::vector<PromptChain>;

class PromptCache
{
public:
    /// `capacity`: tokens, shared with running requests.
    explicit PromptCache(std::int64_t capacity = 0);

    auto cachedTokens(const std::vector<PromptChain> &chains) const -> int; ///< of the prompt's beginning
    auto usedTokens() const -> std::int64_t;

    auto setCapacity(std::int64_t capacity) -> void;
    /// The engine reads this prompt: its parts are the last used now.
    auto touch(const std::vector<PromptChain> &chains) -> void;
    /// Another entry had the engine prefill a part.
    auto touchOne(const PromptChain &chain) -> void;
    auto clear() -> void;

private:
    auto trim() -> void;

    std::int64_t m_capacity = 0;
    std::int64_t m_used = 0;
    std::list<PromptChain> m_order; ///< the last used first
    std::unordered_map<std::uint64_t, std::list<PromptChain>::iterator> m_byHash;
};

} // namespace KingCup
