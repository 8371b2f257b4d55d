#include "gateway/forwarder.h"

#include "gateway/forwardedrequest.h"
#include "net/httpstatus.h"

#include <vector>

namespace KingCup
{

auto Forwarder::Private::noteUnreachable(const TargetId &target) -> void
{
    parts.dispatcher.unreachable(target, parts.loop.now());
    if (const auto *about = parts.dispatcher.description(target)) {
        parts.pool.closeIdle(about->address);
    }
}

auto Forwarder::Private::answer(const CallerExchangePtr &exchange, const RequestTraits &traits, int status, std::optional<Duration> retryAfter, const char *why)
    -> void
{
    parts.log.line("request", "refused")
        .add("id", traits.attempt.text())
        .add("status", status)
        .add("why", why)
        .add("host", findHeader(exchange->head().headers, "host").value_or(""))
        .add("path", exchange->head().target)
        .add("traffic", traffic ? traffic->version.value() : 0);
    parts.metrics.add("requests_total{outcome=\"" + std::string(why) + "\"}");
    exchange->respond(status, parts.protocol.ownAnswerHeaders(traits.attempt, retryAfter), "");
}

// [SECTION] Forwarder

Forwarder::Forwarder(ForwarderParts parts, ForwarderOptions options, ForwarderHooks hooks)
    : d(std::make_unique<Private>(parts, options, std::move(hooks)))
{
}

Forwarder::~Forwarder()
{
    abandonAll();
}

auto Forwarder::open() const -> std::size_t
{
    return d->flows.size();
}

auto Forwarder::adopt(std::shared_ptr<const Traffic> traffic) -> void
{
    d->traffic = std::move(traffic);
    d->routes = RouteTable(*d->traffic);
}

auto Forwarder::setRetryBudget(const SharedRetryBudgetOptions &options) -> void
{
    d->budgetOptions = options;
    for (auto &[service, budget] : d->budgets) {
        budget.setOptions(options);
    }
}

auto Forwarder::setEntries(int live) -> void
{
    d->entries = live;
    for (auto &[service, budget] : d->budgets) {
        budget.setEntries(live);
    }
}

auto Forwarder::handle(const CallerExchangePtr &exchange) -> void
{
    const auto traits = d->parts.protocol.readRequest(exchange->head());
    if (!d->traffic) {
        d->answer(exchange, traits, HttpStatus::Unavailable, DefaultRetryAfter, "no-traffic-declared");
        return;
    }
    if (traits.attempt.isEmpty() || traits.isPatienceMalformed) {
        d->answer(exchange, traits, HttpStatus::BadRequest, std::nullopt, traits.attempt.isEmpty() ? "no-attempt-id" : "bad-deadline");
        return;
    }
    const auto host = findHeader(exchange->head().headers, "host").value_or(std::string_view());
    const auto *route = d->routes.find(host, exchange->head().target);
    if (route == nullptr) {
        const bool isCertain = d->hooks.isTrafficCurrent();
        d->answer(exchange,
                  traits,
                  isCertain ? HttpStatus::NotFound : HttpStatus::Unavailable,
                  isCertain ? std::nullopt : std::optional(DefaultRetryAfter),
                  "no-route");
        return;
    }
    const auto service = pickService(*route, std::uniform_real_distribution<double>(0, 1)(d->random));
    auto flow = std::make_shared<ForwardedRequest>(*d, exchange, traits, *route, service);
    d->flows.insert(flow);
    flow->start();
}

auto Forwarder::crashRepeatReported(std::uint64_t fingerprint, int breaks) -> void
{
    d->crashes.reported(fingerprint, breaks, d->parts.loop.now());
}

auto Forwarder::pump() -> void
{
    d->crashes.expire(d->parts.loop.now());
    const std::vector<std::shared_ptr<ForwardedRequest>> all(d->flows.begin(), d->flows.end());
    for (const auto &flow : all) {
        flow->tryAgain();
    }
}

auto Forwarder::abandonAll() -> int
{
    const std::vector<std::shared_ptr<ForwardedRequest>> all(d->flows.begin(), d->flows.end());
    for (const auto &flow : all) {
        flow->abandon();
    }
    return static_cast<int>(all.size());
}

} // namespace KingCup
