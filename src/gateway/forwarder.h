// Forwards callers' requests to targets: parses each request, routes and sends it, resends it where that is safe, and answers it.
//
// A request that was sent and not answered may have run. It is resent only if the target states that it did not run it, or if its route allows
// that it runs more than once. If neither holds and no answer came, the client gets 502 or 504, which leave open whether it ran; 503 is used only
// for a request that certainly did not run.
//
// Index of sections (search for [SECTION]):
//   Parts      dependencies, hooks and options
//   Forwarder  the requests in flight
#pragma once

#include "core/accountaccess.h"
#include "core/dispatch.h"
#include "core/reuselimit.h"
#include "core/sharedretrybudget.h"
#include "core/stopadmission.h"
#include "core/traffic.h"
#include "gateway/crashwatch.h"
#include "gateway/limitexchange.h"
#include "gateway/origintask.h"
#include "gateway/protocol.h"
#include "gateway/slotexchange.h"
#include "net/callerserver.h"
#include "net/eventlog.h"
#include "net/httppool.h"
#include "net/metrics.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace KingCup
{

// [SECTION] Parts

/// Dependencies of the forwarder. The gateway owns them, and they outlive the forwarder.
struct ForwarderParts {
    EventLoop &loop;
    const Protocol &protocol;
    HttpPool &pool;
    Dispatcher &dispatcher;
    ReuseLimit &reuse;
    AccountAccess &access;
    LimitExchange &limits;
    SlotExchange &slots;
    CrashWatch &crashes;
    OriginTask &origins;
    Metrics &metrics;
    EventLog &log;
};

struct ForwarderHooks {
    std::function<bool()> areDeclarationsCurrent; ///< the declared traffic was confirmed recently: a route that it lacks doesn't exist
    /// No target holds the model, or none that holds it has the adapter. `version`: looked for at targets of this software version only; empty: at all.
    std::function<void(const ServiceName &service, const std::string &model, const std::string &adapter, const SoftwareVersion &version)> onMissing;
    /// A target refused a request because another target has its address now, or because it lacks the model or adapter. `found` is the target that
    /// answered; empty if the answer doesn't name it.
    std::function<void(const TargetId &target, const TargetId &found, const std::string &model, const std::string &adapter)> onMisdirected;
    /// The only target with the adapter has too long a backlog, or is over its request limit.
    std::function<void(const ServiceName &service, const std::string &model, const std::string &adapter)> onOverloaded;
    std::function<void(const DispatchRequest &request)> onRequest; ///< called once for each request
    std::function<void(const AccountName &account)> onAdmitted; ///< a request was charged to the account
    std::function<void(const TargetId &target, const DispatchRequest &request, SendId send)> onSent;
    /// An answer has arrived whose metadata also describes the target itself. `sentAt`: when the request was sent.
    std::function<void(const TargetIncarnation &target, const AnswerTraits &answer, TimePoint sentAt)> onAnswer;
};

struct ForwarderOptions {
    std::uint64_t seed = 1; ///< of the random number generator
    std::size_t streamBuffer = 256U << 10U; ///< bytes pending towards a client above which reading from its target is paused
    std::size_t maxEvent = 1U << 20U; ///< bytes of an event; a stream with a longer one is broken off, as what the target sends aren't events
    std::size_t maxDroppedBody = 8U << 20U; ///< bytes of an answer of which the client gets nothing; a longer one is broken off
    std::size_t maxBufferedAnswer = 1U << 20U; ///< bytes of an answer kept until it is complete; longer ones are forwarded as they arrive
    int maxSends = 4; ///< per request, including sends that the target rejected
};

// [SECTION] Forwarder

class Forwarder
{
public:
    Forwarder(ForwarderParts parts, ForwarderOptions options, ForwarderHooks hooks);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    auto operator=(const Forwarder &) -> Forwarder & = delete;

    auto open() const -> std::size_t; ///< number of requests without a final answer

    auto adopt(std::shared_ptr<const Traffic> traffic) -> void;
    auto setRetryBudget(const SharedRetryBudgetOptions &options) -> void;
    auto setGatewayCount(int live) -> void; ///< live gateways, which share the retry budgets; this one included
    auto handle(const CallerExchangePtr &exchange) -> void;
    /// The time that a request with this head has, as far as its client or its route names one.
    auto timeBudget(const HttpHead &head) const -> std::optional<Duration>;
    /// Headers of the answer to a request that is refused before it is handed over.
    auto refusalHeaders(const HttpHead &head, CallerRefusal refusal) -> HttpHeaders;
    /// Tries waiting requests again. Call it when targets, or the models that they hold, have changed.
    auto retryWaiting() -> void;
    /// The process stops: requests that can't be expected to be answered before are refused.
    auto setStop(const StopSchedule &stop) -> void;
    /// Ends all open requests; returns how many were cut off.
    auto abandonAll() -> int;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
