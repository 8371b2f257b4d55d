#include "core/promptcache.h"

#include "core/hashing.h"

#include <string_view>

namespace KingCup
{

namespace
{

auto extend(std::uint64_t hash, std::uint64_t id) -> std::uint64_t
{
    const std::uint64_t pair[2] = {hash, id};
    return stableHash({reinterpret_cast<const char *>(pair), sizeof(pair)});
}

} // namespace

auto promptChains(const std::string &model, const std::vector<PromptPart> &parts) -> std::vector<PromptChain>
{
    std::vector<PromptChain> chains;
    chains.reserve(parts.size());
    auto hash = stableHash(model);
    for (const auto &part : parts) {
        hash = extend(hash, part.id);
        chains.push_back({hash, part.tokens});
    }
    return chains;
}

PromptCache::PromptCache(std::int64_t capacity)
    : m_capacity(capacity)
{
}

auto PromptCache::cachedTokens(const std::vector<PromptChain> &chains) const -> int
{
    int tokens = 0;
    for (const auto &chain : chains) {
        if (!m_byHash.contains(chain.hash)) {
            break;
        }
        tokens += chain.tokens;
    }
    return tokens;
}

auto PromptCache::usedTokens() const -> std::int64_t
{
    return m_used;
}

auto PromptCache::setCapacity(std::int64_t capacity) -> void
{
    m_capacity = capacity;
    trim();
}

auto PromptCache::touch(const std::vector<PromptChain> &chains) -> void
{
    // Last part first, so that the beginning of the prompt is evicted after the parts that depend on it.
    for (auto chain = chains.rbegin(); chain != chains.rend(); ++chain) {
        touchOne(*chain);
    }
}

auto PromptCache::touchOne(const PromptChain &chain) -> void
{
    const auto found = m_byHash.find(chain.hash);
    if (found != m_byHash.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_order.push_front(chain);
    m_byHash[chain.hash] = m_order.begin();
    m_used += chain.tokens;
    trim();
}

auto PromptCache::clear() -> void
{
    m_order.clear();
    m_byHash.clear();
    m_used = 0;
}

auto PromptCache::trim() -> void
{
    while (m_used > m_capacity && !m_order.empty()) {
        const auto &oldest = m_order.back();
        m_used -= oldest.tokens;
        m_byHash.erase(oldest.hash);
        m_order.pop_back();
    }
}

} // namespace KingCup
