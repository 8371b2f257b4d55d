#include "engine.h"
#include "tokentext.h"

#include <algorithm>
#include <glog/logging.h>

namespace KingCup
{

namespace
{

constexpr auto ReportsKept = Duration::seconds(5);
constexpr std::size_t SlowReaderBytes = 64U << 10U; // a stream with more unsent bytes gains no tokens
constexpr int DefaultOutputTokens = 16;

/// One completion's answer, built up token by token.
struct CompletionAnswer {
    ExchangePtr exchange;
    bool chat = false;
    bool streamed = false;
    std::string id;
    std::string artifact;
    std::string prompt;
    int firstIndex = 0;
    int outputTokens = 0;
    std::string text; // of an answer that isn't streamed

    auto piece(int index) const -> Json
    {
        const auto content = tokenText(artifact, prompt, index);
        const bool last = index + 1 == outputTokens;
        Json choice {{"index", 0}, {"finish_reason", last ? Json("length") : Json()}};
        if (chat) {
            choice["delta"] = {{"content", content}};
        } else {
            choice["text"] = content;
        }
        return {{"id", id}, {"object", chat ? "chat.completion.chunk" : "text_completion"}, {"model", artifact}, {"choices", Json::array({choice})}};
    }

    auto whole() const -> Json
    {
        Json choice {{"index", 0}, {"finish_reason", "length"}};
        if (chat) {
            choice["message"] = {{"role", "assistant"}, {"content", text}};
        } else {
            choice["text"] = text;
        }
        const auto promptTokens = prompt.size() / CharsPerToken;
        return {{"id", id},
                {"object", chat ? "chat.completion" : "text_completion"},
                {"model", artifact},
                {"choices", Json::array({choice})},
                {"usage", {{"prompt_tokens", promptTokens}, {"completion_tokens", outputTokens}}}};
    }

    auto addToken(int index) -> void
    {
        if (streamed) {
            exchange->write("data: " + piece(index).dump() + "\n\n");
        } else {
            text += tokenText(artifact, prompt, index);
        }
    }

