#include "core/originlookups.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace KingCup
{

auto toString(LookupSource source) -> const char *
{
    switch (source) {
    case LookupSource::SingleVersion:
        return "single-version";
    case LookupSource::Gateway:
        return "gateway";
    case LookupSource::Store:
        return "store";
    case LookupSource::Unknown:
        return "unknown";
    }
    return "?";
}

OriginLookups::OriginLookups(OriginLookupOptions options)
    : m_options(options)
{
}

auto OriginLookups::isEmpty() const -> bool
{
    return m_lookups.empty();
}

auto OriginLookups::start(StreamKey stream, const ServiceName &service, TimePoint now) -> LookupId
{
    m_lastId = m_lastId.next();
    Lookup lookup;
    lookup.stream = stream;
    lookup.service = service;
    lookup.startedAt = now;
    auto &started = m_lookups.emplace(m_lastId, std::move(lookup)).first->second;
    if (service.isEmpty()) {
        askGateways(started, now);
    } else if (m_reading.insert(service).second) {
        m_steps.push_back({LookupStepKind::ReadVersions, service, {}, {}});
    }
    return m_lastId;
}

auto OriginLookups::cancel(LookupId id) -> void
{
    m_lookups.erase(id);
}

auto OriginLookups::setGateways(const std::set<std::string> &live, const std::set<std::string> &gone) -> void
{
    m_live = live;
    m_gone = gone;
}

auto OriginLookups::versionsRead(const ServiceName &service, const std::optional<VersionSet> &versions, TimePoint readAt, TimePoint now) -> void
{
    m_reading.erase(service);
    bool isReadAgain = false;
    for (auto lookup = m_lookups.begin(); lookup != m_lookups.end();) {
        auto &state = lookup->second;
        if (state.service != service) {
            ++lookup;
        } else if (state.startedAt > readAt) {
            isReadAgain = true; // the stream may have begun at a version that was added to the row since
            ++lookup;
        } else if (versions && versions->size() == 1) {
            lookup = finish(lookup, StreamOrigin {service, *versions->begin()}, LookupSource::SingleVersion, now);
        } else {
            if (state.phase == Phase::Versions) {
                askGateways(state, now);
            }
            ++lookup;
        }
    }
    if (isReadAgain && m_reading.insert(service).second) {
        m_steps.push_back({LookupStepKind::ReadVersions, service, {}, {}});
    }
    finishUnknown(now);
}

auto OriginLookups::askGateways(Lookup &lookup, TimePoint now) -> void
{
    lookup.phase = Phase::Gateways;
    lookup.askedAt = now;
    if (lookup.stream == StreamKey()) {
        return;
    }
    lookup.asked = m_live;
    std::copy_n(m_gone.begin(), std::min(m_gone.size(), m_options.maxGone), std::inserter(lookup.unread, lookup.unread.end()));
    if (!m_live.empty()) {
        m_steps.push_back({LookupStepKind::Ask, {}, lookup.stream, {}});
    }
    readNext();
}

auto OriginLookups::readNext() -> void
{
    for (const auto &[id, lookup] : m_lookups) {
        for (const auto &host : lookup.unread) {
            if (static_cast<int>(m_readingRecords.size()) >= m_options.maxReads) {
                return;
            }
            if (m_readingRecords.insert(host).second) {
                m_steps.push_back({LookupStepKind::ReadRecords, {}, {}, host});
            }
        }
    }
}

auto OriginLookups::replied(const std::string &host, StreamKey stream, const std::optional<StreamOrigin> &origin, TimePoint now) -> void
{
    for (auto lookup = m_lookups.begin(); lookup != m_lookups.end();) {
        if (lookup->second.stream != stream || lookup->second.phase != Phase::Gateways) {
            ++lookup;
        } else if (origin) {
            lookup = finish(lookup, origin, LookupSource::Gateway, now);
        } else {
            lookup->second.asked.erase(host);
            lookup->second.unread.erase(host);
            ++lookup;
        }
    }
    finishUnknown(now);
}

auto OriginLookups::recordsRead(const std::string &host, const OriginRecords &records, TimePoint now) -> void
{
    m_readingRecords.erase(host);
    for (auto lookup = m_lookups.begin(); lookup != m_lookups.end();) {
        lookup->second.unread.erase(host);
        const auto stream = lookup->second.stream;
        const auto found = std::find_if(records.begin(), records.end(), [&](const auto &record) { return record.first == stream; });
        const bool isFound = lookup->second.phase == Phase::Gateways && found != records.end();
        lookup = isFound ? finish(lookup, found->second, LookupSource::Store, now) : std::next(lookup);
    }
    readNext();
    finishUnknown(now);
}

auto OriginLookups::advance(TimePoint now) -> void
{
    for (auto &[id, lookup] : m_lookups) {
        if (lookup.phase == Phase::Versions && now - lookup.startedAt >= m_options.readTime) {
            askGateways(lookup, now);
        }
        if (lookup.phase == Phase::Gateways && !lookup.asked.empty() && now - lookup.askedAt >= m_options.replyTime) {
            lookup.unread.insert(lookup.asked.begin(), lookup.asked.end());
            lookup.asked.clear();
        }
    }
    readNext();
    finishUnknown(now);
}

auto OriginLookups::finishUnknown(TimePoint now) -> void
{
    for (auto lookup = m_lookups.begin(); lookup != m_lookups.end();) {
        const auto &state = lookup->second;
        const bool isExhausted = state.phase == Phase::Gateways && state.asked.empty() && state.unread.empty();
        const bool isLate = now - state.startedAt >= m_options.limit;
        lookup = isExhausted || isLate ? finish(lookup, std::nullopt, LookupSource::Unknown, now) : std::next(lookup);
    }
}

auto OriginLookups::finish(Lookups::iterator lookup, const std::optional<StreamOrigin> &origin, LookupSource source, TimePoint now) -> Lookups::iterator
{
    m_results.push_back({lookup->first, lookup->second.stream, origin, source, now - lookup->second.startedAt});
    return m_lookups.erase(lookup);
}

auto OriginLookups::takeSteps() -> std::vector<LookupStep>
{
    return std::exchange(m_steps, {});
}

auto OriginLookups::takeResults() -> std::vector<LookupResult>
{
    return std::exchange(m_results, {});
}

} // namespace KingCup
