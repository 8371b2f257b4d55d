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

constexpr auto Tick = Duration::millis(5); // libwebsockets busy-waits during the last millisecond before a timer: shorter ticks would use a whole core
constexpr auto HangUpAfterBudget = Duration::seconds(10); ///< time after the budget at which the caller hangs up
constexpr std::size_t CharsPerToken = 4; ///< as in the fakes
constexpr int Accounts = 100000;

/// One send of a request. A request has a second call if its caller resends it.
struct Call {
    std::size_t record = 0;
    AnswerCheck check;
    int status = 0;
    std::string outcome; ///< the entry's kingcup-outcome header
    std::string body; ///< of an answer that isn't a stream
    bool isStream = false;
    TimePoint lastToken;
};
using CallPtr = std::shared_ptr<Call>;

struct Pending {
    int callsInFlight = 0;
    bool answeredNotRun = true; ///< every call that has ended was refused
    Timer resend;
};

auto replaceAll(std::string text, const std::string &mark, const std::string &value) -> std::string
{
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + value.size())) {
        text.replace(at, mark.size(), value);
    }
    return text;
}

/// A text of `tokens` tokens that repeats `start`.
auto repeatedText(const std::string &start, int tokens) -> std::string
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

auto toString(ObservedOutcome outcome) -> const char *
{
    switch (outcome) {
    case ObservedOutcome::None:
        return "none";
    case ObservedOutcome::Whole:
        return "whole";
    case ObservedOutcome::Wrong:
        return "wrong";
    case ObservedOutcome::Refused:
        return "refused";
    case ObservedOutcome::Unknown:
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
    Duration maxSendDelay;
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
    auto scheduleResend(std::size_t index, std::size_t entry) -> void;
    auto onData(const CallPtr &call, std::string_view data) -> void;
    auto onToken(const CallPtr &call) -> void;
    auto onEnd(const CallPtr &call, CallEnd end) -> void;
    auto classify(const CallPtr &call, CallEnd end, std::string &code) const -> ObservedOutcome;
    auto finishIfDone() -> void;
};

auto Caller::Private::tick() -> void
{
    const auto passed = loop.now() - startedAt;
    while (next < schedule.arrivals.size() && schedule.arrivals[next].at <= passed) {
        maxSendDelay = std::max(maxSendDelay, passed - schedule.arrivals[next].at);
        records.push_back(Record {.arrival = schedule.arrivals[next]});
        const auto entry = next % options.entries.size();
        pending[next] = {};
        send(next, entry);
        scheduleResend(next, entry);
        ++next;
    }
    finishIfDone();
}

auto Caller::Private::scheduleResend(std::size_t index, std::size_t entry) -> void
{
    const auto &record = records[index];
    if (!record.arrival.mayResend || options.entries.size() < 2) {
        return;
    }
    const auto &requestClass = classOf(record);
    const auto deadline = requestClass.whole.inMicros() > 0 ? requestClass.whole : requestClass.budget;
    pending[index].resend = loop.after(deadline, [this, index, entry] {
        records[index].wasResent = true;
        send(index, (entry + 1) % options.entries.size());
    });
}

auto Caller::Private::prompt(const Record &record) const -> std::string
{
    const auto &requestClass = classOf(record);
    const auto number = std::to_string(record.arrival.number);
    const auto shared = repeatedText("shared " + requestClass.name + " " + options.names[record.arrival.name], requestClass.sharedTokens);
    const auto own = repeatedText((record.arrival.crashesEngine ? "crash-me " : "own ") + options.runId + " " + number,
                                  requestClass.promptTokens - requestClass.sharedTokens);
    return shared + own;
}

auto Caller::Private::prepare(const Record &record, HttpCall &call) const -> void
{
    const auto &requestClass = classOf(record);
    const auto number = std::to_string(record.arrival.number % Accounts);
    call.headers = {{"kingcup-priority", toString(requestClass.priority)}, {"kingcup-time-budget-ms", std::to_string(requestClass.budget.inMillis())}};
    if (requestClass.isModel) {
        call.method = "POST";
        call.path = "/v1/completions";
        call.headers.push_back({"content-type", "application/json"});
        const json body {
            {"model", options.names[record.arrival.name]}, {"prompt", prompt(record)}, {"max_tokens", requestClass.outputTokens}, {"stream", true}};
        call.body = body.dump();
        return;
    }
    call.method = requestClass.method;
    call.path = replaceAll(requestClass.path, "{n}", number);
    call.body = replaceAll(replaceAll(requestClass.body, "{n}", number), "{key}", key(record.arrival));
    if (!call.body.empty()) {
        call.headers.push_back({"content-type", "application/json"});
    }
    if (requestClass.runsOnce) {
        call.headers.push_back({"idempotency-key", key(record.arrival)});
    }
}

auto Caller::Private::send(std::size_t index, std::size_t entry) -> void
{
    const auto &record = records[index];
    const auto &requestClass = classOf(record);
    auto call = std::make_shared<Call>();
    call->record = index;
    call->isStream = requestClass.isModel;
    if (requestClass.isModel) {
        call->check = AnswerCheck(options.artifacts[record.arrival.name], prompt(record), requestClass.outputTokens);
    }
    HttpCall http;
    http.server = options.entries[entry];
    http.timeout = requestClass.budget + HangUpAfterBudget;
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
    ++pending[index].callsInFlight;
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
        record.gapsWithinLimit += gap <= limit ? 1 : 0;
        if (record.arrival.at >= workload.warmup) {
            gaps[record.arrival.classIndex].push_back(static_cast<std::uint32_t>(gap.inMicros()));
        }
    }
    call->lastToken = now;
}

