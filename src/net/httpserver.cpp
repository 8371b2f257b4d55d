// Implements the server of net/http.h on net/callerserver.h.
//
// Index of sections (search for [SECTION]):
//   Exchange   a request and its answer
//   Request    what handlers get of a request's head
//   Server     hooks of the callers' server
#include "core/releasetext.h"
#include "net/callerserver.h"
#include "net/http.h"
#include "net/httpstatus.h"
#include "net/tls.h"
#include "net/urlencoding.h"

#include <algorithm>
#include <array>
#include <utility>

namespace KingCup
{

namespace
{

constexpr auto KeepAliveTime = Duration::seconds(60); ///< a connection without a request is closed after this time

auto problemAnswer(const std::string &code) -> CallerServerHooks::Answer
{
    return {{{"content-type", "application/problem+json"}, {"kingcup-outcome", "not-run"}}, R"({"code":")" + code + R"("})"};
}

} // namespace

// [SECTION] Exchange

struct HttpExchange::Private {
    HttpRequest request;
    CallerExchangePtr caller;
};

HttpExchange::HttpExchange(HttpRequest request)
    : d(std::make_unique<Private>())
{
    d->request = std::move(request);
}

HttpExchange::~HttpExchange() = default;

auto HttpExchange::request() const -> const HttpRequest &
{
    return d->request;
}

auto HttpExchange::releaseBody() -> void
{
    releaseText(d->request.body);
}

auto HttpExchange::hold(std::size_t bytes) -> void
{
    if (d->caller) {
        d->caller->hold(bytes);
    }
}

auto HttpExchange::isUnderPressure() const -> bool
{
    return d->caller && d->caller->isUnderPressure();
}

auto HttpExchange::isOpen() const -> bool
{
    return d->caller && d->caller->isOpen();
}

auto HttpExchange::hasBegun() const -> bool
{
    return d->caller && d->caller->hasBegun();
}

auto HttpExchange::pendingBytes() const -> std::size_t
{
    return d->caller ? d->caller->pendingBytes() : 0;
}

auto HttpExchange::respond(int status, HttpHeaders headers, std::string_view body) -> void
{
    if (d->caller) {
        d->caller->respond(status, std::move(headers), body);
    }
}

auto HttpExchange::begin(int status, HttpHeaders headers) -> void
{
    if (d->caller) {
        d->caller->begin(status, std::move(headers), std::nullopt);
    }
}

auto HttpExchange::write(std::string_view data) -> void
{
    if (d->caller) {
        d->caller->write(data);
    }
}

auto HttpExchange::finish() -> void
{
    if (d->caller) {
        d->caller->finish();
    }
}

auto HttpExchange::abort() -> void
{
    if (d->caller) {
        d->caller->abort();
    }
}

// [SECTION] Request

namespace
{

/// Splits the request line's target into a path and a query that can be forwarded. False if it is malformed.
auto readTarget(std::string_view target, HttpRequest &request) -> bool
{
    const auto mark = std::min(target.find('?'), target.size());
    const auto path = decodePercent(target.substr(0, mark), false);
    if (!path || !path->starts_with("/")) {
        return false;
    }
    request.path = encodePath(normalizedPath(*path));
    auto query = target.substr(std::min(mark + 1, target.size()));
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = decodePercent(query.substr(0, end), true);
        if (!pair) {
            return false;
        }
        if (!pair->empty()) {
            request.query.append(request.query.empty() ? "" : "&").append(encodeQueryPair(*pair));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return true;
}

auto keptHeaders(const HttpHeaders &headers, const std::vector<std::string> &names) -> HttpHeaders
{
    HttpHeaders kept;
    for (const auto &name : names) {
        const auto value = findHeader(headers, name).value_or(std::string_view());
        if (!value.empty()) {
            kept.push_back({name, std::string(value)});
        }
    }
    return kept;
}

auto isKnownMethod(std::string_view method) -> bool
{
    constexpr std::array<std::string_view, 7> Methods {"GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"};
    return std::find(Methods.begin(), Methods.end(), method) != Methods.end();
}

} // namespace

// [SECTION] Server

struct HttpServer::Private {
    HttpServerOptions options;
    Handler handler;
    std::unique_ptr<TlsContext> tls;
    std::unique_ptr<TlsRenewal> tlsRenewal;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true); ///< reset before the connections are closed: no hook is called for these
    std::unique_ptr<CallerServer> callers;

