#include "platform/platformcaller.h"

#include "net/httpstatus.h"

#include <algorithm>
#include <glog/logging.h>
#include <random>

namespace KingCup
{

namespace
{

constexpr auto MinTimeout = Duration::millis(1); // a timeout of 0 would mean no limit

auto answerOf(const HttpAnswer &got) -> PlatformAnswer
{
    PlatformAnswer answer;
    answer.status = got.status;
    answer.body = got.body;
    answer.etag = headerValue(got.headers, "etag");
    answer.throttled = got.status == HttpStatus::TooManyRequests;
    if (got.end == CallEnd::NotSent || got.status == HttpStatus::TooManyRequests || got.status == HttpStatus::Unavailable) {
        answer.outcome = PlatformOutcome::Refused;
    } else if (got.end == CallEnd::Complete) {
        answer.outcome = PlatformOutcome::Answered;
    }
    return answer;
}

auto refusal() -> PlatformAnswer
{
    PlatformAnswer answer;
    answer.outcome = PlatformOutcome::Refused;
    return answer;
}

} // namespace

auto errorOf(const PlatformAnswer &answer) -> Error
{
    if (answer.outcome == PlatformOutcome::Lost) {
        return {ErrorCode::Unknown, "no answer"};
    }
    if (answer.outcome == PlatformOutcome::Refused) {
        return answer.throttled ? Error {ErrorCode::Overloaded, "throttled"} : Error {ErrorCode::Unavailable, "not reachable"};
    }
    return {ErrorCode::InvalidInput, "status " + std::to_string(answer.status)};
}

struct PlatformCaller::Private : std::enable_shared_from_this<Private> {
    /// A call of callWithRetries() that is in progress.
    struct RetriedCall {
        HttpCall call;
        TimePoint deadline;
        Backoff backoff;
        Done done;
        Timer timer;
    };

    EventLoop &loop;
    HttpClient &client;
    PlatformOptions options;
    std::string name;
    std::minstd_rand random {std::random_device {}()};
    Breaker breaker;
    std::size_t inFlight = 0;

    Private(EventLoop &ownerLoop, HttpClient &httpClient, PlatformOptions platformOptions, std::string logName)
        : loop(ownerLoop)
        , client(httpClient)
        , options(std::move(platformOptions))
        , name(std::move(logName))
        , breaker(options.breaker, random())
    {
    }
    auto start(HttpCall call, Done done) -> void;
    auto onAnswer(const HttpAnswer &got, const Done &done) -> void;
    auto recordResult(const PlatformAnswer &answer) -> void;
    auto retry(const std::shared_ptr<RetriedCall> &retried) -> void;
    auto onRetryAnswer(const std::shared_ptr<RetriedCall> &retried, const PlatformAnswer &answer) -> void;
};

auto PlatformCaller::Private::start(HttpCall call, Done done) -> void
{
    if (!breaker.mayCall(loop.now()) || inFlight >= options.maxInFlight) {
        loop.post([weak = weak_from_this(), done = std::move(done)] {
            if (!weak.expired()) {
                done(refusal());
            }
        });
        return;
    }
    breaker.started();
    ++inFlight;
    call.server = options.server;
    call.timeout = std::min(call.timeout, options.timeout);
    call.keptHeaders.emplace_back("etag");
    startShortCall(client, std::move(call), [weak = weak_from_this(), done = std::move(done)](const HttpAnswer &got) {
        if (const auto self = weak.lock()) {
            self->onAnswer(got, done);
        }
    });
}

auto PlatformCaller::Private::onAnswer(const HttpAnswer &got, const Done &done) -> void
{
    --inFlight;
    const auto answer = answerOf(got);
    recordResult(answer);
    done(answer);
}

auto PlatformCaller::Private::recordResult(const PlatformAnswer &answer) -> void
{
    const bool wasClosed = breaker.state() == BreakerState::Closed;
    if (answer.outcome == PlatformOutcome::Answered || answer.throttled) {
        breaker.succeeded();
    } else {
        breaker.failed(loop.now());
    }
    const bool isClosed = breaker.state() == BreakerState::Closed;
    if (wasClosed != isClosed) {
        LOG(WARNING) << "platform: " << (isClosed ? "reachable again" : "not reachable") << " service=" << name << " server=" << toString(options.server);
    }
}

auto PlatformCaller::Private::retry(const std::shared_ptr<RetriedCall> &retried) -> void
{
    auto call = retried->call;
    call.timeout = std::max(retried->deadline - loop.now(), MinTimeout);
    start(std::move(call), [this, retried](const PlatformAnswer &answer) { onRetryAnswer(retried, answer); });
}

auto PlatformCaller::Private::onRetryAnswer(const std::shared_ptr<RetriedCall> &retried, const PlatformAnswer &answer) -> void
{
    const Duration delay = retried->backoff.next(random);
    if (answer.outcome == PlatformOutcome::Answered || loop.now() + delay >= retried->deadline) {
        retried->done(answer);
        return;
    }
    retried->timer = loop.after(delay, [weak = weak_from_this(), retried] {
        if (const auto self = weak.lock()) {
            self->retry(retried);
        }
    });
}

PlatformCaller::PlatformCaller(EventLoop &loop, HttpClient &client, PlatformOptions options, std::string name)
    : d(std::make_shared<Private>(loop, client, std::move(options), std::move(name)))
{
}

PlatformCaller::~PlatformCaller() = default;

auto PlatformCaller::isReachable() const -> bool
{
    return d->breaker.state() == BreakerState::Closed;
}

auto PlatformCaller::callsInFlight() const -> std::size_t
{
    return d->inFlight;
}

auto PlatformCaller::call(HttpCall call, Done done) -> void
{
    d->start(std::move(call), std::move(done));
}

auto PlatformCaller::callWithRetries(HttpCall call, Duration deadline, Done done) -> void
{
    auto retried = std::make_shared<Private::RetriedCall>();
    retried->call = std::move(call);
    retried->deadline = d->loop.now() + deadline;
    retried->backoff = Backoff(d->options.backoff);
    retried->done = std::move(done);
    d->retry(retried);
}

} // namespace KingCup
