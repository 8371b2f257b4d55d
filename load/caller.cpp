#include "caller.h"

#include "answercheck.h"
#include "net/http.h"
#include "net/httpstatus.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace KingCup
{

namespace
{

using json = nlohmann::json;

constexpr auto Tick = Duration::millis(5); // libwebsockets spins through the last millisecond before a timer: shorter ticks cost a core
constexpr auto PatienceAfterBudget = Duration::seconds(10); ///< then the caller hangs up
constexpr std::size_t CharsPerToken = 4; ///< as the stand-ins count
constexpr int Accounts = 100000;

/// One sending of a request. A request has a second one if its caller sends again.
struct Call {
    std::size_t record = 0;
    AnswerCheck check;
    int status = 0;
    std::string outcome; ///< the entry's header
    std::string body; ///< where it isn't a stream
    bool isStream = false;
    TimePoint lastToken;
};
using CallPtr = std::shared_ptr<Call>;

struct Pending {
    int open = 0; ///< calls under way
    bool answeredNotRun = true; ///< by all calls so far
    Timer resend;
};

auto fillIn(std::string text, const std::string &mark, const std::string &value) -> std::string
{
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + value.size())) {
        text.replace(at, mark.size(), value);
    }
    return text;
}

/// `tokens` tokens of text that begins with `start`.
auto textOf(const std::string &start, int tokens) -> std::string
{
    std::string text = start;
    const auto size = static_cast<std::size_t>(std::max(tokens, 0)) * CharsPerToken;
    while (text.size() < size) {
        text += " " + start;
    }
    text.resize(size);
    return text;
}

} // namespace

auto toString(SeenEnd end) -> const char *
{
    switch (end) {
    case SeenEnd::None:
        return "none";
    case SeenEnd::Whole:
        return "whole";
    case SeenEnd::Wrong:
        return "wrong";
    case SeenEnd::Refused:
        return "refused";
    case SeenEnd::Unknown:
        return "unknown";
    }
    return "";
}

struct Caller::Private {
    EventLoop &loop;
    const Workload &workload;
    const Schedule &schedule;
    CallerOptions options;
    HttpClient client;
    std::vector<Record> records;
    std::vector<Gaps> gaps;
    std::unordered_map<std::size_t, Pending> pending;
    std::size_t next = 0;
    TimePoint startedAt;
    Duration latestStart;
    Timer ticks;
    std::function<void()> done;

    Private(EventLoop &ownerLoop, const Workload &load, const Schedule &plan, CallerOptions callerOptions)
        : loop(ownerLoop)
        , workload(load)
        , schedule(plan)
        , options(std::move(callerOptions))
        , client(loop)
        , gaps(load.classes.size())
    {
    }

    auto classOf(const Record &record) const -> const RequestClass &
    {
        return workload.classes[record.arrival.classIndex];
    }
    auto key(const Arrival &arrival) const -> std::string
    {
        return options.runId + "-" + std::to_string(arrival.number);
    }
    auto sinceIntended(const Record &record) const -> Duration
    {
        return loop.now() - (startedAt + record.arrival.at);
    }
    auto tick() -> void;
    auto send(std::size_t index, std::size_t entry) -> void;
    auto prompt(const Record &record) const -> std::string;
    auto prepare(const Record &record, HttpCall &call) const -> void;
    auto planResend(std::size_t index, std::size_t entry) -> void;
    auto onData(const CallPtr &call, std::string_view data) -> void;
    auto onToken(const CallPtr &call) -> void;
    auto onEnd(const CallPtr &call, CallEnd end) -> void;
    auto judge(const CallPtr &call, CallEnd end, std::string &code) const -> SeenEnd;
    auto finishIfDone() -> void;
};

auto Caller::Private::tick() -> void
{
    const auto passed = loop.now() - startedAt;
    while (next < schedule.arrivals.size() && schedule.arrivals[next].at <= passed) {
        latestStart = std::max(latestStart, passed - schedule.arrivals[next].at);
        records.push_back(Record {.arrival = schedule.arrivals[next]});
        const auto entry = next % options.entries.size();
        pending[next] = {};
        send(next, entry);
        planResend(next, entry);
        ++next;
    }
    finishIfDone();
}

auto Caller::Private::planResend(std::size_t index, std::size_t entry) -> void
{
    const auto &record = records[index];
    if (!record.arrival.mayResend || options.entries.size() < 2) {
        return;
    }
    const auto &one = classOf(record);
    const auto deadline = one.whole.inMicros() > 0 ? one.whole : one.budget;
    pending[index].resend = loop.after(deadline, [this, index, entry] {
        records[index].wasResent = true;
        send(index, (entry + 1) % options.entries.size());
    });
}

auto Caller::Private::prompt(const Record &record) const -> std::string
{
    const auto &one = classOf(record);
    const auto number = std::to_string(record.arrival.number);
    const auto shared = textOf("shared " + one.name + " " + options.names[record.arrival.name], one.sharedTokens);
    const auto own = textOf((record.arrival.crashesEngine ? "crash-me " : "own ") + options.runId + " " + number, one.promptTokens - one.sharedTokens);
    return shared + own;
}