    auto finish() -> void
    {
        if (streamed) {
            exchange->write("data: [DONE]\n\n");
            exchange->finish();
        } else {
            answerJson(exchange, Status::Ok, whole());
        }
    }
};

/// The prompt text of a completion request or of a chat request.
auto promptOf(const Json &body, bool chat) -> std::string
{
    if (!chat) {
        const auto prompt = body.value("prompt", Json());
        return prompt.is_string() ? prompt.get<std::string>() : prompt.dump();
    }
    std::string text;
    for (const auto &message : body.value("messages", Json::array())) {
        const auto content = message.is_object() ? message.value("content", Json()) : Json();
        text += content.is_string() ? content.get<std::string>() : content.dump();
        text += "\n";
    }
    return text;
}

} // namespace

Engine::Engine(SimClock &clock, WeightStore &weights, EngineSettings settings)
    : m_clock(clock)
    , m_weights(weights)
    , m_settings(std::move(settings))
    , m_memory(m_settings.memory, static_cast<std::int64_t>(static_cast<double>(m_settings.memory) * m_settings.kvReserveShare))
    , m_batch(clock, m_settings.batch, m_settings.events)
{
    m_batch.setKvCapacity(m_memory.kvCapacity());
    listen();
}

auto Engine::listen() -> void
{
    HttpServerOptions options {.listen = {"127.0.0.1", m_settings.port}, .keptHeaders = {"x-request-id", "x-priority", "x-resume-offset"}};
    m_server = std::make_unique<HttpServer>(m_clock.loop(), options, guarded([this](const ExchangePtr &exchange) { handle(exchange); }));
    m_settings.port = m_server->port();
    m_down = false;
}

auto Engine::id() const -> const std::string &
{
    return m_settings.id;
}

auto Engine::port() const -> int
{
    return m_settings.port;
}

auto Engine::checksFence() const -> bool
{
    return m_settings.checksFence;
}

auto Engine::truth() const -> Json
{
    return {{"memoryTotal", m_memory.total()},
            {"memoryUsed", m_memory.used()},
            {"memoryHighWater", m_memory.highWater()},
            {"overcommits", m_overcommits},
            {"loadsBegun", m_loadsBegun},
            {"loads", m_loadsDone},
            {"unloads", m_unloads},
            {"crashes", m_crashes},
            {"lastCrash", m_lastCrash},
            {"generation", m_generation},
            {"fence", m_fence},
            {"checksFence", m_settings.checksFence},
            {"down", m_down},
            {"ordersLost", m_ordersLost},
            {"ordersLate", m_ordersLate},
            {"ordersUnanswered", m_ordersUnanswered},
            {"oldFences", m_oldFences},
            {"tokens", m_batch.tokens()},
            {"prefilled", m_batch.prefilled()},
            {"cachedTokens", m_batch.cachedTokens()},
            {"running", m_batch.running()},
            {"waiting", m_batch.waiting()},
            {"lastNewWorkMs", m_lastWork},
            {"resident", m_memory.residentJson()},
            {"loading", m_memory.loadingJson()}};
}

auto Engine::completions() const -> Json
{
    auto all = Json::object();
    for (const auto &[id, completion] : m_completions) {
        all[id] = {{"started", completion.started}, {"finished", completion.finished}, {"tokens", completion.tokens}, {"model", completion.artifact}};
    }
    return all;
}

auto Engine::setFaults(const Json &command) -> void
{
    m_settings.orderLoseRate = command.value("loseRate", m_settings.orderLoseRate);
    m_settings.orderDropAnswerRate = command.value("dropAnswerRate", m_settings.orderDropAnswerRate);
    m_settings.orderLateRate = command.value("lateRate", m_settings.orderLateRate);
    m_settings.maxLateOrderDelay = Duration::millis(command.value("lateMostMs", m_settings.maxLateOrderDelay.inMillis()));
    if (command.contains("restartMs")) {
        m_settings.restartDelay = Duration::millis(command["restartMs"].get<std::int64_t>());
    }
    if (command.contains("slow")) {
        m_batch.setSlowdown(command["slow"].get<double>());
    }
}

auto Engine::crash(const std::string &why) -> void
{
    if (m_down) {
        return;
    }
    LOG(INFO) << "engine: crashed id=" << m_settings.id << " why=" << why;
    m_down = true;
    m_lastCrash = why;
    ++m_crashes;
    ++m_generation;
    m_batch.clear();
    m_loads.clear();
    m_memory.clear();
    m_reports.clear();
    m_fence = 0;
    // crash() may be called from a callback of this server, so the server is destroyed later.
    m_clock.loop().post([this] { m_server.reset(); });
    m_clock.after(m_settings.restartDelay, [this] { listen(); });
}

auto Engine::handle(const ExchangePtr &exchange) -> void
{
    if (m_down) {
        exchange->abort();
        return;
    }
    const auto &request = exchange->request();
    const bool isPost = request.method == "POST";
    if (isPost && request.path == "/orders") {
        handleOrder(exchange);
    } else if (isPost && request.path == "/fence") {
        handleFence(exchange);
    } else if (request.path == "/status") {
        handleStatus(exchange);
    } else if (request.path == "/load") {
        handleLoad(exchange);
    } else if (isPost && request.path == "/v1/completions") {
        handleCompletion(exchange, false);
    } else if (isPost && request.path == "/v1/chat/completions") {
        handleCompletion(exchange, true);
    } else if (isPost && request.path == "/cancel") {
        handleCancel(exchange);
    } else if (request.path == "/events") {
        answerJson(exchange, Status::Ok, m_batch.cache().eventsAfter(static_cast<std::uint64_t>(queryNumber(request.query, "after", 0))));
    } else if (isPost && request.path == "/kv/export") {
        handleKv(exchange, false);
    } else if (isPost && request.path == "/kv/import") {
        handleKv(exchange, true);
    } else {
        answerCode(exchange, Status::NotFound, "no-such-call");
    }
}

/// Applies the order after a random delay. The order may be lost or late, or its answer may be lost. A crash of the engine drops pending orders.
auto Engine::handleOrder(const ExchangePtr &exchange) -> void
{
    const auto order = parseJsonBody(exchange);
    if (!order) {
        return;
    }
    if (m_clock.random() < m_settings.orderLoseRate) {
        ++m_ordersLost;
        m_clock.after(m_settings.maxLateOrderDelay, [exchange] { exchange->abort(); });
        return;
    }
    auto delay = m_clock.randomDuration(m_settings.minOrderDelay, m_settings.maxOrderDelay);
    if (m_clock.random() < m_settings.orderLateRate) {
        ++m_ordersLate;
        delay = m_clock.randomDuration(m_settings.maxOrderDelay, m_settings.maxLateOrderDelay);
    }
    const bool dropsAnswer = m_clock.random() < m_settings.orderDropAnswerRate;
    m_ordersUnanswered += dropsAnswer ? 1 : 0;
    const auto answerExchange = dropsAnswer ? std::make_shared<HttpExchange>(exchange->request()) : exchange;
    m_clock.after(delay, [this, order = *order, exchange, answerExchange, generation = m_generation] {
        if (generation != m_generation || m_down) {
            exchange->abort();
            return;
        }
        guarded([&](const ExchangePtr &to) { applyOrder(order, to); })(answerExchange);
        if (answerExchange != exchange) {
            exchange->abort();
        }
    });
}

auto Engine::applyOrder(const Json &order, const ExchangePtr &exchange) -> void
{
    const auto fence = order.value("fence", std::uint64_t(0));
    if (m_settings.checksFence && fence < m_fence) {
        ++m_oldFences;
        answerJson(exchange, Status::Conflict, {{"code", "old-fence"}, {"fence", m_fence}});
        return;
    }
    if (m_settings.checksFence) {
        m_fence = fence;
    }
    const auto kind = order.value("kind", std::string());
    if (kind == "load") {
        applyLoad(order, exchange);
    } else if (kind == "unload") {
        applyUnload(order, exchange);
    } else if (kind == "role") {
        m_role = order.value("role", std::string());
        answerJson(exchange, Status::Accepted, {{"id", order.value("id", std::string())}});
    } else {
        answerCode(exchange, Status::BadRequest, "unknown-kind");
    }
}

auto Engine::applyLoad(const Json &order, const ExchangePtr &exchange) -> void
{
    const auto artifact = order.value("artifact", std::string());
    const auto base = order.value("base", std::string());
    const auto bytes = order.value("bytes", std::int64_t(0));
    const auto id = order.value("id", std::string());
    if (artifact.empty() || id.empty() || bytes <= 0) {
        answerCode(exchange, Status::BadRequest, "incomplete-order");
        return;
    }
    if (!base.empty() && !m_memory.isResident(base)) {
        answerCode(exchange, Status::Conflict, "base-not-resident");
        return;
    }
    // A repeated order has the same id; its load is a separate charge.
    const auto charge = m_loads.count(id) == 0 ? id : id + "#" + std::to_string(m_loadsBegun);
    auto load = m_weights.start(bytes, [this, charge] {
        m_memory.finishLoad(charge);
        m_loads.erase(charge);
        ++m_loadsDone;
        m_batch.setKvCapacity(m_memory.kvCapacity());
    });
    if (!load) {
        answerRetry(exchange, Status::TooManyRequests, "throttled", Duration::millis(500));
        return;
    }
    ++m_loadsBegun;
    m_loads[charge] = std::move(load);
    m_memory.beginLoad(charge, artifact, base, bytes);
    answerJson(exchange, Status::Accepted, {{"id", id}});
    if (m_memory.isOvercommitted()) {
        ++m_overcommits;
        LOG(ERROR) << "engine: memory overcommitted id=" << m_settings.id << " artifact=" << artifact << " used=" << m_memory.used();
        crash("overcommitted by " + artifact);
        return;
    }
    m_batch.setKvCapacity(m_memory.kvCapacity());
}

auto Engine::applyUnload(const Json &order, const ExchangePtr &exchange) -> void
{
    auto artifacts = m_memory.residentAdapters(order.value("artifact", std::string()));
    artifacts.push_back(order.value("artifact", std::string()));
    if (std::any_of(artifacts.begin(), artifacts.end(), [this](const auto &artifact) { return m_batch.isRunning(artifact); })) {
        answerCode(exchange, Status::Conflict, "busy");
        return;
    }
    for (const auto &artifact : artifacts) {
        m_unloads += m_memory.isResident(artifact) ? 1 : 0;
        m_memory.unload(artifact);
    }
    m_batch.setKvCapacity(m_memory.kvCapacity());
    answerJson(exchange, Status::Accepted, {{"id", order.value("id", std::string())}});
}

auto Engine::handleFence(const ExchangePtr &exchange) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    if (!m_settings.checksFence) {
        answerCode(exchange, Status::NotFound, "no-fencing");
        return;
    }
    m_fence = std::max(m_fence, body->value("fence", std::uint64_t(0)));
    answerJson(exchange, Status::Ok, {{"fence", m_fence}});
}

