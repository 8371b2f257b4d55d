#include "gateway/storeclient.h"

#include "gateway/pooledcall.h"
#include "net/httpstatus.h"

#include <unordered_set>
#include <utility>

namespace KingCup
{

namespace
{

constexpr int FirstClientError = 400;
/// The store may answer a watch call only at the end of the requested wait; the call times out this much later.
constexpr auto WatchMargin = Duration::seconds(1);

} // namespace

struct StoreClient::Private : std::enable_shared_from_this<StoreClient::Private> {
    EventLoop &loop;
    HttpPool &pool;
    const StoreFormat &format;
    StoreClientOptions options;
    std::uint64_t calls = 0;
    TimePoint lastAnswerAt;
    bool isReached = true;
    std::function<void()> *onUnreachable = nullptr;

    auto recordOutcome(StoreOutcome outcome) -> void;

    using Decode = std::function<bool(const std::string &body, StoreAnswer &answer)>;

    Private(EventLoop &ownerLoop, HttpPool &ownerPool, const StoreFormat &storeFormat, StoreClientOptions clientOptions)
        : loop(ownerLoop)
        , pool(ownerPool)
        , format(storeFormat)
        , options(std::move(clientOptions))
    {
    }
    auto call(EncodedCall text, Duration timeout, Decode decode, Done done) -> void;
};

namespace
{

/// A call in flight, and the part of its answer that has arrived.
struct StoreCall : CollectedAnswer {
    std::shared_ptr<PooledHandle> handle;
    Timer timer;
    StoreClient::Done done;

    auto finish(const StoreAnswer &answer) -> void
    {
        timer.cancel();
        handle = nullptr;
        if (const auto hook = std::exchange(done, nullptr)) {
            hook(answer);
        }
    }
};

auto outcomeOfStatus(int status) -> StoreOutcome
{
    if (status == HttpStatus::Ok) {
        return StoreOutcome::Done;
    }
    if (status == HttpStatus::PreconditionFailed) {
        return StoreOutcome::Conflict;
    }
    if (status == HttpStatus::Gone) {
        return StoreOutcome::HistoryLost;
    }
    return status == HttpStatus::Unavailable || (status >= FirstClientError && status < HttpStatus::Unavailable) ? StoreOutcome::Refused
                                                                                                                 : StoreOutcome::Unclear;
}

} // namespace

auto StoreClient::Private::call(EncodedCall text, Duration timeout, Decode decode, Done done) -> void
{
    ++calls;
    auto state = std::make_shared<StoreCall>();
    state->done = std::move(done);
    auto pooled = collectingCall(options.server, std::move(text), state);
    pooled.onEnd = [weak = weak_from_this(), state, decode = std::move(decode)](const PooledEnd &end) {
        StoreAnswer answer;
        if (end.end == CallEnd::Complete) {
            answer.outcome = outcomeOfStatus(state->status);

            if (answer.outcome == StoreOutcome::Done && !decode(state->body, answer)) {
                answer.outcome = StoreOutcome::Unclear;
            }
        } else {
            answer.outcome = end.end == CallEnd::NotSent ? StoreOutcome::Refused : StoreOutcome::Unclear;
        }
        if (const auto self = weak.lock()) {
            self->recordOutcome(answer.outcome);
        }
        state->finish(answer);
    };
    state->timer = loop.after(timeout, [weak = weak_from_this(), state] {
        if (state->handle) {
            state->handle->cancel();
        }
        if (const auto self = weak.lock()) {
            self->recordOutcome(StoreOutcome::Unclear);
        }
        state->finish({});
    });
    state->handle = pool.start(std::move(pooled));
}

auto StoreClient::Private::recordOutcome(StoreOutcome outcome) -> void
{
    const bool wasReached = std::exchange(isReached, outcome != StoreOutcome::Refused && outcome != StoreOutcome::Unclear);
    if (isReached) {
        lastAnswerAt = loop.now();
    }
    // Also called when the store is reachable again: rows that it removed because their targets couldn't renew them return only after the store's recovery.
    if ((!isReached || !wasReached) && onUnreachable != nullptr && *onUnreachable) {
        (*onUnreachable)();
    }
}

StoreClient::StoreClient(EventLoop &loop, HttpPool &pool, const StoreFormat &format, StoreClientOptions options)
    : d(std::make_shared<Private>(loop, pool, format, std::move(options)))
{
    d->onUnreachable = &onUnreachable;
}

StoreClient::~StoreClient()
{
    d->onUnreachable = nullptr;
}

auto StoreClient::calls() const -> std::uint64_t
{
    return d->calls;
}

auto StoreClient::lastAnswerAt() const -> TimePoint
{
    return d->lastAnswerAt;
}

auto StoreClient::setServer(const Endpoint &server) -> void
{
    d->options.server = server;
}

namespace
{

auto pageDecoder(const StoreFormat &format)
{
    return [&format](const std::string &body, StoreAnswer &answer) {
        auto page = format.decodePage(body);
        if (page) {
            answer.page = std::move(*page);
        }
        return page.has_value();
    };
}

} // namespace

auto StoreClient::read(StoreTable table, const KeyRange &keys, Done done) -> void
{
    d->call(d->format.readCall(table, keys), d->options.timeout, pageDecoder(d->format), std::move(done));
}

auto StoreClient::watch(StoreTable table, RowVersion after, Duration wait, Done done) -> void
{
    d->call(d->format.watchCall(table, after, wait), wait + WatchMargin, pageDecoder(d->format), std::move(done));
}

auto StoreClient::change(StoreTable table, const std::vector<StoreChange> &changes, Done done) -> void
{
    const auto decode = [&format = d->format](const std::string &body, StoreAnswer &answer) {
        const auto version = format.decodeChangeVersion(body);
        answer.version = version.value_or(RowVersion());
        return version.has_value();
    };
    d->call(d->format.changeCall(table, changes), d->options.timeout, decode, std::move(done));
}

} // namespace KingCup
