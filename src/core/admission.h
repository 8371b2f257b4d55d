// Admission queue: requests that wait for capacity at a target, ordered so that as many as possible meet their deadlines. No I/O.
//
// Priority classes are served in strict order. Within a class, services share by weight (fair queuing), and within a service the request
// with the earliest latest start (deadline minus service time) goes first. A request that would miss its deadline behind the requests ahead of it
// is refused at once, while its caller still has time to try elsewhere. The queue is bounded in total and per service.
//
// A lane is a set of requests that compete for the same targets: those with the same artifacts, or for the same plain service.
//
// Index of sections (search for [SECTION]):
//   Values           waiting requests, the answer to an offer, options
//   AdmissionQueue   the queue
#pragma once

#include "core/declarations.h"
#include "core/ids.h"
#include "core/units.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCup
{

// [SECTION] Values

using LaneName = StrongName<struct LaneNameTag>;
/// The lane of a request: its artifacts' names, or the plain service's.
auto laneOf(const ServiceName &service, const std::vector<ArtifactName> &artifacts) -> LaneName;

struct WaitingRequest {
    RequestId id;
    ServiceName service;
    LaneName lane;
    Priority priority = Priority::Standard;
    TimePoint deadline;
    Duration serviceTime; ///< expected at the target; 0: unknown
};

enum class AdmissionRefusal {
    None,
    TooLate, ///< would miss its deadline behind the requests ahead of it
    QueueFull,
};
auto toString(AdmissionRefusal refusal) -> const char *;

struct AdmissionAnswer {
    AdmissionRefusal refusal = AdmissionRefusal::None;
    Duration retryAfter; ///< if refused
    std::string reason;

    auto isRefused() const -> bool
    {
        return refusal != AdmissionRefusal::None;
    }
};

struct AdmissionOptions {
    std::size_t maxWaiting = 4096; ///< requests in the whole queue
    double maxServiceShare = 0.5; ///< share of `maxWaiting` that one service may fill
    Duration rateWindow = Duration::seconds(2); ///< window over which the start rate of a lane is measured
};

// [SECTION] AdmissionQueue

class AdmissionQueue
{
public:
    /// Whether a request of that lane and priority could start now.
    using HasCapacity = std::function<bool(const LaneName &lane, Priority priority)>;

    explicit AdmissionQueue(AdmissionOptions options = {});

    // Queries
    auto size() const -> std::size_t;
    auto waiting(const LaneName &lane) const -> std::size_t; ///< requests of all classes in that lane
    auto isWaiting(const RequestId &request) const -> bool;
    /// Expected wait of one more request of that class; 0: unknown, or no request is ahead of it.
    auto expectedWait(const LaneName &lane, Priority priority, TimePoint now) const -> Duration;

    // Commands
    /// Queues the request, or returns the reason for its refusal.
    auto offer(const WaitingRequest &request, TimePoint now) -> AdmissionAnswer;
    /// Removes and returns the request that should start next, among those whose lane has capacity.
    auto next(TimePoint now, const HasCapacity &hasCapacity) -> std::optional<RequestId>;
    /// Removes and returns the requests that can't meet their deadline any more; they were certainly not run.
    auto expire(TimePoint now) -> std::vector<RequestId>;
    auto remove(const RequestId &request) -> void; ///< the caller has disconnected
    /// Sets the weight of a service in fair queuing; 1 by default.
    auto setShare(const ServiceName &service, double share) -> void;

private:
    struct Key {
        TimePoint latestStart;
        TimePoint deadline;
        RequestId id;
        auto operator<=>(const Key &) const = default;
    };
    using Ordered = std::set<Key>;
    using Lanes = std::map<LaneName, Ordered>;
    struct ServiceQueue {
        double virtualTime = 0; ///< service time received, divided by the service's share
        Lanes lanes;
        std::size_t size = 0;
    };
    struct ClassQueue {
        std::map<ServiceName, ServiceQueue> services;
        double virtualTime = 0; ///< virtual time of the service that was served last, before that request was charged
    };
    auto dequeue(const WaitingRequest &request) -> void;
    auto share(const ServiceName &service) const -> double;
    auto countAhead(const LaneName &lane, Priority priority) const -> std::size_t;
    auto startRate(const LaneName &lane, TimePoint now) const -> double;

    AdmissionOptions m_options;
    std::map<Priority, ClassQueue> m_classes;
    std::unordered_map<RequestId, WaitingRequest> m_requests;
    std::map<ServiceName, double> m_shares;
    std::map<ServiceName, std::size_t> m_countByService;
    std::map<LaneName, std::deque<TimePoint>> m_starts; ///< recent starts while the lane had a queue
};

} // namespace KingCup
