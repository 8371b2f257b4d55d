// A copy of one table of the store that may be fed from several sources: this gateway's own watch of the store, and other gateways that watch it. A row that
// isn't newer than the known one is ignored, so messages of the sources may overlap and arrive in any order. No I/O.
//
// A copy that has missed a message lacks changes that are older than its newest one. So it keeps two versions: that of the newest change, and the version up to
// which it is complete. Only the latter shows that a row which the copy lacks doesn't exist.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace KingCup
{

/// A row's current value, or the fact that the row was removed.
struct StoredRow {
    std::string key;
    RowVersion version; ///< version of the row's last change; versions rise over the whole store
    std::string value;
    bool isRemoved = false;
};

class RowMirror
{
public:
    auto isLoaded() const -> bool; ///< a whole table was applied at least once
    auto completeTo() const -> RowVersion; ///< all changes up to this version are known
    auto checksum() const -> std::uint64_t; ///< checksum over keys and versions of the existing rows: equal for mirrors with the same rows
    auto rows() const -> std::vector<StoredRow>; ///< existing rows, ordered by key
    auto changesSince(RowVersion version) const -> std::vector<StoredRow>; ///< the known rows that were changed or removed after the version
    auto lastChange(RowVersion upTo) const -> RowVersion; ///< version of the newest known change that isn't later than `upTo`; 0: there is none
    /// False: since that version, rows may have been created and removed that this copy never knew.
    auto knowsRemovalsSince(RowVersion version) const -> bool;

    /// Applies the whole table as of version `upTo`: a known row that isn't in it was removed by then. Returns the rows that this changed.
    auto applySnapshot(const std::vector<StoredRow> &rows, RowVersion upTo) -> std::vector<StoredRow>;
    /// Applies rows that were changed or removed. Returns those that are newer than the known ones.
    auto applyChanges(const std::vector<StoredRow> &rows) -> std::vector<StoredRow>;
    /// The rows last applied are all changes after version `after` up to `upTo`. False: changes up to `after` are missing here.
    auto markComplete(RowVersion after, RowVersion upTo) -> bool;

private:
    auto applyRow(const StoredRow &row) -> bool;
    auto replaceRow(StoredRow &into, const StoredRow &row) -> void;

    std::map<std::string, StoredRow> m_rows; ///< including removed rows, which an older message must not restore
    RowVersion m_completeTo;
    RowVersion m_snapshotVersion; ///< of the last snapshot
    std::uint64_t m_checksum = 0;
    bool m_isLoaded = false;
};

} // namespace KingCup
