// Permits for requests to targets that have announced a request limit (core/announcedlimits.h), so that all gateways together keep to it. No I/O.
//
// For each such target one gateway, the arbiter, issues permits at the announced rate, and every gateway sends a request to the target only with a permit. All
// gateways find the same arbiter by rendezvous hashing among those that are live, so nothing has to be agreed on or handed over: an arbiter that takes over
// starts without permits to issue. Fixed shares wouldn't do: with a hundred gateways and a limit of one request a second, each gateway could send one request
// every hundred seconds, and all of them at the same moment.
//
// If another target can take the request, the arbiter grants a permit at once or not at all: the request goes to the other target then. If none can, the
// request waits, and the arbiter grants the permit as soon as the rate allows. Requests that wait get their permits before all others; the latest query is
// served first, since where more requests wait than the target accepts, those that have waited longest are about to give up.
//
// Gateways that take different ones for live have different arbiters, which must not issue the whole rate each. Each gateway has an equal share of the rate:
// - A gateway that has fallen silent may be partitioned from this one and have an arbiter of its own. Its share isn't issued here.
// - A gateway that takes the first of the ranking for silent asks the next one, and tells the first so, which may be able to hear it: its share isn't issued
//   there.
// - A gateway that is asked though others rank before it issues only the shares of those that ask it.
// A permit is good for a short time after its query and from the gateway's current arbiter only: one that lags behind replies to queries of long ago.
//
// Index of sections (search for [SECTION]):
//   Options          rates and lifetimes
//   Messages         what gateways send each other
//   RequestPermits   the permits of one gateway, and those that it issues as arbiter
#pragma once

#include "core/targetinfo.h"
#include "core/units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Options

struct RequestPermitOptions {
    /// A target that accepts fewer requests still gets this many a second: only an answer can show that its limit has ended.
    double minPerSecond = 0.2;
    Duration burst = Duration::millis(500); ///< permits that may be issued, or held unused, at once, as time at the target's rate; at least one permit
    Duration permitLifetime = Duration::millis(1000); ///< of an unused permit, from the query for it
    Duration shareLifetime = Duration::seconds(3); ///< how long a query counts its sender among those that ask this gateway, or another one
    Duration replyTimeout = Duration::millis(50); ///< an arbiter that doesn't reply to a query within this time gets no other one before `queryPeriod` is over
    Duration queryPeriod = Duration::millis(300); ///< between two queries for requests that wait
    Duration queryLifetime = Duration::millis(400); ///< the arbiter drops the query of a gateway that doesn't repeat it for this long: its requests have gone
    Duration idleLifetime = Duration::seconds(600); ///< what is known of a target that no request has wanted for this long is dropped
};

// [SECTION] Messages

/// Asks the arbiter of a target for one permit.
struct PermitQuery {
    TargetIncarnation target;
    double perSecond = 0; ///< the target's limit, as known to the gateway that sends the query
    bool isWaiting = false; ///< a request waits for the target, because no other one can take it
    std::optional<TimePoint> at; ///< when it was sent, by the sender's clock; nothing: sent by an earlier release
};

struct PermitReply {
    TargetIncarnation target;
    bool isGranted = false; ///< one permit
    Duration availableIn; ///< if not granted: until the arbiter can issue the next one
    std::optional<TimePoint> queriedAt; ///< of the last query of the gateway, by its clock; nothing: sent by an earlier release
};

/// Messages to one other gateway.
struct PermitMessages {
    std::vector<PermitQuery> queries;
    std::vector<PermitReply> replies;
    std::vector<TargetIncarnation> elsewhere; ///< another arbiter was queried for these, as the receiver seems to be silent
};

// [SECTION] RequestPermits

enum class PermitState {
    Held, ///< a request may be sent
    Pending, ///< the arbiter hasn't replied to a query yet
    Denied, ///< none can be had now
};

class RequestPermits
{
public:
    /// `self`: id of this gateway.
    explicit RequestPermits(std::string self, RequestPermitOptions options = {});

