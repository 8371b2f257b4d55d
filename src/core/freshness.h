// Until when the declarations known here were the newest. Pure.
//
// A revoked key must be out of force within a bound on every gateway, also on one that is cut off from everything and can't know of the revocation. So a
// gateway serves keyed requests only while it can show that its version was the newest a short while ago. It was at the moment at which it asked the
// store, not when the answer came: a change may have been made between the two. From a peer it has the age of that peer's proof, and counts
// it from the moment at which it asked the peer. No clock of another host is ever compared with its own.
//
// Index of sections (search for [SECTION]):
//   Proof       one statement
//   Freshness   what follows from all of them
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <optional>
#include <vector>

namespace KingCup
{

// [SECTION] Proof

struct FreshnessProof {
    RowVersion version; ///< of the declarations' row
    TimePoint asOf; ///< by this process's clock; all that was declared by then is part of that version
};

// [SECTION] Freshness

class Freshness
{
public:
    /// The last moment at which nothing was declared that isn't part of `known`. Nothing: there is no proof.
    auto provenAt(RowVersion known) const -> std::optional<TimePoint>;

    auto add(const FreshnessProof &proof) -> void;

private:
    std::vector<FreshnessProof> m_proofs; ///< in the order of their versions; each is of a later moment than those before it
};

} // namespace KingCup
