// Forecasts the demand for each artifact: level and trend, computed from counted arrivals. A statistically significant rise is adopted within
// two seconds; a fall is adopted slowly, so that replicas aren't dropped and soon loaded again. No I/O.
//
// Index of sections (search for [SECTION]):
//   Values           demand for one artifact, digest of one entry, options
//   DemandForecast   the forecast of one process
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Values

/// Demand for one artifact. Requests that name an adapter count for the adapter, all others for the model version.
struct ArtifactDemand {
    ArtifactName artifact;
    double perSecond = 0; ///< request rate
    Duration serviceTime; ///< mean time of a request at a target; 0: unknown
    double missedPerSecond = 0; ///< rate of refused or late requests
};

/// The demand that one entry has counted itself, sent to the entry that plans.
struct DemandDigest {
    EntryId entry;
    std::uint64_t sequence = 0; ///< a digest with a lower number than the last one is ignored while the last one is valid (DemandOptions::digestLifetime)
    std::vector<ArtifactDemand> rates;
};

struct DemandOptions {
    Duration bucket = Duration::seconds(1); ///< arrivals are counted in intervals of this length
    double riseWeight = 0.3; ///< weight in the moving average of a bucket above the level
    double fallWeight = 0.04; ///< weight of a bucket below the level: a burst decays to half after 17 buckets
    double trendWeight = 0.1; ///< weight of a bucket in the moving average of the trend
    double stepDeviations = 4.0; ///< a rise by this many standard deviations of a Poisson count is adopted as a step
    Duration digestLifetime = Duration::seconds(5); ///< the last digest of an entry is valid for this long after its receipt
    double forgetBelow = 0.0005; ///< requests per second; artifacts with less demand are removed from the state
};

// [SECTION] DemandForecast

class DemandForecast
{
public:
    explicit DemandForecast(DemandOptions options = {});

    // Queries
    /// Demand counted by this process alone.
    auto digest(const EntryId &self, std::uint64_t sequence) const -> DemandDigest;
    /// Demand expected at `now` + `ahead`: the sum of this process's own and of all valid digests; ordered by artifact.
    auto forecast(TimePoint now, Duration ahead) const -> std::vector<ArtifactDemand>;

    // Commands
    auto arrived(const ArtifactName &artifact, TimePoint now, double count = 1) -> void; ///< counts requests
    auto missed(const ArtifactName &artifact, TimePoint now) -> void; ///< a request was refused or answered late
    auto served(const ArtifactName &artifact, Duration serviceTime) -> void; ///< a request was answered
    auto merge(const DemandDigest &digest, TimePoint now) -> void; ///< stores another entry's digest in place of its last one
    auto advance(TimePoint now) -> void; ///< closes the buckets that have ended; call a few times a second

private:
    struct Series {
        double count = 0; ///< arrivals in the open bucket
        double missedCount = 0; ///< missed requests in the open bucket
        double previous = 0; ///< arrivals in the last closed bucket
        double level = 0; ///< smoothed arrivals per bucket
        double trend = 0; ///< smoothed change of the level per bucket
        double missedLevel = 0; ///< smoothed missed requests per bucket
        double serviceMicros = 0; ///< smoothed service time
    };
    struct Received {
        DemandDigest digest;
        TimePoint at;
    };
    auto closeBucket() -> void;
    auto close(Series &series) const -> void;
    auto projected(const Series &series, double buckets) const -> double;

    DemandOptions m_options;
    std::map<ArtifactName, Series> m_series;
    std::map<EntryId, Received> m_received;
    TimePoint m_bucketStart;
    bool m_isStarted = false;
};

} // namespace KingCup
