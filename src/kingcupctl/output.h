// Output of kingcupctl: text tables, or JSON for scripts.
#pragma once

#include "core/finding.h"

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace KingCup
{

/// A table with headings; each column is as wide as its widest cell.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> headings);
    auto addRow(std::vector<std::string> cells) -> void;
    auto toText() const -> std::string;

private:
    std::vector<std::vector<std::string>> m_rows; ///< headings first
};

/// The message as JSON, with the schema's field names and including fields at their default.
auto toJsonText(const google::protobuf::Message &message) -> std::string;

/// Prints each finding on a line of standard error.
auto printFindings(const Findings &findings) -> void;

/// Formats a size, e.g. "14.0 GB".
auto gigabytesText(std::int64_t bytes) -> std::string;

} // namespace KingCup