auto Engine::handleStatus(const ExchangePtr &exchange) -> void
{
    answerJson(exchange,
               Status::Ok,
               {{"generation", m_generation},
                {"fence", m_fence},
                {"memoryTotal", m_memory.total()},
                {"memoryUsed", m_memory.used()},
                {"kvBytes", m_batch.kvUsed()},
                {"resident", m_memory.residentJson()},
                {"loading", m_memory.loadingJson()},
                {"role", m_role},
                {"running", m_batch.running()},
                {"waiting", m_batch.waiting()}});
}

/// Records the present state for later load reports.
auto Engine::record() -> void
{
    const auto now = m_clock.now();
    m_reports.push_back(Report {now, m_batch.running(), m_batch.waiting(), m_batch.stepDuration().inMicros(), m_batch.prefillQueue()});
    while (m_reports.size() > 2 && m_reports[1].at < now - ReportsKept) {
        m_reports.pop_front();
    }
}

/// A report is published every `reportPeriod` and describes the state `reportLag` earlier.
auto Engine::handleLoad(const ExchangePtr &exchange) -> void
{
    const auto now = m_clock.now();
    const auto period = m_settings.reportPeriod.inMicros();
    const auto published = Duration::micros(now.inMicros() / period * period);
    const auto described = published - m_settings.reportLag;
    Report report;
    report.stepMicros = m_settings.batch.stepBase.inMicros();
    for (const auto &known : m_reports) {
        if (known.at <= described) {
            report = known;
        }
    }
    answerJson(exchange,
               Status::Ok,
               {{"ageMs", (now - described).inMillis()},
                {"generation", m_generation},
                {"running", report.running},
                {"waiting", report.waiting},
                {"decodeStepUs", report.stepMicros},
                {"prefillQueueTokens", report.prefillQueue}});
}

