// How much each artifact is asked for, now and shortly. Level and trend per artifact from counted arrivals; a step that chance
// can't explain is taken over within two seconds, a fall only slowly, so that copies aren't dropped and loaded again.
//
// Index of sections (search for [SECTION]):
//   Values           demand of one artifact, digest of one entry
//   DemandForecast   the state
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

/// Demand of one artifact: of an adapter if requests name it, else of the model version.
struct ArtifactDemand {
    ArtifactName artifact;
    double perSecond = 0; ///< requests
    Duration serviceTime; ///< mean at a target; 0: unknown
    double missedPerSecond = 0; ///< refused or late
};

/// What one entry saw by itself, sent to the entry that plans.
struct DemandDigest {
    EntryId entry;
    std::uint64_t sequence = 0; ///< a lower one than the last is ignored
    std::vector<ArtifactDemand> rates;
};

struct DemandOptions {
    Duration bucket = Duration::seconds(1); ///< arrivals are counted in these
    double riseWeight = 0.3; ///< weight of a bucket above the level
    double fallWeight = 0.04; ///< weight of one below: half of a burst is forgotten after 17 buckets
    double trendWeight = 0.1;
    double stepDeviations = 4.0; ///< standard deviations of a Poisson count that make a step
    Duration digestLifetime = Duration::seconds(5); ///< an entry that is silent for longer no longer counts
    double forgetBelow = 0.0005; ///< per second; artifacts asked for less are dropped from the state
};

// [SECTION] DemandForecast

class DemandForecast
{
public:
    explicit DemandForecast(DemandOptions options = {});

    // Queries
    /// This process's own arrivals alone.
    auto digest(const EntryId &self, std::uint64_t sequence) const -> DemandDigest;
    /// Own arrivals and all fresh digests, `ahead` of now; in the artifacts' order.
    auto forecast(TimePoint now, Duration ahead) const -> std::vector<ArtifactDemand>;

    // Commands
    auto arrived(const ArtifactName &artifact, TimePoint now, double count = 1) -> void;
    auto missed(const ArtifactName &artifact, TimePoint now) -> void; ///< refused, or not in time
    auto served(const ArtifactName &artifact, Duration serviceTime) -> void;
    auto merge(const DemandDigest &digest, TimePoint now) -> void;
    auto advance(TimePoint now) -> void; ///< closes buckets; call a few times a second

private:
    struct Series {
        double count = 0; ///< in the open bucket
        double missedCount = 0;
        double previous = 0; ///< count of the bucket before
        double level = 0; ///< per bucket
        double trend = 0; ///< per bucket and bucket
        double missedLevel = 0;
        double serviceMicros = 0;
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
