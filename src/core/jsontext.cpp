#include "core/jsontext.h"

#include <algorithm>

namespace KingCup
{

namespace
{

auto isSpace(char c) -> bool
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// Offset behind the string that begins at `at`; the text's size if it doesn't end.
auto skipString(std::string_view text, std::size_t at) -> std::size_t
{
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return text.size();
}

/// Takes texts apart at their outermost level. Only quotes and the number of open brackets matter within values.
class Splitter
{
public:
    explicit Splitter(std::string_view text)
        : m_text(text)
    {
        skipSpace();
    }

    /// Skips `c` and the white space around it; false if something else is next.
    auto take(char c) -> bool
    {
        if (m_at >= m_text.size() || m_text[m_at] != c) {
            return false;
        }
        ++m_at;
        skipSpace();
        return true;
    }
    /// The next value as written; empty if there is none or its brackets or quotes don't match.
    auto takeValue() -> std::string_view
    {
        const auto begin = m_at;
        std::size_t open = 0;
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            if (open == 0 && (c == ',' || c == ':' || c == '}' || c == ']')) {
                break;
            }
            if (c == '"') {
                m_at = skipString(m_text, m_at);
                continue;
            }
            open += c == '{' || c == '[' ? 1 : 0;
            open -= c == '}' || c == ']' ? 1 : 0;
            ++m_at;
        }
        if (open > 0) {
            return {};
        }
        auto end = m_at;
        while (end > begin && isSpace(m_text[end - 1])) {
            --end;
        }
        return m_text.substr(begin, end - begin);
    }
    auto isAtEnd() const -> bool
    {
        return m_at == m_text.size();
    }

private:
    auto skipSpace() -> void
    {
        while (m_at < m_text.size() && isSpace(m_text[m_at])) {
            ++m_at;
        }
    }
    std::string_view m_text;
    std::size_t m_at = 0;
};

/// The text between quotes, if it stands for itself: printable ASCII without escapes.
auto isPlainText(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~' && c != '\\' && c != '"'; });
}

auto decodeName(std::string_view quoted) -> std::string
{
    if (const auto text = quoted.substr(1, std::max<std::size_t>(quoted.size(), 2) - 2); quoted.ends_with('"') && isPlainText(text)) {
        return std::string(text); // parsing costs more, and pages have several names in each row
    }
    const auto parsed = parseJson(quoted);
    return parsed.is_string() ? parsed.get<std::string>() : std::string();
}

} // namespace

// [SECTION] Parsing

auto findExcessiveNesting(std::string_view text) -> std::optional<std::size_t>
{
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (c == '"') {
            at = skipString(text, at) - 1;
        } else if (c == '{' || c == '[') {
            if (++depth > MaxJsonDepth) {
                return at;
            }
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return std::nullopt;
}

auto parseJson(std::string_view text) -> nlohmann::json
{
    return findExcessiveNesting(text) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(text, nullptr, false);
}

// [SECTION] Splitting

auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>
{
    Splitter splitter(text);
    std::vector<JsonMember> members;
    if (!splitter.take('{')) {
        return std::nullopt;
    }
    if (splitter.take('}')) {
        return splitter.isAtEnd() ? std::optional(members) : std::nullopt;
    }
    do {
        const auto name = splitter.takeValue();
        if (!name.starts_with('"') || !splitter.take(':')) {
            return std::nullopt;
        }
        const auto value = splitter.takeValue();
        if (value.empty()) {
            return std::nullopt;
        }
        members.push_back({decodeName(name), value});
    } while (splitter.take(','));
    return splitter.take('}') && splitter.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>
{
    Splitter splitter(text);
    std::vector<std::string_view> elements;
    if (!splitter.take('[')) {
        return std::nullopt;
    }
    if (splitter.take(']')) {
        return splitter.isAtEnd() ? std::optional(elements) : std::nullopt;
    }
    do {
        const auto element = splitter.takeValue();
        if (element.empty()) {
            return std::nullopt;
        }
        elements.push_back(element);
    } while (splitter.take(','));
    return splitter.take(']') && splitter.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

auto findJsonMember(const std::vector<JsonMember> &members, std::string_view name) -> std::string_view
{
    const auto found = std::find_if(members.rbegin(), members.rend(), [name](const JsonMember &member) { return member.name == name; });
    return found == members.rend() ? std::string_view() : found->value;
}

} // namespace KingCup
