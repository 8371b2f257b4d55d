// The way of each request through an entry that reaches targets directly: understood, routed, sent, sent again where that is safe, answered.
//
// What was sent without an answer may have run, so only two things lead to another send: the target's own statement that it did not run the
// request, or a request that may run more than once. Where neither holds and no answer came, the client gets 502 or 504, which
// promise nothing; 503 is said only of a request that certainly did not run.
//
// Index of sections (search for [SECTION]):
//   Parts      what the forwarder uses
//   Forwarder  the requests in flight
#pragma once

#include "core/accountaccess.h"
#include "core/dispatch.h"
#include "core/reuselimit.h"
#include "core/sharedretrybudget.h"
#include "core/traffic.h"
#include "gateway/callerserver.h"
#include "gateway/protocol.h"
#include "net/eventlog.h"
#include "net/httppool.h"
#include "net/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] Parts

/// Owned by the gateway; they outlive the forwarder.
struct ForwarderParts {
    EventLoop &loop;
    const Protocol &protocol;
    HttpPool &pool;
    Dispatcher &dispatcher;
    ReuseLimit &reuse;
    AccountAccess &access;
    Metrics &metrics;
    EventLog &log;
};

struct ForwarderHooks {
    std::function<bool()> isTrafficCurrent; ///< the declared traffic was confirmed lately, so what it lacks isn't there
    std::function<void(const ServiceName &service, const std::string &model, const std::string &adapter)> onMissing; ///< no target holds it
    /// Another target has that address, or this one lacks the model or adapter. `found`: who answered; empty if it didn't say.
    std::function<void(const TargetId &target, const TargetId &found, const std::string &model, const std::string &adapter)> onMisdirected;
    /// The only target with the adapter is too busy.
    std::function<void(const ServiceName &service, const std::string &model, const std::string &adapter)> onOverloaded;
    std::function<void(const DispatchRequest &request)> onRequest; ///< once for each
    std::function<void(const AccountName &account)> onAdmitted; ///< charged to it
    std::function<void(const TargetId &target, const DispatchRequest &request, SendId send)> onSent;
    std::function<void(std::uint64_t fingerprint, int breaks)> onCrashRepeat; ///< other gateways are to know it
};

struct ForwarderOptions {
    std::uint64_t seed = 1; ///< of random draws
    std::size_t streamBuffer = 256U << 10U; ///< bytes towards a client before its target is held back
    std::size_t maxBufferedAnswer = 1U << 20U; ///< bytes of a plain answer that are kept until it is whole; longer ones are passed on as they come
    int maxSends = 4; ///< of one request, rejected ones included
};

// [SECTION] Forwarder

class Forwarder
{
public:
    Forwarder(ForwarderParts parts, ForwarderOptions options, ForwarderHooks hooks);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    auto operator=(const Forwarder &) -> Forwarder & = delete;

    auto open() const -> std::size_t; ///< requests without a final answer

    auto adopt(std::shared_ptr<const Traffic> traffic) -> void;
    auto setRetryBudget(const SharedRetryBudgetOptions &options) -> void;
    auto setGatewayCount(int live) -> void;
    auto handle(const CallerExchangePtr &exchange) -> void;
    /// Targets or what they hold have changed: requests that wait for that are tried again.
    auto retryWaiting() -> void;
    /// Another gateway has seen targets break off while they ran that request.
    auto crashRepeatReported(std::uint64_t fingerprint, int breaks) -> void;
    /// Ends all that is open; returns how many were cut off.
    auto abandonAll() -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
