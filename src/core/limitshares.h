// The share of each account's limit that a gateway may use while it isn't in contact with all other gateways (core/sharedusage.h). No I/O.
//
// A silent gateway, one whose reports have stopped, may have ended, or it may be partitioned from this one and still serve. Without further knowledge an equal
// share of each limit has to be reserved for it, and accounts that need their whole limit are rejected below it. The store tells the two cases apart:
//
// - A gateway in contact with at most half of the gateways, itself included, is in a minority. It uses its share only with a lease: a row in the store that
//   names these gateways. It renews the lease, and uses it only when the others have had time to read it.
// - A gateway in the majority reads the leases while an account is short of tokens, and reserves shares only for the silent gateways that a lease names.
//
// For some seconds after a partition a minority uses its share without a lease, and the majority reserves it. A process that has never been in a majority has
// no such time: the majority may already have given its share to others. Leases must be used only where a gateway that reaches neither the others nor the store
// serves no requests of accounts anyway (core/freshness.h): it would reject them all.
//
// Index of sections (search for [SECTION]):
//   Options       time bounds
//   Messages      other gateways, and rows of the store
//   LimitShares   the share of this gateway and its calls to the store
#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct LimitShareOptions {
    /// Time after the loss of the majority in which a share is used without a lease. A gateway that reaches the store has a usable lease by then.
    Duration freeUse = Duration::millis(2700);
    /// Silence after which the majority relies on the leases alone: `freeUse`, and half a second for gateways that notice the partition at different times.
    Duration reliefAfter = Duration::millis(3200);
    Duration readPeriod = Duration::millis(1000); ///< of the leases, while an account is short of tokens
    Duration readLifetime = Duration::millis(1500); ///< from the start of a read until it isn't relied on any more
    Duration leaseDelay = Duration::millis(2000); ///< from the confirmation of a lease until its use; longer than `readLifetime`
    Duration leaseLifetime = Duration::millis(3000); ///< from the start of the last confirmed write
    Duration renewPeriod = Duration::millis(1000);
    Duration leaseMemory = Duration::millis(4000); ///< a lease that hasn't changed between two reads this far apart isn't in use any more
    Duration retryPeriod = Duration::millis(300); ///< after a call that failed
    Duration shortageMemory = Duration::seconds(5); ///< leases are read for this long after a request was rejected
    Duration demandMemory = Duration::seconds(10); ///< a lease is renewed for this long after a request of an account with a limit
};

// [SECTION] Messages

/// Another gateway, as this one knows it. Built for each decision, so the id isn't copied.
struct GatewayContact {
    std::string_view id;
    TimePoint liveUntil; ///< it is silent after this time unless it reports again
    bool hasReported = false; ///< to this process; else `liveUntil` is the time from which on it is known
};

struct ShareLease {
    std::string gateway; ///< whose lease it is
    RowVersion version; ///< of its row
    std::set<std::string, std::less<>> members; ///< the gateways that it is in contact with
};

enum class ShareCall { None, Read, Write, Remove };

// [SECTION] LimitShares

class LimitShares
{
public:
    explicit LimitShares(LimitShareOptions options = {});

    // Queries
    /// 0 to 1; 0: this gateway may be partitioned from a majority that uses the whole limit.
    auto share(const std::vector<GatewayContact> &others, TimePoint now) const -> double;
    auto members() const -> const std::set<std::string, std::less<>> &; ///< to be written with ShareCall::Write

    // Commands
    auto requested(TimePoint now) -> void; ///< a request of an account with a limit was received
    auto rejected(TimePoint now) -> void; ///< an account was short of tokens
    /// The call to the store to make now. Each call must be answered by one of the three functions below.
    auto nextCall(const std::vector<GatewayContact> &others, TimePoint now) -> ShareCall;
    auto readDone(bool isDone, const std::vector<ShareLease> &leases, TimePoint now) -> void;
    auto writeDone(bool isDone, TimePoint now) -> void;
    auto removeDone(bool isDone, TimePoint now) -> void;

private:
    struct KnownLease {
        RowVersion version;
        TimePoint firstReadAt; ///< start of the first read with this version
        std::set<std::string, std::less<>> members;
    };
    auto isMajority(const std::vector<GatewayContact> &others, TimePoint now) const -> bool;
    auto majorityUntil(const std::vector<GatewayContact> &others) const -> std::optional<TimePoint>;
    auto isReserved(const GatewayContact &silent, TimePoint now) const -> bool;
    auto isLeased(std::string_view gateway) const -> bool;
    auto leasedShare(const std::vector<GatewayContact> &others, TimePoint now) const -> double;
    auto startCall(ShareCall call, TimePoint now) -> ShareCall;
    auto callDone(bool isDone, TimePoint now) -> void;

    LimitShareOptions m_options;
    TimePoint m_requestedAt;
    TimePoint m_rejectedAt;
    // Calls
    bool m_isCalling = false;
    TimePoint m_callStartedAt;
    TimePoint m_retryAt;
    // Reads
    std::optional<TimePoint> m_readStartedAt; ///< of the last successful read
    TimePoint m_nextReadAt;
    std::map<std::string, KnownLease> m_leases; ///< by gateway
    // Own lease
    std::set<std::string, std::less<>> m_members; ///< of the lease last written or being written
    bool m_hasRow = false; ///< a write was started and no removal has succeeded since
    std::optional<TimePoint> m_writeStartedAt; ///< of the last confirmed write
    TimePoint m_nextWriteAt;
    TimePoint m_usableFrom; ///< this gateway's own share
    std::map<std::string, TimePoint, std::less<>> m_memberUsableFrom; ///< shares of the other members
};

} // namespace KingCup
