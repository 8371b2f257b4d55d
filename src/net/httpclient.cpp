// Implements the client of net/http.h on the pool of net/httppool.h, which alone decides what counts as an answer. Each call opens a new connection.
#include "net/http.h"

#include "net/httppool.h"
#include "net/tls.h"

#include <unordered_set>
#include <utility>

namespace KingCup
{

namespace
{

/// Servers may be in other regions, and their hosts busy with a handshake of TLS.
constexpr auto ConnectTimeout = Duration::seconds(5);
constexpr auto UnackedTimeout = Duration::seconds(5);

auto poolOptions(ssl_ctx_st *tls, const AnswerBounds &answers) -> HttpPoolOptions
{
    HttpPoolOptions options;
    options.answers = answers;
    options.tcp.connectTimeout = ConnectTimeout;
    options.tcp.unackedTimeout = UnackedTimeout;
    options.tcp.tls = tls;
    options.keepsConnections = false;
    return options;
}

/// The headers of these lower-case names, with their names in lower case.
auto keptHeaders(const HttpHeaders &headers, const std::vector<std::string> &names) -> HttpHeaders
{
    HttpHeaders kept;
    for (const auto &name : names) {
        if (const auto value = findHeader(headers, name)) {
            kept.push_back({name, std::string(*value)});
        }
    }
    return kept;
}

} // namespace

struct HttpClient::Private {
    EventLoop &loop;
    std::unique_ptr<TlsContext> tlsContext; // null without TLS
    std::unique_ptr<TlsRenewal> tlsRenewal;
    HttpPool pool;
    struct Call;
    std::unordered_set<std::shared_ptr<Call>> calls;

    Private(EventLoop &ownerLoop, const TlsFiles &tls, const AnswerBounds &answers)
        : loop(ownerLoop)
        , tlsContext(tls.isEnabled() ? std::make_unique<TlsContext>(TlsContext::Side::Client, tls) : nullptr)
        , tlsRenewal(tlsContext ? std::make_unique<TlsRenewal>(loop, tls, tlsContext->native()) : nullptr)
        , pool(loop, poolOptions(tlsContext ? tlsContext->native() : nullptr, answers))
    {
    }
};

struct HttpClient::Private::Call : HttpCallHandle, std::enable_shared_from_this<Call> {
    Private *client = nullptr;
    HttpCall call;
    std::shared_ptr<PooledHandle> handle;
    Timer timer;
    bool ended = false;

    auto cancel() -> void override
    {
        end(CallEnd::Cancelled);
    }
    auto hold(std::size_t bytes) -> void override
    {
        handle->hold(bytes);
    }
    auto pause() -> void override
    {
        if (!ended) {
            handle->pause();
        }
    }
    auto resume() -> void override
    {
        if (!ended) {
            handle->resume();
        }
    }
    auto start() -> void;
    auto end(CallEnd how) -> void;
};

auto HttpClient::Private::Call::start() -> void
{
    call.keptHeaders.emplace_back("content-type");
    PooledCall pooled;
    pooled.server = call.server;
    pooled.method = call.method;
    pooled.target = call.path;
    pooled.headers = {{"host", toString(call.server)}, {"connection", "close"}};
    pooled.headers.insert(pooled.headers.end(), call.headers.begin(), call.headers.end());
    pooled.body = std::move(call.body);
    pooled.maxBody = call.maxBody;
    pooled.collectsBody = call.collectsBody;
    pooled.onHead = [this](const HttpHead &head) {
        if (call.onHead) {
            call.onHead(head.status, keptHeaders(head.headers, call.keptHeaders));
        }
        return AnswerVerdict::Accept;
    };
    pooled.onBody = [this](std::string_view bytes) {
        if (call.onData && !ended) {
            call.onData(bytes);
        }
    };
    pooled.onEnd = [self = shared_from_this()](const PooledEnd &pooledEnd) {
        self->end(pooledEnd.end);
    };
    handle = client->pool.start(std::move(pooled));
    if (call.timeout > Duration()) {
        timer = client->loop.after(call.timeout, [this] { end(handle->wasSent() ? CallEnd::Timeout : CallEnd::NotSent); });
    }
}

/// Closes the connection and calls onEnd once, by a posted task and so never from within a call of the user.
auto HttpClient::Private::Call::end(CallEnd how) -> void
{
    if (ended) {
        return;
    }
    ended = true;
    const auto self = shared_from_this();
    timer.cancel();
    handle->cancel();
    client->calls.erase(self);
    client->loop.post([self, how] {
        const auto onEnd = std::move(self->call.onEnd);
        self->call.onHead = nullptr;
        self->call.onData = nullptr;
        self->call.onEnd = nullptr;
        if (onEnd) {
            onEnd(how);
        }
    });
}

HttpClient::HttpClient(EventLoop &loop, const TlsFiles &tls, const AnswerBounds &answers)
    : d(std::make_unique<Private>(loop, tls, answers))
{
}

HttpClient::~HttpClient()
{
    const auto calls = d->calls;
    for (const auto &call : calls) {
        call->end(CallEnd::Cancelled);
    }
}

auto HttpClient::start(HttpCall call) -> std::shared_ptr<HttpCallHandle>
{
    auto started = std::make_shared<Private::Call>();
    started->client = d.get();
    started->call = std::move(call);
    d->calls.insert(started);
    started->start();
    return started;
}

auto HttpClient::answerLoad() const -> const AnswerLoad &
{
    return d->pool.answerLoad();
}

auto HttpClient::callsInFlight() const -> std::size_t
{
    return d->calls.size();
}

} // namespace KingCup
