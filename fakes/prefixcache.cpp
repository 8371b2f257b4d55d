#include "prefixcache.h"

#include <algorithm>
#include <array>
#include <cstdio>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxEvents = 5000;
constexpr std::size_t MaxEventsPerAnswer = 500;

auto hex(std::uint64_t value) -> std::string
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace

auto prefixHashes(const std::string &artifact, const std::string &prompt) -> std::vector<std::string>
{
    std::vector<std::string> hashes;
    const auto start = artifact.size() + 1;
    const std::string text = artifact + "\n" + prompt;
    for (std::size_t end = BlockChars; end <= prompt.size(); end += BlockChars) {
        hashes.push_back(hex(XXH3_64bits(text.data(), start + end)));
    }
    return hashes;
}

PrefixCache::PrefixCache(SimClock &clock, CacheEventSettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

auto PrefixCache::touch(const std::vector<std::string> &hashes) -> std::size_t
{
    std::size_t found = 0;
    for (const auto &hash : hashes) {
        const auto block = m_blocks.find(hash);
        if (block == m_blocks.end()) {
            break;
        }
        m_recent.splice(m_recent.begin(), m_recent, block->second);
        ++found;
    }
    return found;
}

auto PrefixCache::store(const std::vector<std::string> &hashes) -> void
{
    for (const auto &hash : hashes) {
        if (m_blocks.count(hash) == 0) {
            m_recent.push_front(hash);
            m_blocks[hash] = m_recent.begin();
            publish(true, hash);
        }
    }
}

auto PrefixCache::shrinkTo(std::size_t blocks) -> void
{
    while (m_recent.size() > blocks) {
        const auto hash = m_recent.back();
        m_recent.pop_back();
        m_blocks.erase(hash);
        publish(false, hash);
    }
}

auto PrefixCache::size() const -> std::size_t
{
    return m_recent.size();
}

auto PrefixCache::contains(const std::string &hash) const -> bool
{
    return m_blocks.count(hash) != 0;
}

auto PrefixCache::clear() -> void
{
    m_recent.clear();
    m_blocks.clear();
    m_events.clear();
}

auto PrefixCache::publish(bool stored, const std::string &hash) -> void
{
    ++m_sequence; // also for a dropped event, which leaves a gap
    if (m_clock.random() < m_settings.dropRate) {
        return;
    }
    m_events.push_back(Event {m_sequence, m_clock.now() + m_clock.randomDuration(m_settings.minDelay, m_settings.maxDelay), stored, hash});
    if (m_events.size() > MaxEvents) {
        m_events.pop_front();
    }
}

auto PrefixCache::eventsAfter(std::uint64_t after) const -> Json
{
    auto list = Json::array();
    auto next = after;
    const auto now = m_clock.now();
    for (const auto &event : m_events) {
        if (event.sequence <= after) {
            continue;
        }
        if (event.visibleAt > now || list.size() == MaxEventsPerAnswer) {
            break;
        }
        list.push_back({{"seq", event.sequence}, {"kind", event.stored ? "stored" : "evicted"}, {"prefix", event.hash}});
        next = event.sequence;
    }
    return {{"events", list}, {"next", next}};
}

} // namespace KingCup
