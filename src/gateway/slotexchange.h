// Exchanges permits for slots of full targets (core/slotpermits.h): queries the arbiters for the requests of this gateway, and grants slots to the requests of
// other gateways as their arbiter.
//
// Messages to one gateway are collected for up to 20 ms. Where targets have free slots, nothing is sent.
//
// Index of sections (search for [SECTION]):
//   Parts          dependencies and callbacks
//   SlotExchange   the task
#pragma once

#include "core/dispatch.h"
#include "core/slotpermits.h"
#include "gateway/digests.h"
#include "gateway/gatewaypeers.h"
#include "net/eventlog.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Parts

struct SlotExchangeParts {
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    GatewayPeers &peers;
    const Dispatcher &dispatcher;
    const TargetNames &names;
};

// [SECTION] SlotExchange

class SlotExchange
{
public:
    /// `self`: id of this gateway.
    SlotExchange(SlotExchangeParts parts, std::string self);

    // Queries
    auto sendLimit(const TargetIncarnation &target, int capacity, double crowding) const -> int; ///< as SlotPermits::sendLimit
    auto state(std::uint64_t number) const -> SlotState;
    auto arbiter(const TargetIncarnation &target) const -> std::string;
    auto self() const -> const std::string &;

    // Commands: this gateway's requests
    /// A request waits for the first slot at one of the targets. `onChange` is called when state() may have changed, never before this returns.
    auto wait(const SlotDemand &demand, const std::vector<TargetIncarnation> &targets, std::function<void()> onChange) -> std::uint64_t;
    auto used(std::uint64_t number) -> void; ///< it was sent with its grant
    auto withdraw(std::uint64_t number) -> void; ///< it no longer waits, or was sent without a grant
    /// Call both after the dispatcher has counted the send as ended. `wasFull`: a send to the target needed a permit before that.
    auto ended(const TargetIncarnation &target, bool wasFull) -> void; ///< a run at the target
    auto rejected(const TargetIncarnation &target, bool wasGranted) -> void; ///< a request, by the target. `wasGranted`: it was sent with a grant
    auto advance() -> void; ///< call a few times a second

    // Commands: other gateways
    auto setAccounts(const std::vector<ClientAccount> &accounts) -> void;
    auto setDirectReports(bool isDirect) -> void; ///< whether digests carry the load of each gateway to all others
    auto digestSent() -> void;
    auto onDigest(const std::string &id) -> void; ///< its load has been merged into the dispatcher
    auto onReports() -> void; ///< a sum of the load of all gateways has been merged into the dispatcher
    auto onSilent(const std::string &id) -> void;
    auto messageReceived(const std::string &id) -> void; ///< any message was received from that gateway
    auto onMessage(const std::string &id, const Wire::SlotPermits &message) -> void;

private:
    auto load(const TargetIncarnation &target) const -> std::optional<SlotLoad>;
    auto act() -> void;
    auto flush() -> void;
    auto send(const std::string &to, const SlotMessages &messages) -> void;
    auto logEvents() -> void;
    auto notify() -> void;
    auto updateMetrics() -> void;

    SlotExchangeParts m_parts;
    std::string m_self;
    SlotPermits m_permits;
    std::set<AccountName> m_accounts; ///< declared ones, with metrics of their own
    std::map<std::uint64_t, std::function<void()>> m_onChange; ///< by request
    std::vector<std::uint64_t> m_changed; ///< requests whose callback is due
    Timer m_messageTimer;
    Timer m_actionTimer;
    Timer m_notifyTimer;
    TimePoint m_logSecond;
    int m_linesInSecond = 0;
    int m_suppressed = 0;
};

} // namespace KingCup
