#include "platformrunner.h"

#include "net/wallclock.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace KingCup
{

namespace
{

constexpr int Misdirected = 421;
constexpr int ServerError = 500;
constexpr double AdapterMegabytes = 50;
constexpr auto AdapterLoadTime = Duration::millis(5);
constexpr auto HealthPath = "/healthz";
constexpr auto LateOrderDelay = Duration::millis(800);

auto text(const HttpHead &head, const char *name) -> std::string
{
    return std::string(findHeader(head.headers, name).value_or(""));
}

} // namespace

PlatformRunner::PlatformRunner(SimClock &clock, PlatformStore &store, PlatformRunnerSettings settings)
    : m_clock(clock)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_server(clock.loop(),
               m_settings.port,
               [this](const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) { handle(connection, head, body); })
    , m_id(m_settings.id)
{
    for (const auto &model : m_settings.initialModels) {
        m_loadedModels[model];
    }
    start();
}

auto PlatformRunner::id() const -> const std::string &
{
    return m_settings.id;
}

auto PlatformRunner::port() const -> int
{
    return m_server.port();
}

auto PlatformRunner::start() -> void
{
    ++m_starts;
    m_up = true;
    m_startedAtMillis = wallMillis();
    record("start");
    m_server.setAccepting(true);
    heartbeat();
}

auto PlatformRunner::models() const -> Json
{
    Json list = Json::array();
    for (const auto &[name, loaded] : m_loadedModels) {
        list.push_back({{"name", name}, {"version", 1}, {"adapters", loaded.adapters}});
    }
    return list;
}

/// Writes the runner's row if it has changed, and removes it after `rowTimeout` without a heartbeat, as the users' store does. This also affects runners
/// whose heartbeats were lost because the store was down.
auto PlatformRunner::heartbeat() -> void
{
    const auto epoch = m_epoch;
    m_clock.after(m_settings.heartbeatPeriod, [this, epoch] {
        if (epoch == m_epoch) {
            heartbeat();
        }
    });
    const bool canWriteRow = m_up && m_listed && m_mode != "dark" && !m_store.isDown();
    if (canWriteRow) {
        Json row {{"service", m_settings.service},
                  {"address", "127.0.0.1:" + std::to_string(port())},
                  {"zone", m_settings.zone},
                  {"slots", m_settings.slots},
                  {"state", m_draining ? "draining" : "ready"},
                  {"cold_left_ms", 0},
                  {"born", m_startedAtMillis},
                  {"sequence", m_starts + m_touches}};
        if (!m_softwareVersion.empty()) {
            row["version"] = m_softwareVersion;
        }
        if (m_settings.isRunner) {
            row["models"] = models();
        }
        const auto value = row.dump();
        m_lastHeartbeat = m_clock.now();
        if (value != m_lastRow || m_store.row("servers", m_id).empty()) {
            m_lastRow = value;
            m_store.put("servers", m_id, value);
        }
    } else if (m_clock.now() - m_lastHeartbeat > m_settings.rowTimeout && !m_store.row("servers", m_id).empty()) {
        m_store.remove("servers", m_id);
    }
}

auto PlatformRunner::crashOf(const Json &command) -> Crash
{
    Crash crash {
        Duration::millis(command.value("downMs", 300)), command.value("sameId", false), command.value("silent", false), command.value("afterHead", false)};
    crash.delay = Duration::millis(command.value("afterMs", 0));
    crash.keepsModels = command.value("keepsModels", false);
    if (command.contains("version")) {
        crash.softwareVersion = command["version"].get<std::string>();
    }
    return crash;
}

auto PlatformRunner::crash(const Crash &how) -> void
{
    for (auto &[key, runs] : m_deadly) {
        runs.ends.insert(runs.ends.end(), static_cast<std::size_t>(runs.inFlight), m_clock.now().inMillis());
        runs.inFlight = 0;
    }
    ++m_epoch;
    m_up = false;
    if (!how.keepsModels) {
        m_loadedModels.clear();
    }
    m_acceptedOrders = 0;
    m_busy = false;
    m_running = 0;
    m_mode = m_mode == "reject" ? "well" : m_mode;
    m_requestLimit.clear();
    m_announcesLeaving = false;
    m_server.setAccepting(false);
    if (how.isSilent) {
        m_server.abandonAll();
    } else {
        m_server.closeAll();
    }
    heartbeat();
    m_clock.after(how.down, [this, keepsId = how.keepsId, version = how.softwareVersion, old = m_id] {
        ++m_epoch;
        m_softwareVersion = version.value_or(m_softwareVersion);
        if (!keepsId) {
            m_id = m_settings.id + "-" + std::to_string(m_starts + 1);
            m_store.remove("servers", old);
        }
        start();
    });
}

auto PlatformRunner::command(const Json &command) -> bool
{
    static const std::set<std::string> Modes {
        "well", "errors", "reset", "truncate", "extra", "stray", "unframed", "lose-answers", "late-orders", "dark", "reject", "answer-as"};
    const auto mode = command.value("mode", std::string());
    if (mode == "crash") {
        crash(crashOf(command));
        return true;
    }
    if (mode == "crash-on") {
        m_crashBody = command.value("body", std::string());
        m_crashParts = command.value("parts", std::set<std::string>());
        m_crashOnBody = crashOf(command);
        return true;
    }
    if (mode == "request-limit") {
        m_requestLimit = command.value("perSecond", std::string());
        m_limitsOnlyInRuns = command.value("onlyRuns", false);
        record("limit", {{"perSecond", std::atof(m_requestLimit.c_str())}, {"isSet", !m_requestLimit.empty()}, {"onlyRuns", m_limitsOnlyInRuns}});
        return true;
    }
    if (mode == "answer-bytes") {
        m_answerBytes = command.value("bytes", std::size_t {0});
        return true;
    }
    if (mode == "work-time") {
        m_settings.workTime = Duration::millis(command.value("ms", 20));
        return true;
    }
    if (mode == "version") {
        m_softwareVersion = command.value("version", std::string());
        return true;
    }
    if (mode == "announce-leaving") {
        m_announcesLeaving = true;
        record("leaving");
        return true;
    }
    if (mode == "touch") {
        ++m_touches;
        return true;
    }
    if (mode == "drain") {
        m_draining = true;
        ++m_epoch;
        heartbeat();
        return true;
    }
    if (mode == "leave") {
        m_listed = false;
        m_store.remove("servers", m_id);
        return true;
    }
    if (mode == "return") {
        m_listed = true;
        ++m_epoch;
        heartbeat();
        return true;
    }
    if (!Modes.contains(mode)) {
        return false;
    }
    m_mode = mode;
    m_retryAfter = command.value("retryAfter", std::string());
    m_answerForm = answerFormOf(command);
    m_server.setUnresponsive(mode == "dark");
    return true;
}

auto PlatformRunner::truth() const -> Json
{
    Json deadly = Json::object();
    for (const auto &[key, runs] : m_deadly) {
        deadly[key] = {{"arrivals", runs.arrivals}, {"crashes", runs.crashes}, {"ends", runs.ends}};
    }
    return {{"events", m_events},
            {"arrivals", m_arrivals},
            {"runs", m_runs},
            {"versions", m_versionsByAttempt},
            {"deadly", deadly},
            {"bodies", m_bodies},
            {"accounts", m_accounts},
            {"keysSeen", m_keysSeen},
            {"overfull", m_overcommits},
            {"cancelled", m_cancelled},
            {"orderers", m_fenceByHolder},
            {"orderLog", m_orderLog},
            {"orderArrivals", m_orderArrivals},
            {"now", m_clock.now().inMillis()},
            {"running", m_running},
            {"holds", models()},
            {"connections", m_server.connections()},
            {"mostConnections", m_maxConnections},
            {"starts", m_starts}};
}

auto PlatformRunner::handle(const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) -> void
{
    m_maxConnections = std::max(m_maxConnections, static_cast<int>(m_server.connections()));
    if (m_mode == "reset") {
        connection->close();
        return;
    }
    if (m_mode == "reject" && head.target == "/report") {
        refuse(connection, "", Status::Unavailable);
    } else if (head.target == "/report") {
        auto headers = announcements();
        headers.push_back({"Content-Type", "application/json"});
        connection->answer(Status::Ok, headers, report().dump());
    } else if (head.target == HealthPath) {
        connection->answer(m_draining || m_mode == "errors" ? Status::Unavailable : Status::Ok, {{"Instance-Id", m_id}}, "");
    } else if (head.target == "/order") {
        if (text(head, "Expect-Instance") != m_id) {
            refuse(connection, "", Misdirected);
        } else {
            receiveOrder(connection, body);
        }
    } else {
        run(connection, head, body);
    }
}

auto PlatformRunner::record(const char *what, Json details) -> void
{
    details["at"] = m_clock.now().inMillis();
    details["what"] = what;
    m_events.push_back(std::move(details));
}

auto PlatformRunner::announcements() const -> HttpHeaders
{
    HttpHeaders headers;
    if (!m_requestLimit.empty()) {
        headers.push_back({"Server-Limit", m_requestLimit});
    }
    if (m_announcesLeaving || m_draining) {
        headers.push_back({"Server-Leaving", "1"});
    }
    return headers;
}

auto PlatformRunner::refuse(const RawConnectionPtr &connection, const std::string &attempt, int status) -> void
{
    auto headers = announcements();
    if (m_limitsOnlyInRuns) {
        std::erase_if(headers, [](const HttpHeader &header) { return header.name == "Server-Limit"; });
    }
    headers.push_back({"Not-Executed", "1"});
    headers.push_back({"Instance-Id", m_id});
    if (m_mode == "reject" && !m_retryAfter.empty()) {
        headers.push_back({"Retry-After", m_retryAfter});
    }
    if (!attempt.empty()) {
        headers.push_back({"Attempt-Id", attempt});
    }
    connection->answer(status, headers, "");
}

// [SECTION] Requests

auto PlatformRunner::run(const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) -> void
{
    m_arrivals.push_back(m_clock.now().inMillis());
    const auto deadly = deadlyKey(head, body);
    if (!deadly.empty()) {
        m_deadly[deadly].arrivals.push_back(m_clock.now().inMillis());
    }
    const auto attempt = text(head, "Attempt-Id");
    const auto expected = text(head, "Expect-Instance");
    const auto model = text(head, "Model");
    const auto slash = std::min(model.find('/'), model.size());
    const auto loaded = m_loadedModels.find(model.substr(0, slash));
    const bool lacksModel = m_settings.isRunner && loaded == m_loadedModels.end();
    const bool lacksAdapter = !lacksModel && slash < model.size() && !loaded->second.adapters.contains(model.substr(slash + 1));
    if (attempt.empty()) {
        refuse(connection, attempt, Status::BadRequest);
        return;
    }
    if ((!expected.empty() && expected != m_id) || lacksModel || lacksAdapter) {
        refuse(connection, attempt, Misdirected);
        return;
    }
    record("request", {{"attempt", attempt}});
    if (m_running >= m_settings.slots || m_mode == "reject") {
        record("rejected", {{"attempt", attempt}, {"seconds", m_mode == "reject" ? std::atof(m_retryAfter.c_str()) : 0.0}});
        refuse(connection, attempt, Status::Unavailable);
        return;
    }
    ++m_runs[attempt];
    m_versionsByAttempt[attempt].push_back(m_softwareVersion);
    m_bodies[attempt] = body;
    for (const auto &header : head.headers) {
        if (isSameHeaderName(header.name, "Tenant")) {
            auto &accounts = m_accounts[attempt];
            accounts += (accounts.empty() ? "" : ",") + header.value;
        }
        m_keysSeen += isSameHeaderName(header.name, "Authorization") ? 1 : 0;
    }
    if (!deadly.empty()) {
        runDeadly(connection, attempt, deadly);
        return;
    }
    ++m_running;
    connection->onClientClosed = [this, epoch = m_epoch] {
        if (epoch == m_epoch) {
            ++m_cancelled;
            --m_running;
        }
    };
    const auto epoch = m_epoch;
    m_clock.after(m_settings.workTime, [this, connection, head, attempt, epoch] {
        if (epoch != m_epoch || !connection->isOpen()) {
            return;
        }
        if (m_settings.isRunner) {
            runStream(connection, head, attempt);
        } else {
            runPlain(connection, attempt);
        }
    });
}

/// What in the request crashes the runner: the part of its prompt, or "body"; empty: nothing.
auto PlatformRunner::deadlyKey(const HttpHead &head, const std::string &body) const -> std::string
{
    if (!m_crashBody.empty() && body == m_crashBody) {
        return "body";
    }
    // "ID:TOKENS,ID:TOKENS,...": the text after the last comma is the last part.
    const auto prompt = text(head, "Prompt-Prefix");
    std::size_t begin = 0;
    for (auto comma = prompt.find(','); comma != std::string::npos; comma = prompt.find(',', begin)) {
        auto part = prompt.substr(begin, prompt.find(':', begin) - begin);
        if (m_crashParts.contains(part)) {
            return part;
        }
        begin = comma + 1;
    }
    return "";
}

auto PlatformRunner::runDeadly(const RawConnectionPtr &connection, const std::string &attempt, const std::string &key) -> void
{
    ++m_deadly[key].inFlight;
    if (m_crashOnBody.isAfterHead) {
        connection->write(answerHead(Status::Ok, {{"Attempt-Id", attempt}, {"Server-Stamp", "stamp-" + m_id + "-" + attempt}, {"Content-Length", "1000"}})
                          + "partial");
    }
    const auto crashNow = [this, key, epoch = m_epoch] {
        if (epoch == m_epoch) {
            m_deadly[key].crashes.push_back(m_clock.now().inMillis());
            crash(m_crashOnBody);
        }
    };
    if (m_crashOnBody.delay > Duration()) {
        m_clock.after(m_crashOnBody.delay, crashNow);
    } else {
        crashNow();
    }
}

auto PlatformRunner::finish(const RawConnectionPtr &connection, const std::string &attempt, int status, const std::string &body) -> void
{
    connection->onClientClosed = nullptr;
    --m_running;
    record("answered", {{"attempt", attempt}});
    auto headers = announcements();
    headers.push_back({"Attempt-Id", attempt});
    headers.push_back({"Server-Stamp", "stamp-" + m_id + "-" + attempt});
    if (m_mode == "answer-as") {
        answerInForm(m_clock, connection, m_answerForm, headers, body, m_answerForm.sentPart(body), m_settings.eventTime);
    } else if (m_mode == "lose-answers") {
        connection->close();
    } else if (m_mode == "truncate") {
        headers.push_back({"Content-Length", std::to_string(body.size())});
        connection->write(answerHead(status, headers) + body.substr(0, body.size() / 2));
        connection->close();
    } else if (m_mode == "unframed") {
        headers.push_back({"Connection", "close"});
        connection->write(answerHead(status, headers) + body);
        connection->close();
    } else if (m_mode == "extra") {
        connection->answer(status, headers, body);
        connection->write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: again\r\nContent-Length: 3\r\n\r\nbad");
    } else if (m_mode == "stray") {
        // An answer to an earlier request arrives where this request's answer is due.
        connection->write("HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nServer-Stamp: old\r\nContent-Length: 3\r\n\r\nold");
        connection->answer(status, headers, body);
    } else {
        connection->answer(status, headers, body);
    }
}

auto PlatformRunner::runPlain(const RawConnectionPtr &connection, const std::string &attempt) -> void
{
    if (m_mode == "errors") {
        finish(connection, attempt, ServerError, "error");
    } else {
        auto body = "done by " + m_id + " for " + attempt;
        body.resize(std::max(body.size(), m_answerBytes), '.');
        finish(connection, attempt, Status::Ok, body);
    }
}

auto PlatformRunner::runStream(const RawConnectionPtr &connection, const HttpHead &head, const std::string &attempt) -> void
{
    if (m_mode == "errors") {
        finish(connection, attempt, ServerError, "error");
        return;
    }
    const auto usage = text(head, "Token-Usage");
    const auto comma = std::min(usage.find(','), usage.size());
    const int last = static_cast<int>(numberOr(usage.substr(std::min(comma + 1, usage.size())), 3));
    const int first = static_cast<int>(numberOr(text(head, "Last-Event-Id"), 0)) + 1;
    record("answered", {{"attempt", attempt}});
    auto headers = announcements();
    headers.push_back({"Attempt-Id", attempt});
    headers.push_back({"Server-Stamp", "stamp-" + m_id + "-" + attempt});
    headers.push_back({"Content-Type", m_mode == "answer-as" ? m_answerForm.contentType : "text/event-stream"});
    if (m_mode == "answer-as") {
        --m_running;
        connection->onClientClosed = nullptr;
        std::vector<std::string> events;
        for (int number = first; number <= last; ++number) {
            events.push_back(eventText(attempt, number));
        }
        const auto whole = std::accumulate(events.begin(), events.end(), std::string());
        answerInForm(m_clock, connection, m_answerForm, headers, whole, m_answerForm.sentPart(events), m_settings.eventTime);
        return;
    }
    headers.push_back({"Transfer-Encoding", "chunked"});
    connection->write(answerHead(Status::Ok, headers));
    sendEvent(connection, attempt, first, last);
}

/// The data names the software version, so that tests see which targets a stream came from.
auto PlatformRunner::eventText(const std::string &attempt, int number) const -> std::string
{
    const std::string lineEnd = m_mode == "answer-as" ? m_answerForm.lineEnd : "\n";
    const auto version = m_softwareVersion.empty() ? "" : m_softwareVersion + " ";
    return "id: " + std::to_string(number) + lineEnd + "data: " + attempt + " " + version + std::to_string(number) + lineEnd + lineEnd;
}

auto PlatformRunner::sendEvent(const RawConnectionPtr &connection, const std::string &attempt, int number, int last) -> void
{
    if (!connection->isOpen()) {
        return;
    }
    if (number > last) {
        connection->onClientClosed = nullptr;
        --m_running;
        connection->write(LastChunk);
        return;
    }
    const auto event = eventText(attempt, number);
    if (m_mode == "truncate" && number == 2) {
        connection->onClientClosed = nullptr;
        --m_running;
        connection->write(chunk(event.substr(0, event.size() / 2)));
        connection->close();
        return;
    }
    connection->write(chunk(event));
    m_clock.after(m_settings.eventTime, [this, connection, attempt, number, last, epoch = m_epoch] {
        if (epoch == m_epoch) {
            sendEvent(connection, attempt, number + 1, last);
        }
    });
}

// [SECTION] Orders

auto PlatformRunner::report() const -> Json
{
    return {{"stage", "combined"},
            {"models", models()},
            {"busy", m_busy},
            {"sequence", m_acceptedOrders},
            {"waiting", 0},
            {"running", m_running},
            {"kv_used", 0},
            {"kv_total", 100000},
            {"handles", 0},
            {"born", m_startedAtMillis}};
}

auto PlatformRunner::usedMegabytes() const -> double
{
    double used = 0;
    for (const auto &holding : m_loadedModels) {
        const auto isHeld = [&](const PlatformModel &model) {
            return model.name == holding.first;
        };
        const auto declared = std::find_if(m_settings.models.begin(), m_settings.models.end(), isHeld);
        used += declared == m_settings.models.end() ? 0 : declared->weightsMegabytes;
        used += AdapterMegabytes * static_cast<double>(holding.second.adapters.size());
    }
    return used;
}

auto PlatformRunner::usedAdapterSlots() const -> std::size_t
{
    std::size_t used = 0;
    for (const auto &[name, loaded] : m_loadedModels) {
        used += loaded.adapters.size();
    }
    return used;
}

auto PlatformRunner::receiveOrder(const RawConnectionPtr &connection, const std::string &body) -> void
{
    const auto parsed = Json::parse(body, nullptr, false);
    const Order order {
        parsed.value("operation", "") == "load", parsed.value("model", ""), parsed.value("adapter", ""), parsed.value("expected_revision", 0ULL)};
    const auto holder = parsed.value("holder", "");
    m_fenceByHolder[holder] = std::to_string(parsed.value("fencing_token", 0ULL));
    m_orderArrivals.push_back(m_clock.now().inMillis());
    m_orderLog.push_back(std::to_string(m_clock.now().inMillis()) + " " + holder + " " + parsed.value("operation", "") + " " + order.model + "/"
                         + order.adapter);
    if (m_mode == "late-orders") {
        // No answer; the order is applied later if its expected order count still matches.
        connection->close();
        m_clock.after(LateOrderDelay, [this, order] { applyOrder(order); });
        return;
    }
    connection->answer(applyOrder(order), announcements(), "");
}

auto PlatformRunner::applyOrder(const Order &order) -> int
{
    if (m_busy || order.expectedCount != m_acceptedOrders || !m_up) {
        return Status::Conflict;
    }
    const auto declared
        = std::find_if(m_settings.models.begin(), m_settings.models.end(), [&](const PlatformModel &model) { return model.name == order.model; });
    if (declared == m_settings.models.end()) {
        return Status::BadRequest;
    }
    const bool isLoaded = m_loadedModels.contains(order.model);
    const auto epoch = m_epoch;
    if (!order.adapter.empty()) {
        if (!isLoaded) {
            return Status::BadRequest;
        }
        ++m_acceptedOrders;
        auto &adapters = m_loadedModels[order.model].adapters;
        if (!order.isLoad) {
            adapters.erase(order.adapter);
            return Status::Ok;
        }
        m_overcommits += usedAdapterSlots() >= static_cast<std::size_t>(m_settings.adapterSlots) ? 1 : 0;
        m_clock.after(AdapterLoadTime, [this, order, epoch] {
            if (epoch == m_epoch && m_loadedModels.contains(order.model)) {
                m_loadedModels[order.model].adapters.insert(order.adapter);
            }
        });
        return Status::Accepted;
    }
    if (order.isLoad == isLoaded) {
        return Status::Ok;
    }
    ++m_acceptedOrders;
    if (!order.isLoad) {
        m_loadedModels.erase(order.model);
        return Status::Accepted;
    }
    m_overcommits += usedMegabytes() + declared->weightsMegabytes > m_settings.memoryMegabytes ? 1 : 0;
    m_busy = true;
    m_clock.after(declared->loadTime, [this, order, epoch] {
        if (epoch == m_epoch) {
            m_busy = false;
            m_loadedModels[order.model];
        }
    });
    return Status::Accepted;
}

} // namespace KingCup
