#include "answercheck.h"

// The static analyser gets only the library's declarations, since it reports findings in the library's inline code.
#ifndef __clang_analyzer__
#define XXH_INLINE_ALL
#endif
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace KingCup
{

namespace
{

constexpr std::uint64_t TokenHashRange = 0xffff;
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataPrefix = "data: ";

/// The text of the event's data line; empty if it has none.
auto dataOf(std::string_view event) -> std::string_view
{
    const auto at = event.find(DataPrefix);
    if (at == std::string_view::npos) {
        return {};
    }
    const auto data = event.substr(at + DataPrefix.size());
    return data.substr(0, data.find('\n'));
}

} // namespace

AnswerCheck::AnswerCheck(const std::string &artifact, const std::string &prompt, int tokens)
    : m_seed(XXH3_64bits_withSeed(prompt.data(), prompt.size(), XXH3_64bits(artifact.data(), artifact.size())))
    , m_tokens(tokens)
{
}

auto AnswerCheck::isWhole() const -> bool
{
    return m_ended && !m_wrong && m_next == m_tokens;
}

auto AnswerCheck::isWrong() const -> bool
{
    return m_wrong;
}

auto AnswerCheck::problem() const -> const std::string &
{
    return m_problem;
}

auto AnswerCheck::feed(std::string_view data) -> int
{
    m_partialEvent.append(data);
    int tokens = 0;
    std::size_t from = 0;
    for (auto at = m_partialEvent.find(EventEnd); at != std::string::npos; at = m_partialEvent.find(EventEnd, from)) {
        tokens += handleEvent(std::string_view(m_partialEvent).substr(from, at - from));
        from = at + EventEnd.size();
    }
    m_partialEvent.erase(0, from);
    return tokens;
}

auto AnswerCheck::expectedToken() const -> std::string
{
    const auto hash = XXH3_64bits_withSeed(&m_next, sizeof m_next, m_seed) & TokenHashRange;
    return std::to_string(m_next) + ":" + std::to_string(hash) + " ";
}

auto AnswerCheck::handleEvent(std::string_view event) -> int
{
    const auto data = dataOf(event);
    if (event.starts_with("event: error")) {
        const auto problem = nlohmann::json::parse(data, nullptr, false);
        m_problem = problem.is_object() ? problem.value("code", std::string("error")) : "error";
        return 0;
    }
    if (data == "[DONE]") {
        m_ended = true;
        m_wrong = m_wrong || m_next != m_tokens;
        m_problem = m_next != m_tokens ? "ended-early" : m_problem;
        return 0;
    }
    const auto parsed = nlohmann::json::parse(data, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("choices") || parsed["choices"].empty()) {
        return 0;
    }
    if (parsed["choices"][0].value("text", std::string()) != expectedToken()) {
        m_wrong = true;
        m_problem = "not-the-next-token";
    }
    ++m_next;
    return 1;
}

} // namespace KingCup
