// The last moment at which the declarations known to this process were proven to be current. No I/O.
//
// A revoked key must stop working within a bounded time on every gateway, including a gateway that is partitioned from everything and can't learn of
// the revocation. So a gateway serves requests with keys only while it has a recent proof that its version of the declarations was the newest.
// A read of the store proves that for the moment at which the read was sent, not for the arrival of the answer: a change may have been made in between.
// A peer answers with the age of its own proof, which is counted back from the moment at which the peer was asked. Times of different hosts are never
// compared.
//
// Index of sections (search for [SECTION]):
//   Proof       a version and the moment at which it was the newest
//   Freshness   what all received proofs say about a version
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <optional>
#include <vector>

namespace KingCup
{

// [SECTION] Proof

struct FreshnessProof {
    RowVersion version; ///< version of the declarations' row
    TimePoint asOf; ///< on this process's clock; everything declared until then is part of that version
};

// [SECTION] Freshness

class Freshness
{
public:
    /// The last moment for which it is proven that everything declared until then is part of `known`. Empty if there is no proof.
    auto provenAt(RowVersion known) const -> std::optional<TimePoint>;

    auto add(const FreshnessProof &proof) -> void;

private:
    std::vector<FreshnessProof> m_proofs; ///< in order of version; `asOf` rises too, since a proof that another one supersedes is dropped
};

} // namespace KingCup
