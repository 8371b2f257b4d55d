// Finds out where streams began that clients take up at a gateway which has no record of them (core/streamorigins.h).
//
// First the store's row of the service's software versions is read (core/versionregister.h): with a single version, the stream began there. Otherwise the
// other gateways are asked, and the rows that a gateway has written are read if it doesn't reply. An origin is never guessed: what nobody knows stays
// unknown, and the stream isn't taken up. No I/O: steps to take are returned, and what comes of them is passed in.
//
// Index of sections (search for [SECTION]):
//   Steps           what to do for lookups
//   OriginLookups   the lookups in progress
#pragma once

#include "core/streamorigins.h"
#include "core/versionregister.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Steps

using LookupId = StrongNumber<struct LookupIdTag>;

enum class LookupStepKind {
    ReadVersions, ///< of `service`
    Ask, ///< all live gateways, for `stream`
    ReadRecords, ///< that the gateway `host` has written
};

struct LookupStep {
    LookupStepKind kind = LookupStepKind::ReadVersions;
    ServiceName service;
    StreamKey stream;
    std::string host;
};

/// How an origin became known, or why it didn't.
enum class LookupSource { SingleVersion, Gateway, Store, Unknown };
auto toString(LookupSource source) -> const char *;

struct LookupResult {
    LookupId id;
    StreamKey stream;
    std::optional<StreamOrigin> origin; ///< nothing: not known
    LookupSource source = LookupSource::Unknown;
    Duration took;
};

struct OriginLookupOptions {
    Duration readTime = Duration::millis(250); ///< without the versions after this time, gateways are asked meanwhile
    Duration replyTime = Duration::millis(150); ///< a gateway that hasn't replied after this time is taken for gone
    Duration limit = Duration::millis(1500); ///< of a whole lookup
    int maxReads = 8; ///< gateways whose records are read at the same time
    std::size_t maxGone = 64; ///< gateways whose records are read for one lookup: rows of hosts that are gone for good remain in the store
};

// [SECTION] OriginLookups

class OriginLookups
{
public:
    explicit OriginLookups(OriginLookupOptions options = {});

    auto isEmpty() const -> bool; ///< no lookup is in progress

    /// `stream`: 0 if the client doesn't say which stream it takes up. `service`: the only service that the stream can have begun in; empty if there are
    /// several.
    auto start(StreamKey stream, const ServiceName &service, TimePoint now) -> LookupId;
    auto cancel(LookupId id) -> void;

    /// The other gateways, by host: those that are live, and those that aren't and may have written records of streams that haven't ended.
    auto setGateways(const std::set<std::string> &live, const std::set<std::string> &gone) -> void;
    /// `versions`: named by the row as of a read that began at `readAt`; nothing: it couldn't be read.
    auto versionsRead(const ServiceName &service, const std::optional<VersionSet> &versions, TimePoint readAt, TimePoint now) -> void;
    auto replied(const std::string &host, StreamKey stream, const std::optional<StreamOrigin> &origin, TimePoint now) -> void;
    auto recordsRead(const std::string &host, const OriginRecords &records, TimePoint now) -> void;
    auto advance(TimePoint now) -> void; ///< call every few milliseconds while a lookup is in progress

    auto takeSteps() -> std::vector<LookupStep>;
    auto takeResults() -> std::vector<LookupResult>;

private:
    enum class Phase { Versions, Gateways };
    struct Lookup {
        StreamKey stream;
        ServiceName service;
        TimePoint startedAt;
        Phase phase = Phase::Versions;
        TimePoint askedAt;
        std::set<std::string> asked; ///< that haven't replied
        std::set<std::string> unread; ///< whose records are to be read
    };
    using Lookups = std::map<LookupId, Lookup>;

    auto askGateways(Lookup &lookup, TimePoint now) -> void;
    auto finish(Lookups::iterator lookup, const std::optional<StreamOrigin> &origin, LookupSource source, TimePoint now) -> Lookups::iterator;
    auto readNext() -> void;
    auto finishUnknown(TimePoint now) -> void;

    OriginLookupOptions m_options;
    Lookups m_lookups;
    LookupId m_lastId;
    std::set<std::string> m_live;
    std::set<std::string> m_gone;
    std::set<ServiceName> m_reading; ///< services whose versions are being read
    std::set<std::string> m_readingRecords; ///< hosts whose records are being read
    std::vector<LookupStep> m_steps;
    std::vector<LookupResult> m_results;
};

} // namespace KingCup
