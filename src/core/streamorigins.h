// Where streams began: the service and the software version of the target that brought each stream's first event. A gateway records its own streams, and
// writes the records into the store while the service has several versions, so that they outlive it.
//
// A record is kept until its client can't take the stream up any more. That holds for streams that have ended whole too: their last bytes may be on the way
// to a client that has already abandoned them. Records of other streams are written: in batches, into a ring of rows of which each is replaced when its
// records have become useless. No I/O.
//
// Index of sections (search for [SECTION]):
//   Records         origins, their keys and a batch of them
//   StreamOrigins   the records of one gateway
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Records

/// Identifies a stream: hash of the id of the client's attempt that brought its first event.
using StreamKey = StrongNumber<struct StreamKeyTag>;
auto streamKey(const AttemptId &attempt) -> StreamKey;

struct StreamOrigin {
    ServiceName service;
    SoftwareVersion softwareVersion;

    auto operator<=>(const StreamOrigin &) const = default;
};

using OriginRecords = std::vector<std::pair<StreamKey, StreamOrigin>>;

/// Records to be written into one row, which replace what it held.
struct OriginBatch {
    int row = 0; ///< 0 to StreamOriginOptions::rows - 1
    OriginRecords records;
};

struct StreamOriginOptions {
    Duration memory = Duration::seconds(30); ///< a record is kept for this long after its stream has ended: longer than clients retry
    /// A batch of n records costs `costPerBatch` and n times `costPerRecord` of time, so that the writes stay below one kilobyte a second in the mean.
    Duration costPerBatch = Duration::millis(400);
    Duration costPerRecord = Duration::micros(10700);
    /// Batches may run ahead of that mean by this much: the first streams of a burst fill a batch alone, and a gateway that ends right after the burst would
    /// take the records of the others with it.
    Duration maxAdvance = Duration::millis(3000);
    Duration retryPeriod = Duration::millis(300); ///< after a batch that couldn't be written
    int rows = 64; ///< of the ring
    std::size_t maxBatch = 4000; ///< records; fills half of the largest row that the store takes
    std::size_t maxRecords = 50000; ///< the oldest records of ended streams are dropped beyond that
};

// [SECTION] StreamOrigins

class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginOptions options = {});

    // Queries
    auto find(StreamKey stream) const -> std::optional<StreamOrigin>;
    auto size() const -> std::size_t;

    // Commands
    auto began(StreamKey stream, const StreamOrigin &origin) -> void; ///< here, or a stream that was taken up here
    auto ended(StreamKey stream, bool isWhole, TimePoint now) -> void; ///< `isWhole`: its target's last event was passed on; the client may not have read it
    auto restored(const OriginRecords &records, TimePoint now) -> void; ///< written by an earlier process of this host, or learned from elsewhere
    auto expire(TimePoint now) -> void;

    // Batches
    /// The next batch to write, if one is due. `isMixed` tells of which services records are needed.
    auto takeBatch(const std::function<bool(const ServiceName &service)> &isMixed, TimePoint now) -> std::optional<OriginBatch>;
    auto batchWritten(bool isDone, TimePoint now) -> void;

private:
    struct Record {
        StreamOrigin origin;
        int open = 0; ///< answers that are in progress
        std::optional<TimePoint> endedAt; ///< not open: when the last answer ended
        bool isWhole = false; ///< not open: it isn't written any more
        std::optional<int> row; ///< that holds it
    };
    using Records = std::unordered_map<std::uint64_t, Record>;

    StreamOriginOptions m_options;
    Records m_records;
    std::optional<OriginBatch> m_batch; ///< being written
    int m_nextRow = 0;
    TimePoint m_dueAtMeanRate; ///< the next batch, if batches kept exactly to the mean
    TimePoint m_retryAt; ///< after a batch that couldn't be written
};

} // namespace KingCup
