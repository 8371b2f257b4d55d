#include "core/logselection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace KingCup
{

namespace
{

/// Parts whose lines are about the host as a whole and so concern all of its requests.
constexpr std::array<std::string_view, 5> HostWideParts {"config", "store", "lease", "process", "settings"};

auto contains(const std::vector<std::string> &list, const std::string &text) -> bool
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

auto addOnce(std::vector<std::string> &list, const std::string &text) -> void
{
    if (!text.empty() && !contains(list, text)) {
        list.push_back(text);
    }
}

/// Parses one log line; empty if it isn't a line of this system.
auto parseLine(std::string_view line) -> std::optional<ExplainedLine>
{
    ExplainedLine read;
    const auto time = logValue(line, "t");
    const auto parsed = std::from_chars(time.data(), time.data() + time.size(), read.wallMillis);
    const auto part = line.find(" part=");
    if (time.empty() || parsed.ec != std::errc() || part == std::string_view::npos) {
        return std::nullopt;
    }
    read.host = logValue(line, "host");
    read.text = std::string(line.substr(part + 1));
    return read;
}

} // namespace

auto logValue(std::string_view line, std::string_view key) -> std::string
{
    for (auto at = line.find(key); at != std::string_view::npos; at = line.find(key, at + 1)) {
        const auto end = at + key.size();
        const bool isKey = (at == 0 || line[at - 1] == ' ') && end < line.size() && line[end] == '=';
        if (!isKey) {
            continue;
        }
        auto value = line.substr(end + 1);
        if (value.starts_with('"')) {
            value.remove_prefix(1);
            return std::string(value.substr(0, value.find('"')));
        }
        return std::string(value.substr(0, value.find_first_of(" \r\n")));
    }
    return {};
}

LogSelection::LogSelection(std::string requestId, LogSelectionOptions options)
    : m_requestId(std::move(requestId))
    , m_options(options)
{
}

auto LogSelection::isFound() const -> bool
{
    return !m_hosts.empty();
}

auto LogSelection::lines() const -> std::vector<ExplainedLine>
{
    auto sorted = m_lines;
    std::stable_sort(sorted.begin(), sorted.end(), [](const ExplainedLine &a, const ExplainedLine &b) { return a.wallMillis < b.wallMillis; });
    return sorted;
}

auto LogSelection::find(std::string_view line) -> void
{
    if (m_requestId.empty() || logValue(line, "id") != m_requestId) {
        return;
    }
    const auto read = parseLine(line);
    if (!read) {
        return;
    }
    m_from = isFound() ? std::min(m_from, read->wallMillis) : read->wallMillis;
    m_to = isFound() ? std::max(m_to, read->wallMillis) : read->wallMillis;
    addOnce(m_hosts, read->host);
    addOnce(m_targets, logValue(line, "target"));
}

auto LogSelection::isRelated(std::string_view line, const ExplainedLine &read) const -> bool
{
    const bool isNear = read.wallMillis >= m_from - m_options.before.inMillis() && read.wallMillis <= m_to + m_options.after.inMillis();
    if (!isNear || !logValue(line, "id").empty()) {
        return false; // too far away in time, or a line of another request
    }
    const auto part = logValue(line, "part");
    const bool isHostWide = contains(m_hosts, read.host) && std::find(HostWideParts.begin(), HostWideParts.end(), part) != HostWideParts.end();
    return isHostWide || contains(m_targets, logValue(line, "target"));
}

auto LogSelection::collect(std::string_view line) -> void
{
    auto read = parseLine(line);
    if (!read || !isFound()) {
        return;
    }
    read->hasRequestId = logValue(line, "id") == m_requestId;
    if (read->hasRequestId || isRelated(line, *read)) {
        m_lines.push_back(std::move(*read));
    }
}

} // namespace KingCup