    auto handle(const CallerExchangePtr &caller) const -> void;
};

auto HttpServer::Private::handle(const CallerExchangePtr &caller) const -> void
{
    const auto &head = caller->head();
    const auto refuse = [&](int status, const std::string &code) {
        auto answer = problemAnswer(code);
        caller->respond(status, std::move(answer.headers), answer.body);
    };
    HttpRequest request;
    if (head.majorVersion != 1 || !isKnownMethod(head.method) || !readTarget(head.target, request)) {
        refuse(HttpStatus::BadRequest, "bad-request-line");
        return;
    }
    const bool mayHaveBody = head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
    if (mayHaveBody && head.framing == BodyFraming::None) {
        refuse(HttpStatus::LengthRequired, "length-required");
        return;
    }
    request.method = head.method;
    request.headers = keptHeaders(head.headers, options.keptHeaders);
    request.body = caller->takeBody();
    request.peer = caller->peer();
    const auto exchange = std::make_shared<HttpExchange>(std::move(request));
    exchange->d->caller = caller;
    // This holds the exchange until its answer is complete.
    caller->onGone = [exchange, alive = std::weak_ptr(isAlive)] {
        const auto hook = std::exchange(exchange->onClosed, nullptr);
        if (hook && !alive.expired()) {
            hook();
        }
    };
    caller->onDrained = [weak = std::weak_ptr(exchange)] {
        const auto self = weak.lock();
        if (self && self->onDrained) {
            const auto hook = self->onDrained;
            hook();
        }
    };
    handler(exchange);
}

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options, Handler handler)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
    d->handler = std::move(handler);
    auto &names = d->options.keptHeaders;
    names.insert(names.end(), {"content-type", "content-length", "accept"});
    CallerServerOptions callers;
    callers.listen = d->options.listen;
    callers.limits.bodyBytes = d->options.maxBody;
    callers.limits.headTimeout = d->options.headerTimeout;
    callers.limits.idleTimeout = KeepAliveTime;
    callers.bounds = d->options.bounds;
    callers.bodyCopies = d->options.bodyCopies;
    if (d->options.timeBudget) {
        callers.hooks.timeBudget = [self = d.get()](const HttpHead &head) {
            return self->options.timeBudget(keptHeaders(head.headers, self->options.keptHeaders));
        };
    }
    callers.hooks.refusalAnswer = [](const HttpHead & /*head*/, CallerRefusal refusal) {
        return problemAnswer(toString(refusal));
    };
    if (d->options.tls.isEnabled()) {
        d->options.tls.authority.clear(); // callers need no client certificate
        d->tls = std::make_unique<TlsContext>(TlsContext::Side::Server, d->options.tls);
        d->tlsRenewal = std::make_unique<TlsRenewal>(loop, d->options.tls, d->tls->native(), d->options.tlsCheck);
        callers.tls = d->tls->native();
    }
    d->callers = std::make_unique<CallerServer>(loop, std::move(callers), [self = d.get()](const CallerExchangePtr &caller) { self->handle(caller); });
}

HttpServer::~HttpServer()
{
    d->isAlive.reset();
}

auto HttpServer::port() const -> int
{
    return d->callers->port();
}

auto HttpServer::openExchanges() const -> std::size_t
{
    return d->callers->openExchanges();
}

auto HttpServer::counts() const -> const CallerServerCounts &
{
    return d->callers->counts();
}

auto HttpServer::connections() const -> std::size_t
{
    return d->callers->connections();
}

auto HttpServer::heldBytes() const -> std::size_t
{
    return d->callers->heldBytes();
}

auto HttpServer::close() -> void
{
    d->callers->stopListening();
}

} // namespace KingCup
