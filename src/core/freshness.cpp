#include "core/freshness.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// Bounds the proofs kept for versions that this process hasn't received yet. There are more than a few only while it receives no versions at all.
constexpr std::size_t MaxProofs = 16;

} // namespace

auto Freshness::provenAt(RowVersion known) const -> std::optional<TimePoint>
{
    std::optional<TimePoint> latest;
    for (const auto &proof : m_proofs) {
        if (proof.version <= known) {
            latest = proof.asOf;
        }
    }
    return latest;
}

auto Freshness::add(const FreshnessProof &proof) -> void
{
    const auto supersedes = [](const FreshnessProof &a, const FreshnessProof &b) {
        return a.version <= b.version && a.asOf >= b.asOf;
    };
    if (std::any_of(m_proofs.begin(), m_proofs.end(), [&](const FreshnessProof &known) { return supersedes(known, proof); })) {
        return;
    }
    std::erase_if(m_proofs, [&](const FreshnessProof &known) { return supersedes(proof, known); });
    const auto place = std::find_if(m_proofs.begin(), m_proofs.end(), [&](const FreshnessProof &known) { return known.version > proof.version; });
    m_proofs.insert(place, proof);
    if (m_proofs.size() > MaxProofs) {
        m_proofs.erase(m_proofs.begin() + 1); // keeps the first, which may be the one that applies to the known version
    }
}

} // namespace KingCup
