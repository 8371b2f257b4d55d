// Enforces the request limits that targets announce over all gateways together (core/announcedlimits.h, core/requestpermits.h): notifies the other gateways of
// limits, queries their arbiters for permits, and issues permits to other gateways.
//
// Index of sections (search for [SECTION]):
//   Parts           dependencies, settings and callbacks
//   LimitExchange   the task
#pragma once

#include "core/announcedlimits.h"
#include "core/requestpermits.h"
#include "gateway/gatewaypeers.h"
#include "net/eventlog.h"
#include "net/metrics.h"

#include <functional>
#include <optional>
#include <string>

namespace KingCup
{

// [SECTION] Parts

struct LimitExchangeParts {
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    GatewayPeers &peers;
};

struct LimitExchangeHooks {
    std::function<void()> onPermit; ///< a permit was granted or denied, or a limit has ended: requests that wait for a permit can go on
};

// [SECTION] LimitExchange

class LimitExchange
{
public:
    /// `self`: id of this gateway.
    LimitExchange(LimitExchangeParts parts, std::string self, LimitExchangeHooks hooks);

    // Queries
    auto perSecond(const TargetIncarnation &target) const -> std::optional<double>; ///< the limit in force; nothing: none
    auto maySend(const TargetIncarnation &target) const -> bool; ///< the target has no limit, or a permit for it is held

    // Commands: this gateway's requests
    /// A request would use the target, but maySend() is false. `isWaiting`: no other target can take it.
    auto wanted(const TargetIncarnation &target, bool isWaiting) -> PermitState;
    auto sent(const TargetIncarnation &target) -> void;
    /// An answer to a request that was sent at `sentAt`, with the limit that it announces.
    auto answerReceived(const TargetIncarnation &target, std::optional<double> perSecond, TimePoint sentAt) -> void;
    auto advance() -> void; ///< call a few times a second

    // Commands: other gateways
    auto greeting() const -> std::optional<Wire::ControlFrame>; ///< for a gateway that has just connected; nothing: no limit is known
    auto onMessage(const std::string &id, const Wire::TargetLimits &message) -> void;

private:
    auto logChange(const TargetIncarnation &target, const char *source) -> void;
    auto flush() -> void;
    auto issueDue() -> void;

    LimitExchangeParts m_parts;
    LimitExchangeHooks m_hooks;
    AnnouncedLimits m_limits;
    RequestPermits m_permits;
    Timer m_issueTimer;
};

} // namespace KingCup
