#include "entry/eventstream.h"

namespace KingCup
{

namespace
{

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";
constexpr std::string_view EndMark = "data: [DONE]";

} // namespace

auto EventStream::tokens() const -> std::uint64_t
{
    return m_tokens;
}

auto EventStream::hasEnded() const -> bool
{
    return m_hasEnded;
}

auto EventStream::count(std::string_view event) -> void
{
    if (event.starts_with(EndMark)) {
        m_hasEnded = true;
    } else if (event.starts_with(DataField)) {
        ++m_tokens;
    }
}

auto EventStream::feed(std::string_view bytes) -> std::string
{
    m_partial.append(bytes);
    std::size_t done = 0;
    for (auto end = m_partial.find(EventEnd); end != std::string::npos; end = m_partial.find(EventEnd, done)) {
        count(std::string_view(m_partial).substr(done, end - done));
        done = end + EventEnd.size();
    }
    std::string whole = m_partial.substr(0, done);
    m_partial.erase(0, done);
    return whole;
}

auto EventStream::dropPartial() -> void
{
    m_partial.clear();
}

} // namespace KingCup