    // Queries
    auto has(const TargetIncarnation &target, TimePoint now) const -> bool; ///< a permit for the target is held
    auto arbiter(const TargetIncarnation &target) const -> std::string; ///< the gateway that issues permits for the target
    auto nextIssue(TimePoint now) const -> std::optional<Duration>; ///< until a gateway whose requests wait can get a permit; nothing: none is pending

    // Commands: this gateway's requests
    /// A request would use the target, which has this limit. Asks for a permit unless one is held. `isWaiting`: no other target can take the request.
    auto wanted(const TargetIncarnation &target, double perSecond, bool isWaiting, TimePoint now) -> PermitState;
    auto used(const TargetIncarnation &target, TimePoint now) -> void; ///< a request was sent to the target
    auto drop(const TargetIncarnation &target) -> void; ///< its limit has ended

    // Commands: other gateways
    /// `live`: the other gateways that are live; `silent`: those that have fallen silent recently.
    auto setGateways(std::set<std::string> live, std::set<std::string> silent) -> void;
    auto queryReceived(const std::string &gateway, const PermitQuery &query, TimePoint now) -> void;
    auto queriedElsewhere(const std::string &gateway, const TargetIncarnation &target, TimePoint now) -> void; ///< see PermitMessages
    auto replied(const std::string &gateway, const PermitReply &reply, TimePoint now) -> void;
    auto issue(TimePoint now) -> int; ///< issues the permits that are due to gateways whose requests wait; returns their number
    auto takeMessages() -> std::map<std::string, PermitMessages>; ///< by receiver

private:
    /// Permits that this gateway holds, and its queries for more.
    struct Holding {
        std::deque<TimePoint> unused; ///< when each expires, the earliest first
        double perSecond = 0;
        TimePoint wantedAt;
        std::optional<TimePoint> queriedAt; ///< of the query that the arbiter hasn't replied to
        std::optional<TimePoint> waitingQueryAt; ///< of the last query for a request that waits, until it is granted
        TimePoint deniedUntil;
    };
    struct WaitingGateway {
        std::string gateway;
        TimePoint at;
        std::optional<TimePoint> queriedAt; ///< by its clock
    };
    /// Permits that this gateway issues for one target.
    struct Bucket {
        double perSecond = 0;
        double level = 0;
        TimePoint refilledAt;
        TimePoint queriedAt; ///< of the last query
        std::vector<WaitingGateway> waiting; ///< gateways whose requests wait, by the time of their last query
        std::map<std::string, TimePoint> askers; ///< gateways, this one included, with the time of their last query
        std::map<std::string, TimePoint> elsewhere; ///< gateways that have queried another arbiter, with the time of the last notice
        bool isFirst = false; ///< this gateway ranks first among the live and the silent ones
        int rankedFor = -1; ///< the value of m_changes for which `isFirst` was determined
    };
    auto bucketOf(const TargetIncarnation &target, TimePoint now) -> Bucket &;
    auto burst(double perSecond) const -> double;
    auto rate(const Bucket &bucket) const -> double;
    auto refill(Bucket &bucket, TimePoint now) const -> void;
    auto untilNext(const Bucket &bucket, TimePoint now) const -> Duration;
    auto sendQuery(const PermitQuery &query, TimePoint now) -> void;
    auto reply(const std::string &gateway, const PermitReply &reply, TimePoint now) -> void;
    auto issueFrom(const TargetIncarnation &target, Bucket &bucket, TimePoint now) -> int;

    std::string m_self;
    RequestPermitOptions m_options;
    std::set<std::string> m_live; ///< other gateways
    std::set<std::string> m_silent;
    int m_changes = 0; ///< of the live and silent gateways
    std::map<TargetIncarnation, Holding> m_holdings;
    std::map<TargetIncarnation, Bucket> m_buckets;
    std::map<std::string, PermitMessages> m_messages;
};

} // namespace KingCup
