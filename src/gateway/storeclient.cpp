#include "gateway/storeclient.h"

#include "gateway/pooledcall.h"
#include "net/httpstatus.h"

#include <random>
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

auto toString(StoreOutcome outcome) -> const char *
{
    switch (outcome) {
    case StoreOutcome::Done:
        return "done";
    case StoreOutcome::Conflict:
        return "conflict";
    case StoreOutcome::HistoryLost:
        return "history-lost";
    case StoreOutcome::Refused:
        return "refused";
    case StoreOutcome::Unclear:
        return "unclear";
    }
    return "?";
}

// [SECTION] StoreClient

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

auto StoreClient::read(StoreTable table, const std::string &from, Done done) -> void
{
    d->call(d->format.readCall(table, from), d->options.timeout, pageDecoder(d->format), std::move(done));
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

// [SECTION] TableWatch

struct TableWatch::Private : std::enable_shared_from_this<TableWatch::Private> {
    EventLoop &loop;
    StoreClient &client;
    EventLog &log;
    StoreTable table;
    TableWatchOptions options;
    TableWatchHooks hooks;
    Backoff backoff;
    std::minstd_rand random;
    Timer nextCallTimer;
    std::vector<StoredRow> pageRows; // rows of the pages read so far
    std::optional<RowVersion> readVersion; // store version as of the first page of the current read
    RowVersion version;
    Duration pause; // between an answer with changes and the next watch call
    std::uint64_t round = 0; // rises with each start and failure; answers to calls of an earlier round are ignored
    bool isLoaded = false;
    bool isReached = false;

    Private(EventLoop &ownerLoop, StoreClient &storeClient, EventLog &eventLog, StoreTable watched, TableWatchOptions watchOptions, TableWatchHooks watchHooks)
        : loop(ownerLoop)
        , client(storeClient)
        , log(eventLog)
        , table(watched)
        , options(watchOptions)
        , hooks(std::move(watchHooks))
        , backoff(options.backoff)
        , random(static_cast<std::minstd_rand::result_type>(loop.now().inMicros()))
    {
    }
    auto start(bool fromScratch) -> void;
    auto readPage(const std::string &from) -> void;
    auto onPage(const StoreAnswer &answer) -> void;
    auto watch() -> void;
    auto onChanges(const StoreAnswer &answer) -> void;
    auto setReached(bool reached) -> void;
    auto retry(StoreOutcome why) -> void;
    template<typename Handler>
    auto guarded(Handler handler)
    {
        return [weak = weak_from_this(), handler, started = round](const StoreAnswer &answer) {
            const auto self = weak.lock();
            if (self && self->round == started) {
                handler(*self, answer);
            }
        };
    }
};

auto TableWatch::Private::start(bool fromScratch) -> void
{
    ++round;
    if (fromScratch || !isLoaded) {
        pageRows.clear();
        readVersion.reset();
        readPage("");
    } else {
        watch();
    }
}

auto TableWatch::Private::readPage(const std::string &from) -> void
{
    client.read(table, from, guarded([](Private &self, const StoreAnswer &answer) { self.onPage(answer); }));
}

auto TableWatch::Private::onPage(const StoreAnswer &answer) -> void
{
    if (answer.outcome != StoreOutcome::Done) {
        isLoaded = false;
        retry(answer.outcome);
        return;
    }
    setReached(true);
    // Rows of later pages may be newer than the first page's version. The watch starts from that version and returns them once more.
    readVersion = readVersion.value_or(answer.page.upTo);
    pageRows.insert(pageRows.end(), answer.page.rows.begin(), answer.page.rows.end());
    if (answer.page.hasMore && !answer.page.rows.empty()) {
        readPage(answer.page.rows.back().key + '\0');
        return;
    }
    version = *readVersion;
    isLoaded = true;
    const auto rows = std::move(pageRows);
    pageRows.clear();
    hooks.onTable(rows, version);
    watch();
}

auto TableWatch::Private::watch() -> void
{
    client.watch(table, version, isReached ? options.pollTimeout : options.probeTimeout, guarded([](Private &self, const StoreAnswer &answer) {
                     self.onChanges(answer);
                 }));
}

auto TableWatch::Private::onChanges(const StoreAnswer &answer) -> void
{
    if (answer.outcome == StoreOutcome::HistoryLost) {
        log.line("store", "history-lost").add("table", static_cast<int>(table)).add("version", version.value());
        start(true);
        return;
    }
    if (answer.outcome != StoreOutcome::Done) {
        retry(answer.outcome);
        return;
    }
    setReached(true);
    version = std::max(version, answer.page.upTo);
    if (answer.page.rows.empty() || pause == Duration()) {
        watch();
    } else {
        nextCallTimer = loop.after(pause, [this] { watch(); });
    }
    if (!answer.page.rows.empty()) {
        hooks.onChanges(answer.page.rows);
    }
}

auto TableWatch::Private::setReached(bool reached) -> void
{
    if (reached) {
        backoff.reset();
    }
    if (isReached != reached) {
        isReached = reached;
        hooks.onReachabilityChanged(reached);
    }
}

auto TableWatch::Private::retry(StoreOutcome why) -> void
{
    ++round;
    if (isReached) {
        log.line("store", "lost").add("table", static_cast<int>(table)).add("why", toString(why)).add("version", version.value());
    }
    setReached(false);
    nextCallTimer = loop.after(backoff.next(random), [this] { start(false); });
}

TableWatch::TableWatch(EventLoop &loop, StoreClient &client, EventLog &log, StoreTable table, TableWatchOptions options, TableWatchHooks hooks)
    : d(std::make_shared<Private>(loop, client, log, table, options, std::move(hooks)))
{
    d->start(true);
}

TableWatch::~TableWatch() = default;

auto TableWatch::isLoaded() const -> bool
{
    return d->isLoaded;
}

auto TableWatch::isReached() const -> bool
{
    return d->isReached;
}

auto TableWatch::version() const -> RowVersion
{
    return d->version;
}

auto TableWatch::setPause(Duration pause) -> void
{
    d->pause = pause;
}

auto TableWatch::renew() -> void
{
    d->nextCallTimer.cancel();
    d->setReached(false);
    d->start(false);
}

auto TableWatch::reload() -> void
{
    d->nextCallTimer.cancel();
    d->start(true);
}

} // namespace KingCup
