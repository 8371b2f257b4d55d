#include "gateway/forwarder.h"

#include "gateway/forwardedrequest.h"
#include "net/httpstatus.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace KingCup
{

namespace
{

/// Each account is a time series of its own in the metrics. With more accounts than this, all are counted in one series.
constexpr std::size_t MaxAccountSeries = 128;
/// With a shorter time, a client would come back before the other gateways have reported their usage.
constexpr auto MinLimitRetryAfter = Duration::millis(200);
constexpr double MaxOverloadRetrySpread = 3; ///< upper bound of the random factor on Retry-After of requests that are refused as callers hold too much
constexpr double MaxLimitRetrySpread = 2; ///< upper bound of the random factor on Retry-After

} // namespace

auto Forwarder::Private::markUnreachable(const TargetId &target) -> void
{
    parts.dispatcher.unreachable(target, parts.loop.now());
    if (const auto *description = parts.dispatcher.description(target)) {
        parts.pool.closeIdle(description->address);
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
    auto headers = parts.protocol.ownAnswerHeaders(traits.attempt, retryAfter);
    if (status == HttpStatus::Unauthorized) {
        headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    exchange->respond(status, std::move(headers), "");
}

auto Forwarder::Private::countAccount(const std::string &what, const AccountName &account, double amount) -> void
{
    const bool hasOwnSeries = traffic->accounts.accounts().size() <= MaxAccountSeries;
    parts.metrics.add(what + "{account=\"" + (hasOwnSeries ? account.text() : "all") + "\"}", amount);
}

auto Forwarder::Private::admit(const CallerExchangePtr &exchange, const RequestTraits &traits) -> std::optional<AccountGrant>
{
    const auto tokens = static_cast<std::int64_t>(traits.promptTokens) + traits.maxOutputTokens;
    auto decision = parts.access.decide(traits.authorization, tokens, parts.loop.now());
    if (!decision.grant) {
        reject(exchange, traits, decision);
        return std::nullopt;
    }
    hooks.onAdmitted(decision.grant->account);
    countAccount("account_admitted_total", decision.grant->account, decision.grant->cost);
    return std::move(decision.grant);
}

auto Forwarder::Private::reject(const CallerExchangePtr &exchange, const RequestTraits &traits, const AccessDecision &decision) -> void
{
    parts.log.line("accounts", "rejected")
        .add("id", traits.attempt.text())
        .add("why", toString(decision.refusal))
        .add("key", decision.key ? decision.key->fingerprint() : "-")
        .add("account", decision.account.isEmpty() ? "-" : decision.account.text())
        .add("cost", decision.cost)
        .add("level", decision.level)
        .add("available-in", decision.availableIn)
        .add("proof-age", decision.proofAge.value_or(Duration::millis(-1)));
    std::optional<Duration> retryAfter;
    int status = HttpStatus::Unauthorized;
    if (decision.refusal == AccessRefusal::DeclarationsUnproven || decision.refusal == AccessRefusal::LimitShareUnknown) {
        status = HttpStatus::Unavailable;
        retryAfter = DefaultRetryAfter;
    } else if (decision.refusal == AccessRefusal::OverLimit) {
        status = HttpStatus::TooManyRequests;
        // If all callers came back at the same moment, the first of them would use up the limit.
        const double spread = std::uniform_real_distribution<double>(1, MaxLimitRetrySpread)(random);
        retryAfter = std::max(decision.availableIn, MinLimitRetryAfter) * spread;
        countAccount("account_over_limit_total", decision.account, 1);
    }
    answer(exchange, traits, status, retryAfter, toString(decision.refusal));
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
    return d->requests.size();
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

auto Forwarder::setStop(const StopSchedule &stop) -> void
{
    d->stop = stop;
    retryWaiting();
}

auto Forwarder::setGatewayCount(int live) -> void
{
    d->gatewayCount = live;
    for (auto &[service, budget] : d->budgets) {
        budget.setGatewayCount(live);
    }
}

auto Forwarder::handle(const CallerExchangePtr &exchange) -> void
{
    const auto traits = d->parts.protocol.readRequest(exchange->head());
    if (!d->traffic) {
        d->answer(exchange, traits, HttpStatus::Unavailable, DefaultRetryAfter, "no-traffic-declared");
        return;
    }
    if (traits.attempt.isEmpty() || traits.isTimeBudgetMalformed) {
        d->answer(exchange, traits, HttpStatus::BadRequest, std::nullopt, traits.attempt.isEmpty() ? "no-attempt-id" : "bad-deadline");
        return;
    }
    const auto host = findHeader(exchange->head().headers, "host").value_or(std::string_view());
    const auto *route = d->routes.find(host, exchange->head().target);
    if (route == nullptr) {
        const bool isCertain = d->hooks.areDeclarationsCurrent();
        d->answer(exchange,
                  traits,
                  isCertain ? HttpStatus::NotFound : HttpStatus::Unavailable,
                  isCertain ? std::nullopt : std::optional(DefaultRetryAfter),
                  "no-route");
        return;
    }
    std::optional<AccountGrant> grant;
    if (d->traffic->hasAccounts && !route->isAnonymous) {
        grant = d->admit(exchange, traits);
        if (!grant) {
            return;
        }
    }
    const auto service = pickService(*route, std::uniform_real_distribution<double>(0, 1)(d->random));
    auto request = std::make_shared<ForwardedRequest>(*d, exchange, traits, *route, service);
    if (grant) {
        request->setGrant(std::move(*grant));
    }
    d->requests.insert(request);
    request->start();
}

auto Forwarder::timeBudget(const HttpHead &head) const -> std::optional<Duration>
{
    const auto asked = d->parts.protocol.readRequest(head).timeBudget;
    const auto host = findHeader(head.headers, "host").value_or(std::string_view());
    const auto *route = d->routes.find(host, head.target);
    if (route == nullptr) {
        return asked;
    }
    return asked ? std::min(*asked, route->timeout) : route->timeout;
}

auto Forwarder::refusalHeaders(const HttpHead &head, CallerRefusal refusal) -> HttpHeaders
{
    std::optional<Duration> retryAfter;
    if (refusal == CallerRefusal::Overloaded) {
        // If all callers came back at the same moment, they would be refused again.
        retryAfter = DefaultRetryAfter * std::uniform_real_distribution<double>(1, MaxOverloadRetrySpread)(d->random);
    }
    return d->parts.protocol.ownAnswerHeaders(d->parts.protocol.readRequest(head).attempt, retryAfter);
}

auto Forwarder::retryWaiting() -> void
{
    std::vector<std::shared_ptr<ForwardedRequest>> waiting;
    std::copy_if(d->requests.begin(), d->requests.end(), std::back_inserter(waiting), [](const auto &request) { return request->isWaiting(); });
    std::sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) { return a->startedAt() < b->startedAt(); });
    for (const auto &request : waiting) {
        request->tryAgain();
    }
}

auto Forwarder::abandonAll() -> int
{
    const std::vector<std::shared_ptr<ForwardedRequest>> all(d->requests.begin(), d->requests.end());
    for (const auto &request : all) {
        request->abandon();
    }
    return static_cast<int>(all.size());
}

} // namespace KingCup
