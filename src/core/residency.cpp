#include "core/residency.h"

#include <algorithm>

namespace KingCup
{

namespace
{

class ResidencyPlanner
{
public:
    ResidencyPlanner(const MemoryLedger &ledger, const ResidencyInput &input)
        : m_ledger(ledger)
        , m_input(input)
    {
    }

    auto next() const -> std::optional<ResidencyOrder>;

private:
    auto retire() const -> std::optional<ResidencyOrder>;
    auto load(const WantedArtifact &want) const -> std::optional<ResidencyOrder>;
    auto freeMemory(const WantedArtifact &want) const -> std::optional<ResidencyOrder>;
    auto isSatisfied(const WantedArtifact &want) const -> bool;
    auto mayEvict(const ArtifactName &name) const -> bool;
    auto hasAdapters(const ArtifactName &base) const -> bool;
    auto rank(const ArtifactName &name) const -> std::size_t;
    auto evict(const ArtifactName &name, std::string reason) const -> ResidencyOrder;

    const MemoryLedger &m_ledger;
    const ResidencyInput &m_input;
};

auto ResidencyPlanner::next() const -> std::optional<ResidencyOrder>
{
    if (auto order = retire()) {
        return order;
    }
    for (const auto &want : m_input.wanted) {
        if (isSatisfied(want)) {
            continue;
        }
        const bool baseMissing = !want.base.isEmpty() && !m_ledger.isUsable(want.base);
        if (baseMissing) {
            continue; // the base must be loaded first; it is a wanted artifact itself
        }
        if (m_ledger.mayLoad(want.name, want.bytes) != LedgerRefusal::NoMemory) {
            if (auto order = load(want)) {
                return order;
            }
            continue;
        }
        // Memory is freed for the most urgent artifact that lacks memory. Less urgent artifacts aren't loaded meanwhile, as they would use up the freed memory.
        return freeMemory(want);
    }
    return std::nullopt;
}

auto ResidencyPlanner::retire() const -> std::optional<ResidencyOrder>
{
    for (const auto &name : m_input.retired) {
        if (m_ledger.mayUnload(name) == LedgerRefusal::None && mayEvict(name)) {
            return evict(name, "retired");
        }
    }
    return std::nullopt;
}

auto ResidencyPlanner::load(const WantedArtifact &want) const -> std::optional<ResidencyOrder>
{
    if (m_ledger.mayLoad(want.name, want.bytes) != LedgerRefusal::None) {
        return std::nullopt;
    }
    return ResidencyOrder {OrderKind::Load, want.name, want.base, want.bytes, want.floor ? "floor" : "surge"};
}

/// Evicts one artifact: unwanted ones before extra replicas (surge), and of these the least urgent first. An extra replica evicts only unwanted
/// artifacts; otherwise two extra replicas of similar urgency could evict each other in turn.
auto ResidencyPlanner::freeMemory(const WantedArtifact &want) const -> std::optional<ResidencyOrder>
{
    if (want.bytes <= m_ledger.freeBytes() + m_ledger.releasing()) {
        return std::nullopt; // the unloads that are outstanding free enough memory
    }
    std::optional<EngineArtifact> victim;
    for (const auto &entry : m_ledger.residents()) {
        const bool unwanted = rank(entry.artifact) >= m_input.wanted.size();
        const bool allowed = unwanted || (want.floor && !m_input.wanted[rank(entry.artifact)].floor);
        if (!allowed || !mayEvict(entry.artifact) || m_ledger.mayUnload(entry.artifact) != LedgerRefusal::None) {
            continue;
        }
        if (!victim || rank(entry.artifact) > rank(victim->artifact)) {
            victim = entry;
        }
    }
    if (!victim) {
        return std::nullopt;
    }
    return evict(victim->artifact, "evicted-for=" + want.name.text());
}

auto ResidencyPlanner::isSatisfied(const WantedArtifact &want) const -> bool
{
    return m_ledger.isUsable(want.name) || m_ledger.isLoading(want.name);
}

auto ResidencyPlanner::mayEvict(const ArtifactName &name) const -> bool
{
    const bool held = (m_input.isPinned && m_input.isPinned(name)) || (m_input.isInUse && m_input.isInUse(name));
    return !held && !hasAdapters(name);
}

auto ResidencyPlanner::hasAdapters(const ArtifactName &base) const -> bool
{
    if (!m_input.baseOf) {
        return false;
    }
    const auto residents = m_ledger.residents();
    const bool resident = std::any_of(residents.begin(), residents.end(), [&](const auto &entry) { return m_input.baseOf(entry.artifact) == base; });
    const bool loading
        = std::any_of(m_input.wanted.begin(), m_input.wanted.end(), [&](const auto &want) { return want.base == base && m_ledger.isLoading(want.name); });
    return resident || loading;
}

auto ResidencyPlanner::rank(const ArtifactName &name) const -> std::size_t
{
    const auto &wanted = m_input.wanted;
    const auto found = std::find_if(wanted.begin(), wanted.end(), [&](const WantedArtifact &want) { return want.name == name; });
    return static_cast<std::size_t>(found - wanted.begin());
}

auto ResidencyPlanner::evict(const ArtifactName &name, std::string reason) const -> ResidencyOrder
{
    return ResidencyOrder {OrderKind::Unload, name, {}, {}, std::move(reason)};
}

} // namespace

auto nextResidencyOrder(const MemoryLedger &ledger, const ResidencyInput &input) -> std::optional<ResidencyOrder>
{
    return ResidencyPlanner(ledger, input).next();
}

} // namespace KingCup
