#include "core/tablewatch.h"

#include <algorithm>
#include <utility>

namespace KingCup
{

TableWatch::TableWatch(TableWatchOptions options, TableWatchHooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_backoff(options.backoff)
    , m_random(static_cast<std::minstd_rand::result_type>(options.seed))
{
}

auto TableWatch::isRunning() const -> bool
{
    return m_isRunning;
}

auto TableWatch::isLoaded() const -> bool
{
    return m_isLoaded;
}

auto TableWatch::isReading() const -> bool
{
    return m_isCalling && m_isReading;
}

auto TableWatch::isReached() const -> bool
{
    return m_isReached;
}

auto TableWatch::hasFailed() const -> bool
{
    return m_hasFailed;
}

auto TableWatch::version() const -> RowVersion
{
    return m_version;
}

auto TableWatch::nextCallAt() const -> std::optional<TimePoint>
{
    return m_nextCallAt;
}

auto TableWatch::start() -> void
{
    m_isRunning = true;
    restart(true);
}

auto TableWatch::stop() -> void
{
    m_isRunning = false;
    m_isCalling = false;
    m_isRetry = false;
    m_isLoaded = false;
    m_isReached = false;
    m_hasFailed = false;
    m_nextCallAt.reset();
    m_pageRows.clear();
    m_version = RowVersion();
    m_pause = Duration();
    m_backoff.reset();
}

auto TableWatch::restart(bool fromScratch) -> void
{
    m_nextCallAt.reset();
    if (fromScratch || !m_isLoaded) {
        m_pageRows.clear();
        m_readVersion.reset();
        readPage("");
    } else {
        watch();
    }
}

auto TableWatch::advance(TimePoint now) -> void
{
    if (!m_nextCallAt || *m_nextCallAt > now) {
        return;
    }
    m_nextCallAt.reset();
    if (std::exchange(m_isRetry, false)) {
        restart(false);
    } else {
        watch();
    }
}

auto TableWatch::answered(StoreCallId call, const StoreAnswer &answer, TimePoint now) -> void
{
    if (!m_isCalling || call != m_call) {
        return;
    }
    m_isCalling = false;
    if (m_isReading) {
        onPage(answer, now);
    } else {
        onChanges(answer, now);
    }
}

auto TableWatch::readPage(const std::string &from) -> void
{
    m_isCalling = true;
    m_isReading = true;
    m_hooks.read(++m_call, from);
}

auto TableWatch::onPage(const StoreAnswer &answer, TimePoint now) -> void
{
    if (answer.outcome != StoreOutcome::Done) {
        m_isLoaded = false;
        retry(answer.outcome, now);
        return;
    }
    setReached(true);
    // Rows of later pages may be newer than the first page's version. The watch starts from that version and returns them once more.
    m_readVersion = m_readVersion.value_or(answer.page.upTo);
    m_pageRows.insert(m_pageRows.end(), answer.page.rows.begin(), answer.page.rows.end());
    if (answer.page.hasMore && !answer.page.rows.empty()) {
        readPage(answer.page.rows.back().key + '\0');
        return;
    }
    m_version = *m_readVersion;
    m_isLoaded = true;
    const auto rows = std::move(m_pageRows);
    m_pageRows.clear();
    m_hooks.onTable(rows, m_version);
    if (m_isRunning && !m_isCalling) { // the hook may have stopped or reloaded this watch
        watch();
    }
}

auto TableWatch::watch() -> void
{
    m_isCalling = true;
    m_isReading = false;
    m_hooks.watch(++m_call, m_version, m_isReached ? m_options.pollTimeout : m_options.probeTimeout);
}

auto TableWatch::onChanges(const StoreAnswer &answer, TimePoint now) -> void
{
    if (answer.outcome == StoreOutcome::HistoryLost) {
        m_hooks.onFailed(answer.outcome);
        restart(true);
        return;
    }
    if (answer.outcome != StoreOutcome::Done) {
        retry(answer.outcome, now);
        return;
    }
    setReached(true);
    const auto after = m_version;
    m_version = std::max(m_version, answer.page.upTo);
    if (answer.page.rows.empty() || m_pause == Duration()) {
        watch();
    } else {
        m_nextCallAt = now + m_pause;
    }
    m_hooks.onChanges(answer.page.rows, after, m_version);
}

auto TableWatch::setReached(bool reached) -> void
{
    if (reached) {
        m_backoff.reset();
        m_hasFailed = false;
    }
    if (m_isReached != reached) {
        m_isReached = reached;
        m_hooks.onReachabilityChanged(reached);
    }
}

auto TableWatch::retry(StoreOutcome why, TimePoint now) -> void
{
    if (m_isReached) {
        m_hooks.onFailed(why);
    }
    setReached(false);
    m_hasFailed = true;
    m_isRetry = true;
    m_nextCallAt = now + m_backoff.next(m_random);
}

auto TableWatch::setPause(Duration pause) -> void
{
    m_pause = pause;
}

auto TableWatch::renew() -> void
{
    m_isRetry = false;
    setReached(false);
    restart(false);
}

auto TableWatch::reload() -> void
{
    m_isRetry = false;
    restart(true);
}

} // namespace KingCup
