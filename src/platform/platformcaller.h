// Calls to one service of the platform: bounded in number and time, and none at all while its circuit breaker is open.
//
// Index of sections (search for [SECTION]):
//   Options   of every platform client
//   Answer    what came of a call
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
    Duration timeout = Duration::seconds(2); ///< of one try
    std::size_t maxInFlight = 64; ///< further calls are refused
    BreakerOptions breaker;
    BackoffOptions backoff {.initial = Duration::millis(50), .max = Duration::seconds(2)}; ///< between two tries of a read
};

// [SECTION] Answer

enum class PlatformOutcome {
    Answered, ///< by the service, whatever its verdict
    Refused, ///< certainly without effect: not sent, throttled or unavailable
    Lost, ///< sent, but no answer: the effect is unknown
};

struct PlatformAnswer {
    PlatformOutcome outcome = PlatformOutcome::Lost;
    bool throttled = false; ///< Refused, but the service is well
    int status = 0;
    std::string etag;
    std::string body;
};

/// The error that an answer without a verdict stands for: Overloaded, Unavailable or Unknown.
auto errorOf(const PlatformAnswer &answer) -> Error;

// [SECTION] Caller

class PlatformCaller
{
public:
    using Done = std::function<void(const PlatformAnswer &)>;

    /// `name` stands in log lines. Of the client's calls in flight no answer arrives once this is destroyed.
    PlatformCaller(EventLoop &loop, HttpClient &client, PlatformOptions options, std::string name);
    ~PlatformCaller();
    PlatformCaller(const PlatformCaller &) = delete;
    auto operator=(const PlatformCaller &) -> PlatformCaller & = delete;

    auto isReachable() const -> bool; ///< the breaker is closed
    auto callsInFlight() const -> std::size_t;

    /// One try. `done` is called on the loop, never from within this call. The server is filled in, and the timeout is at most
    /// the options'.
    auto call(HttpCall call, Done done) -> void;
    /// Tries again until the service has answered or `deadline` has passed from now: for calls that may be repeated.
    auto callWithRetries(HttpCall call, Duration deadline, Done done) -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