auto Caller::Private::prepare(const Record &record, HttpCall &call) const -> void
{
    const auto &one = classOf(record);
    const auto number = std::to_string(record.arrival.number % Accounts);
    call.headers = {{"kingcup-priority", toString(one.priority)}, {"kingcup-time-budget-ms", std::to_string(one.budget.inMillis())}};
    if (one.isModel) {
        call.method = "POST";
        call.path = "/v1/completions";
        call.headers.push_back({"content-type", "application/json"});
        const json body {{"model", options.names[record.arrival.name]}, {"prompt", prompt(record)}, {"max_tokens", one.outputTokens}, {"stream", true}};
        call.body = body.dump();
        return;
    }
    call.method = one.method;
    call.path = fillIn(one.path, "{n}", number);
    call.body = fillIn(fillIn(one.body, "{n}", number), "{key}", key(record.arrival));
    if (!call.body.empty()) {
        call.headers.push_back({"content-type", "application/json"});
    }
    if (one.runsOnce) {
        call.headers.push_back({"idempotency-key", key(record.arrival)});
    }
}

auto Caller::Private::send(std::size_t index, std::size_t entry) -> void
{
    const auto &record = records[index];
    const auto &one = classOf(record);
    auto call = std::make_shared<Call>();
    call->record = index;
    call->isStream = one.isModel;
    if (one.isModel) {
        call->check = AnswerCheck(options.artifacts[record.arrival.name], prompt(record), one.outputTokens);
    }
    HttpCall http;
    http.server = options.entries[entry];
    http.timeout = one.budget + PatienceAfterBudget;
    http.keptHeaders = {"kingcup-outcome"};
    prepare(record, http);
    http.onHead = [call](int status, const HttpHeaders &headers) {
        call->status = status;
        call->outcome = headerValue(headers, "kingcup-outcome");
        call->isStream = headerValue(headers, "content-type").starts_with("text/event-stream");
    };
    http.onData = [this, call](std::string_view data) {
        onData(call, data);
    };
    http.onEnd = [this, call](CallEnd end) {
        onEnd(call, end);
    };
    ++pending[index].open;
    client.start(std::move(http));
}

auto Caller::Private::onData(const CallPtr &call, std::string_view data) -> void
{
    if (!call->isStream) {
        call->body.append(data);
        return;
    }
    const auto tokens = call->check.feed(data);
    for (int i = 0; i < tokens; ++i) {
        onToken(call);
    }
}

auto Caller::Private::onToken(const CallPtr &call) -> void
{
    auto &record = records[call->record];
    const auto now = loop.now();
    if (record.firstToken.inMicros() == 0) {
        record.firstToken = sinceIntended(record);
    }
    if (call->lastToken != TimePoint()) {
        const auto gap = now - call->lastToken;
        const auto limit = classOf(record).gap;
        ++record.gaps;
        record.gapsKept += gap <= limit ? 1 : 0;
        if (record.arrival.at >= workload.warmup) {
            gaps[record.arrival.classIndex].push_back(static_cast<std::uint32_t>(gap.inMicros()));
        }
    }
    call->lastToken = now;
}

auto Caller::Private::judge(const CallPtr &call, CallEnd end, std::string &code) const -> SeenEnd
{
    if (end == CallEnd::NotSent) {
        code = "entry-unreachable";
        return SeenEnd::Refused;
    }
    const bool isGood = HttpStatus::isSuccess(call->status);
    if (isGood && call->isStream) {
        code = call->check.problem();
        return call->check.isWrong() ? SeenEnd::Wrong : call->check.isWhole() && end == CallEnd::Complete ? SeenEnd::Whole : SeenEnd::Unknown;
    }
    if (end != CallEnd::Complete) {
        code = toString(end);
        return SeenEnd::Unknown;
    }
    if (isGood) {
        return SeenEnd::Whole;
    }
    const auto body = json::parse(call->body, nullptr, false);
    code = body.is_object() ? body.value("code", std::to_string(call->status)) : std::to_string(call->status);
    return call->outcome == "not-run" ? SeenEnd::Refused : SeenEnd::Unknown;
}

auto Caller::Private::onEnd(const CallPtr &call, CallEnd end) -> void
{
    auto &record = records[call->record];
    auto &open = pending[call->record];
    std::string code;
    const auto seen = judge(call, end, code);
    open.answeredNotRun = open.answeredNotRun && seen == SeenEnd::Refused;
    --open.open;
    const bool isBetter = record.end != SeenEnd::Whole && (seen == SeenEnd::Whole || seen == SeenEnd::Wrong || open.open == 0);
    if (isBetter) {
        record.end = seen;
        record.code = code;
        record.whole = sinceIntended(record);
    }
    if (open.open == 0) {
        record.saidNotRun = open.answeredNotRun;
        pending.erase(call->record); // with it a sending again that was planned: the caller has its answer
        finishIfDone();
    }
}

auto Caller::Private::finishIfDone() -> void
{
    if (next == schedule.arrivals.size() && pending.empty() && done) {
        ticks.cancel();
        loop.post(std::exchange(done, nullptr));
    }
}

Caller::Caller(EventLoop &loop, const Workload &workload, const Schedule &schedule, CallerOptions options)
    : d(std::make_unique<Private>(loop, workload, schedule, std::move(options)))
{
}

Caller::~Caller() = default;

auto Caller::records() const -> const std::vector<Record> &
{
    return d->records;
}

auto Caller::gaps(std::size_t classIndex) const -> const Gaps &
{
    return d->gaps[classIndex];
}

auto Caller::keyOf(const Arrival &arrival) const -> std::string
{
    return d->key(arrival);
}

auto Caller::inFlight() const -> std::size_t
{
    return d->pending.size();
}

auto Caller::latestStart() const -> Duration
{
    return d->latestStart;
}

auto Caller::start(std::function<void()> done) -> void
{
    d->done = std::move(done);
    d->records.reserve(d->schedule.arrivals.size());
    d->startedAt = d->loop.now();
    d->ticks = d->loop.every(Tick, [this] { d->tick(); });
}

} // namespace KingCup