auto Engine::handleCompletion(const ExchangePtr &exchange, bool chat) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    const auto artifact = body->value("model", std::string());
    if (!m_memory.isResident(artifact)) {
        answerCode(exchange, Status::NotFound, "not-resident");
        return;
    }
    const auto &headers = exchange->request().headers;
    const auto answer = std::make_shared<CompletionAnswer>();
    answer->exchange = exchange;
    answer->chat = chat;
    answer->streamed = body->value("stream", false);
    answer->artifact = artifact;
    answer->prompt = promptOf(*body, chat);
    answer->outputTokens = std::max(1, body->value("max_tokens", DefaultOutputTokens));
    answer->firstIndex = static_cast<int>(std::clamp<std::int64_t>(numberOr(headerValue(headers, "x-resume-offset"), 0), 0, answer->outputTokens));
    const auto requestId = headerValue(headers, "x-request-id");
    answer->id = "cmpl-" + requestId;

    auto &completion = m_completions[requestId];
    ++completion.started;
    completion.artifact = artifact;
    m_lastWork = m_clock.now().inMillis();
    if (answer->streamed) {
        exchange->begin(Status::Ok, {{"content-type", "text/event-stream"}});
    }
    if (answer->firstIndex == answer->outputTokens) {
        ++completion.finished;
        answer->finish();
        return;
    }
    const auto stream = std::make_shared<Stream>();
    stream->requestId = requestId;
    stream->artifact = artifact;
    stream->prompt = answer->prompt;
    stream->priority = static_cast<int>(numberOr(headerValue(headers, "x-priority"), 1));
    stream->outputTokens = answer->outputTokens;
    stream->produced = answer->firstIndex;
    stream->crashesEngine = answer->prompt.find("crash-me") != std::string::npos;
    stream->onToken = [this, answer, requestId](int index) {
        ++m_completions[requestId].tokens;
        answer->addToken(index);
        record();
    };
    stream->onDone = [this, answer, requestId] {
        ++m_completions[requestId].finished;
        answer->finish();
        record();
    };
    stream->onCancelled = [exchange] {
        exchange->abort();
    };
    stream->onCrash = [this, requestId] {
        crash("request " + requestId);
    };
    stream->isBackpressured = [exchange] {
        return exchange->pendingBytes() > SlowReaderBytes;
    };
    exchange->onClosed = [this, weak = std::weak_ptr<Stream>(stream)] {
        if (const auto left = weak.lock()) {
            m_batch.remove(left);
            record();
        }
    };
    m_batch.add(stream);
    record();
}

auto Engine::handleCancel(const ExchangePtr &exchange) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    m_batch.remove(body->value("id", std::string()));
    record();
    answerJson(exchange, Status::Ok, Json::object());
}

auto Engine::handleKv(const ExchangePtr &exchange, bool isImport) -> void
{
    const auto body = parseJsonBody(exchange);
    if (!body) {
        return;
    }
    const auto prefix = body->value("prefix", std::string());
    if (isImport) {
        m_batch.cache().store({prefix});
        answerJson(exchange, Status::Ok, {{"prefix", prefix}});
    } else if (m_batch.cache().contains(prefix)) {
        answerJson(
            exchange, Status::Ok, {{"prefix", prefix}, {"bytes", m_settings.batch.kvBytesPerToken * static_cast<std::int64_t>(BlockChars / CharsPerToken)}});
    } else {
        answerCode(exchange, Status::NotFound, "not-cached");
    }
}

} // namespace KingCup
