// Calls to one service of the platform, with a timeout, a limit on the calls in flight and a circuit breaker.
//
// Index of sections (search for [SECTION]):
//   Options   common to all platform clients
//   Answer    result of a call
//   Caller    PlatformCaller
#pragma once

#include "core/breaker.h"
#include "core/result.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] Options

struct PlatformOptions {
    Endpoint server;
    Duration timeout = Duration::seconds(2); ///< of one attempt
    std::size_t maxInFlight = 64; ///< further calls are refused
    BreakerOptions breaker;
    BackoffOptions backoff {.initial = Duration::millis(50), .max = Duration::seconds(2)}; ///< between two attempts of callWithRetries()
};

// [SECTION] Answer

enum class PlatformOutcome {
    Answered, ///< the service answered, with any status other than 429 and 503
    Refused, ///< without effect: not sent, throttled (429) or unavailable (503)
    Lost, ///< sent, but no complete answer: the call may have taken effect
};

struct PlatformAnswer {
    PlatformOutcome outcome = PlatformOutcome::Lost;
    bool throttled = false; ///< Refused with status 429: the service is reachable
    int status = 0; ///< HTTP status
    std::string etag;
    std::string body;
};

/// The error for an answer that isn't a success: Overloaded (throttled), Unavailable (Refused otherwise), Unknown (Lost) or
/// InvalidInput (Answered with an unexpected status).
auto errorOf(const PlatformAnswer &answer) -> Error;

// [SECTION] Caller

class PlatformCaller
{
public:
    using Done = std::function<void(const PlatformAnswer &)>;

    /// `name` is used in log lines. Once the caller is destroyed, the calls in flight deliver no answers.
    PlatformCaller(EventLoop &loop, HttpClient &client, PlatformOptions options, std::string name);
    ~PlatformCaller();
    PlatformCaller(const PlatformCaller &) = delete;
    auto operator=(const PlatformCaller &) -> PlatformCaller & = delete;

    auto isReachable() const -> bool; ///< the breaker is closed
    auto callsInFlight() const -> std::size_t;

    /// Makes a single attempt. `done` is called on the event loop, never from within call(). Sets the call's server and limits its
    /// timeout to that of the options.
    auto call(HttpCall call, Done done) -> void;
    /// Retries until the service has answered or `deadline` has passed from now. Only for calls that are safe to repeat.
    auto callWithRetries(HttpCall call, Duration deadline, Done done) -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
