#include "enginebatch.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace KingCup
{

EngineBatch::EngineBatch(SimClock &clock, BatchSettings settings, CacheEventSettings events)
    : m_clock(clock)
    , m_settings(settings)
    , m_cache(clock, events)
    , m_step(settings.stepBase)
{
}

auto EngineBatch::add(const StreamPtr &stream) -> void
{
    const auto promptTokens = static_cast<std::int64_t>(stream->prompt.size() / CharsPerToken) + 1;
    stream->kvTokens = promptTokens + stream->outputTokens;
    const auto behind = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const StreamPtr &other) { return other->priority > stream->priority; });
    m_waiting.insert(behind, stream);
    if (!m_stepping) {
        planStep();
    }
}

auto EngineBatch::remove(const std::string &requestId) -> bool
{
    std::vector<StreamPtr> found;
    const auto isIt = [&](const StreamPtr &stream) {
        return stream->requestId == requestId;
    };
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(found), isIt);
    std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(found), isIt);
    for (const auto &stream : found) {
        remove(stream);
        stream->onCancelled();
    }
    return !found.empty();
}

auto EngineBatch::remove(const StreamPtr &stream) -> void
{
    m_waiting.remove(stream);
    m_running.remove(stream);
}

auto EngineBatch::clear() -> void
{
    m_waiting.clear();
    m_running.clear();
    m_cache.clear();
    m_stepTimer.cancel();
    m_stepping = false;
    m_step = m_settings.stepBase;
}

auto EngineBatch::setKvCapacity(std::int64_t bytes) -> void
{
    m_kvCapacity = bytes;
    const auto left = std::max<std::int64_t>(0, m_kvCapacity - kvOfStreams());
    m_cache.shrinkTo(static_cast<std::size_t>(left / (m_settings.kvBytesPerToken * static_cast<std::int64_t>(BlockChars / CharsPerToken))));
}

auto EngineBatch::setSlowdown(double factor) -> void
{
    m_slowdown = factor;
}

auto EngineBatch::running() const -> std::size_t
{
    return m_running.size();
}

auto EngineBatch::waiting() const -> std::size_t
{
    return m_waiting.size();
}

auto EngineBatch::isRunning(const std::string &artifact) const -> bool
{
    const auto uses = [&](const StreamPtr &stream) {
        return stream->artifact == artifact;
    };
    return std::any_of(m_running.begin(), m_running.end(), uses) || std::any_of(m_waiting.begin(), m_waiting.end(), uses);
}

auto EngineBatch::stepDuration() const -> Duration
{
    return m_step;
}

auto EngineBatch::prefillQueue() const -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &stream : m_running) {
        sum += stream->prefillLeft;
    }
    for (const auto &stream : m_waiting) {
        sum += static_cast<std::int64_t>(stream->prompt.size() / CharsPerToken);
    }
    return sum;
}

auto EngineBatch::kvOfStreams() const -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &stream : m_running) {
        sum += stream->kvTokens * m_settings.kvBytesPerToken;
    }
    return sum;
}

auto EngineBatch::kvUsed() const -> std::int64_t
{
    return kvOfStreams() + static_cast<std::int64_t>(m_cache.size() * BlockChars / CharsPerToken) * m_settings.kvBytesPerToken;
}

auto EngineBatch::tokens() const -> std::uint64_t
{
    return m_tokens;
}

auto EngineBatch::prefilled() const -> std::uint64_t
{
    return m_prefilled;
}

auto EngineBatch::cachedTokens() const -> std::uint64_t
{
    return m_cachedTokens;
}

auto EngineBatch::cache() -> PrefixCache &
{
    return m_cache;
}

/// Admits waiting streams while slots and KV-cache memory are free. If no stream runs, the first is admitted whatever it needs.
auto EngineBatch::admit() -> void
{
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_settings.maxStreams)) {
        const auto stream = m_waiting.front();
        const auto needed = stream->kvTokens * m_settings.kvBytesPerToken;
        if (!m_running.empty() && kvOfStreams() + needed > m_kvCapacity) {
            return;
        }
        m_waiting.pop_front();
        const auto hashes = prefixHashes(stream->artifact, stream->prompt);
        const auto hits = static_cast<std::int64_t>(m_cache.touch(hashes) * BlockChars / CharsPerToken);
        const auto wanted = static_cast<std::int64_t>(stream->prompt.size() / CharsPerToken) + 1 + stream->produced;
        stream->prefillLeft = std::max<std::int64_t>(1, wanted - hits);
        m_cachedTokens += static_cast<std::uint64_t>(hits);
        m_running.push_back(stream);
        setKvCapacity(m_kvCapacity);
    }
}

/// Spends up to `budget` prefill tokens on running streams, in order of admission. Returns the tokens spent.
auto EngineBatch::prefill(std::int64_t budget) -> std::int64_t
{
    std::int64_t used = 0;
    for (const auto &stream : m_running) {
        const auto share = std::min(stream->prefillLeft, budget - used);
        if (share <= 0) {
            continue;
        }
        stream->prefillLeft -= share;
        used += share;
        if (stream->prefillLeft == 0) {
            m_cache.store(prefixHashes(stream->artifact, stream->prompt));
        }
    }
    setKvCapacity(m_kvCapacity);
    m_prefilled += static_cast<std::uint64_t>(used);
    return used;
}

auto EngineBatch::planStep() -> void
{
    admit();
    if (m_running.empty()) {
        m_stepping = false;
        return;
    }
    m_stepping = true;
    const auto decoding = std::count_if(m_running.begin(), m_running.end(), [](const StreamPtr &stream) { return stream->prefillLeft == 0; });
    const auto prefillTokens = prefill(m_settings.prefillChunk);
    auto step = Duration::seconds(static_cast<double>(prefillTokens) / m_settings.prefillTokensPerSecond);
    if (decoding > 0) {
        step = step + m_settings.stepBase + m_settings.stepPerStream * static_cast<double>(decoding);
    }
    m_step = step * m_slowdown;
    m_stepTimer = m_clock.timer(m_step, [this] { finishStep(); });
}

/// Each stream whose prefill is done gains a token, so the step that completes a prefill yields the first token.
auto EngineBatch::finishStep() -> void
{
    const std::vector<StreamPtr> streams(m_running.begin(), m_running.end());
    for (const auto &stream : streams) {
        if (stream->prefillLeft > 0 || stream->isBackpressured()) {
            continue;
        }
        if (stream->crashesEngine) {
            stream->onCrash();
            return;
        }
        ++m_tokens;
        stream->onToken(stream->produced++);
        if (stream->produced >= stream->outputTokens) {
            m_running.remove(stream);
            stream->onDone();
        }
    }
    planStep();
}

} // namespace KingCup
