#include "output.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace KingCup
{

TextTable::TextTable(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

auto TextTable::addRow(std::vector<std::string> cells) -> void
{
    m_rows.push_back(std::move(cells));
}

auto TextTable::toText() const -> std::string
{
    constexpr std::size_t Gap = 2;
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < widths.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < widths.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + Gap, ' ');
        }
        text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    }
    return text;
}

auto toJsonText(const google::protobuf::Message &message) -> std::string
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : "{}\n";
}

auto printFindings(const Findings &findings) -> void
{
    for (const auto &finding : findings) {
        std::cerr << toString(finding) << "\n";
    }
}

auto gigabytesText(std::int64_t bytes) -> std::string
{
    constexpr double BytesPerGigabyte = 1e9;
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << static_cast<double>(bytes) / BytesPerGigabyte << " GB";
    return text.str();
}

} // namespace KingCup
