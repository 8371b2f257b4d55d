#include "core/demand.h"

#include <algorithm>
#include <cmath>

namespace KingCup
{

namespace
{

constexpr double ServiceTimeWeight = 0.1; ///< weight of one request in the mean service time
constexpr int MaxBucketsAtOnce = 600; ///< buckets closed by one call; after a longer pause all levels have decayed to almost 0
constexpr double MinVariance = 1.0; ///< lower bound, in requests per bucket; a smaller variance can't tell a step from chance
constexpr double MaxTrendShare = 1.0; ///< the trend adds at most this share of the level to a forecast

} // namespace

DemandForecast::DemandForecast(DemandOptions options)
    : m_options(options)
{
}

auto DemandForecast::digest(const EntryId &self, std::uint64_t sequence) const -> DemandDigest
{
    DemandDigest result {.entry = self, .sequence = sequence};
    const double perSecond = 1.0 / m_options.bucket.inSeconds();
    for (const auto &[artifact, series] : m_series) {
        ArtifactDemand demand {.artifact = artifact};
        demand.perSecond = projected(series, 1) * perSecond;
        demand.serviceTime = Duration::micros(static_cast<std::int64_t>(series.serviceMicros));
        demand.missedPerSecond = series.missedLevel * perSecond;
        result.rates.push_back(demand);
    }
    return result;
}

auto DemandForecast::forecast(TimePoint now, Duration ahead) const -> std::vector<ArtifactDemand>
{
    const double perSecond = 1.0 / m_options.bucket.inSeconds();
    const double buckets = ahead.inSeconds() * perSecond;
    std::map<ArtifactName, ArtifactDemand> sums;
    const auto add = [&sums](const ArtifactDemand &demand) {
        auto &sum = sums.try_emplace(demand.artifact, ArtifactDemand {.artifact = demand.artifact}).first->second;
        const double both = sum.perSecond + demand.perSecond;
        const bool bothKnown = sum.serviceTime.inMicros() > 0 && demand.serviceTime.inMicros() > 0 && both > 0;
        if (bothKnown) {
            sum.serviceTime = sum.serviceTime * (sum.perSecond / both) + demand.serviceTime * (demand.perSecond / both);
        } else {
            sum.serviceTime = std::max(sum.serviceTime, demand.serviceTime);
        }
        sum.perSecond = both;
        sum.missedPerSecond += demand.missedPerSecond;
    };
    for (const auto &[artifact, series] : m_series) {
        ArtifactDemand own {.artifact = artifact};
        own.perSecond = projected(series, buckets) * perSecond;
        own.serviceTime = Duration::micros(static_cast<std::int64_t>(series.serviceMicros));
        own.missedPerSecond = series.missedLevel * perSecond;
        add(own);
    }
    for (const auto &[entry, received] : m_received) {
        if (now - received.at > m_options.digestLifetime) {
            continue;
        }
        for (const auto &demand : received.digest.rates) {
            add(demand);
        }
    }
    std::vector<ArtifactDemand> result;
    result.reserve(sums.size());
    for (const auto &[artifact, demand] : sums) {
        result.push_back(demand);
    }
    return result;
}

auto DemandForecast::arrived(const ArtifactName &artifact, TimePoint now, double count) -> void
{
    advance(now);
    m_series[artifact].count += count;
}

auto DemandForecast::missed(const ArtifactName &artifact, TimePoint now) -> void
{
    advance(now);
    m_series[artifact].missedCount += 1;
}

auto DemandForecast::served(const ArtifactName &artifact, Duration serviceTime) -> void
{
    auto &mean = m_series[artifact].serviceMicros;
    const auto micros = static_cast<double>(serviceTime.inMicros());
    mean = mean == 0 ? micros : mean + ServiceTimeWeight * (micros - mean);
}

auto DemandForecast::merge(const DemandDigest &digest, TimePoint now) -> void
{
    auto &received = m_received[digest.entry];
    const bool isOld = digest.sequence < received.digest.sequence && now - received.at <= m_options.digestLifetime;
    if (!isOld) {
        received = Received {digest, now};
    }
}

auto DemandForecast::advance(TimePoint now) -> void
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_bucketStart = now;
    }
    int closed = 0;
    while (now - m_bucketStart >= m_options.bucket) {
        m_bucketStart = m_bucketStart + m_options.bucket;
        if (++closed > MaxBucketsAtOnce) {
            m_bucketStart = now;
            return;
        }
        closeBucket();
    }
}

auto DemandForecast::closeBucket() -> void
{
    const double forgetBelow = m_options.forgetBelow * m_options.bucket.inSeconds();
    for (auto place = m_series.begin(); place != m_series.end();) {
        close(place->second);
        const bool isNegligible = place->second.level < forgetBelow && place->second.missedLevel < forgetBelow;
        place = isNegligible ? m_series.erase(place) : std::next(place);
    }
}

auto DemandForecast::close(Series &series) const -> void
{
    const double deviation = std::sqrt(std::max(series.level, MinVariance));
    const double before = series.level;
    const double recent = (series.count + series.previous) / 2;
    // After a tenfold step answers would be late until the moving average has followed. If the mean of the last two buckets is significantly above the level,
    // it therefore becomes the new level at once.
    const bool isStep = recent > series.level + m_options.stepDeviations * deviation / std::sqrt(2.0) && series.previous > series.level;
    if (isStep) {
        series.level = recent;
        series.trend = 0;
    } else {
        const double weight = series.count > series.level ? m_options.riseWeight : m_options.fallWeight;
        series.level += weight * (series.count - series.level);
        series.trend += m_options.trendWeight * ((series.level - before) - series.trend);
    }
    series.missedLevel += m_options.riseWeight * (series.missedCount - series.missedLevel);
    series.previous = series.count;
    series.count = 0;
    series.missedCount = 0;
}

auto DemandForecast::projected(const Series &series, double buckets) const -> double
{
    const double added = std::clamp(series.trend * buckets, -series.level, series.level * MaxTrendShare);
    return std::max(0.0, series.level + added);
}

} // namespace KingCup