auto Caller::Private::classify(const CallPtr &call, CallEnd end, std::string &code) const -> ObservedOutcome
{
    if (end == CallEnd::NotSent) {
        code = "entry-unreachable";
        return ObservedOutcome::Refused;
    }
    const bool isGood = HttpStatus::isSuccess(call->status);
    if (isGood && call->isStream) {
        code = call->check.problem();
        return call->check.isWrong()                            ? ObservedOutcome::Wrong
            : call->check.isWhole() && end == CallEnd::Complete ? ObservedOutcome::Whole
                                                                : ObservedOutcome::Unknown;
    }
    if (end != CallEnd::Complete) {
        code = toString(end);
        return ObservedOutcome::Unknown;
    }
    if (isGood) {
        return ObservedOutcome::Whole;
    }
    const auto body = json::parse(call->body, nullptr, false);
    code = body.is_object() ? body.value("code", std::to_string(call->status)) : std::to_string(call->status);
    return call->outcome == "not-run" ? ObservedOutcome::Refused : ObservedOutcome::Unknown;
}

auto Caller::Private::onEnd(const CallPtr &call, CallEnd end) -> void
{
    auto &record = records[call->record];
    auto &state = pending[call->record];
    std::string code;
    const auto seen = classify(call, end, code);
    state.answeredNotRun = state.answeredNotRun && seen == ObservedOutcome::Refused;
    --state.callsInFlight;
    const bool isBetter
        = record.outcome != ObservedOutcome::Whole && (seen == ObservedOutcome::Whole || seen == ObservedOutcome::Wrong || state.callsInFlight == 0);
    if (isBetter) {
        record.outcome = seen;
        record.code = code;
        record.whole = sinceIntended(record);
    }
    if (state.callsInFlight == 0) {
        record.saidNotRun = state.answeredNotRun;
        pending.erase(call->record); // also cancels a scheduled resend, since the caller has its answer
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

auto Caller::maxSendDelay() const -> Duration
{
    return d->maxSendDelay;
}

auto Caller::start(std::function<void()> done) -> void
{
    d->done = std::move(done);
    d->records.reserve(d->schedule.arrivals.size());
    d->startedAt = d->loop.now();
    d->ticks = d->loop.every(Tick, [this] { d->tick(); });
}

} // namespace KingCup
