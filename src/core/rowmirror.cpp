#include "core/rowmirror.h"

#include "core/hashing.h"

#include <algorithm>
#include <set>

namespace KingCup
{

auto RowMirror::isLoaded() const -> bool
{
    return m_isLoaded;
}

auto RowMirror::completeTo() const -> RowVersion
{
    return m_completeTo;
}

auto RowMirror::rows() const -> std::vector<StoredRow>
{
    std::vector<StoredRow> list;
    for (const auto &[key, row] : m_rows) {
        if (!row.isRemoved) {
            list.push_back(row);
        }
    }
    return list;
}

auto RowMirror::knowsRemovalsSince(RowVersion version) const -> bool
{
    return m_isLoaded && version >= m_snapshotVersion;
}

auto RowMirror::changesSince(RowVersion version) const -> std::vector<StoredRow>
{
    std::vector<StoredRow> changes;
    for (const auto &[key, row] : m_rows) {
        if (row.version > version) {
            changes.push_back(row);
        }
    }
    return changes;
}

auto RowMirror::lastChange(RowVersion upTo) const -> RowVersion
{
    RowVersion last;
    for (const auto &[key, row] : m_rows) {
        if (row.version <= upTo) {
            last = std::max(last, row.version);
        }
    }
    return last;
}

namespace
{

auto hashOf(const StoredRow &row) -> std::uint64_t
{
    return row.isRemoved || row.key.empty() ? 0 : stableHash(row.key + "@" + std::to_string(row.version.value()));
}

} // namespace

auto RowMirror::checksum() const -> std::uint64_t
{
    return m_checksum;
}

auto RowMirror::replaceRow(StoredRow &into, const StoredRow &row) -> void
{
    m_checksum ^= hashOf(into) ^ hashOf(row);
    into = row;
}

auto RowMirror::applyRow(const StoredRow &row) -> bool
{
    auto &known = m_rows[row.key];
    if (row.version <= known.version) {
        return false;
    }
    replaceRow(known, row);
    return true;
}

auto RowMirror::applySnapshot(const std::vector<StoredRow> &rows, RowVersion upTo) -> std::vector<StoredRow>
{
    m_isLoaded = true;
    auto changed = applyChanges(rows);
    std::set<std::string> present;
    for (const auto &row : rows) {
        present.insert(row.key);
    }
    m_completeTo = std::max(m_completeTo, upTo);
    m_snapshotVersion = std::max(m_snapshotVersion, upTo);
    for (auto &[key, row] : m_rows) {
        if (row.isRemoved || row.version > upTo || present.contains(key)) {
            continue;
        }
        // The version of the removal isn't known, only that it is at most `upTo`. A row that is created again has a higher version.
        replaceRow(row, {key, upTo, "", true});
        changed.push_back(row);
    }
    return changed;
}

auto RowMirror::applyChanges(const std::vector<StoredRow> &rows) -> std::vector<StoredRow>
{
    std::vector<StoredRow> changed;
    for (const auto &row : rows) {
        if (applyRow(row)) {
            changed.push_back(row);
        }
    }
    return changed;
}

auto RowMirror::markComplete(RowVersion after, RowVersion upTo) -> bool
{
    if (!m_isLoaded || after > m_completeTo) {
        return false;
    }
    m_completeTo = std::max(m_completeTo, upTo);
    return true;
}

} // namespace KingCup
