// A copy of one table of the store, fed from more than one side: by an own watch, or by another gateway that has one. What is older than what
// is known already changes nothing, so the sides may overlap and overtake each other. Pure.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace KingCup
{

/// A row as it stands, or that it is gone.
struct StoredRow {
    std::string key;
    RowVersion version; ///< of the row's last change; counts over the whole store
    std::string value;
    bool isRemoved = false;
};

class RowMirror
{
public:
    auto isLoaded() const -> bool; ///< the whole table was taken once
    auto version() const -> RowVersion; ///< of the newest change that is known
    auto checksum() const -> std::uint64_t; ///< over keys and versions: the same where the same rows are known
    auto rows() const -> std::vector<StoredRow>; ///< those that exist, in key order

    /// The whole table as of `upTo`: what isn't in it was removed by then. Returns what that changes.
    auto applySnapshot(const std::vector<StoredRow> &rows, RowVersion upTo) -> std::vector<StoredRow>;
    /// Rows that were changed or removed. Returns those that are news.
    auto applyChanges(const std::vector<StoredRow> &rows) -> std::vector<StoredRow>;

private:
    auto applyRow(const StoredRow &row) -> bool;
    auto replaceRow(StoredRow &into, const StoredRow &row) -> void;

    std::map<std::string, StoredRow> m_rows; ///< removed ones too: an older message about them must not bring them back
    RowVersion m_version;
    std::uint64_t m_checksum = 0;
    bool m_isLoaded = false;
};

} // namespace KingCup
