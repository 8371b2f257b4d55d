// The cases of review/6 to review/10 that are scripts. Usage: rig-2 CASE REPOSITORY RECORD; TROUBLE=0 plays without the disruption.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include "rig-2.h"

#include <algorithm>
#include <array>
#include <filesystem>

namespace rig
{

struct Play {
    std::string root;
    Record record;
    bool hasTrouble;
    std::string folder;

    /// Ends all processes and this one. Nothing is destroyed: threads of servers and clients may still run.
    [[noreturn]] auto end(int result) -> int
    {
        Gateway::endAll();
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder);
        } else {
            std::fprintf(stderr, "logs in %s\n", folder.c_str());
        }
        std::fflush(nullptr);
        _exit(result);
    }
    [[noreturn]] auto cannotRun(const char *why) -> int
    {
        record.line("could not run: %s", why);
        std::fprintf(stderr, "could not run: %s\n", why);
        end(2);
    }
};

/// Waits until every gateway reports that it is ready, and for the lead that the sheets give before traffic starts.
auto startAll(std::vector<std::unique_ptr<Gateway>> &gateways, double leadMs) -> bool
{
    for (auto &gateway : gateways) {
        gateway->start();
    }
    for (auto &gateway : gateways) {
        if (!waitUntil([&] { return gateway->isReady(); }, 15000)) {
            return false;
        }
    }
    sleepMs(leadMs);
    return true;
}

auto limitsJson() -> Json
{
    return {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
}

// ---- refused: a refusal is repeated late on a kept connection

/// A server of a plain service. In its overload it turns each request away once, with a Retry-After. A faulty one sends that answer once more, at the
/// point where the next answer on the connection is expected.
struct RefusingServer {
    Play &play;
    std::string id;
    std::atomic<bool> isOverloaded = false;
    std::mutex mutex;
    std::map<std::string, int> refused; ///< connections on which attempts were turned away, by id of the attempt
    std::map<std::string, int> ran; ///< number of runs by id of the attempt
    Server server;

    RefusingServer(Play &owner, std::string name)
        : play(owner)
        , id(std::move(name))
        , server([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
    }
    auto row() const -> Json
    {
        return {{"service", "booking-app"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "lj-a"}, {"version", "v1"}, {"slots", 6},
                {"state", "ready"}, {"cold_left_ms", 0}, {"born", 1700000000000}};
    }
    auto handle(Conn &conn, Message &request) -> bool
    {
        const auto expected = request.header("expect-instance");
        if (!expected.empty() && expected != id) {
            return conn.send(answer(421, {{"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
        }
        if (request.path() == "/healthz") {
            return conn.send(answer(200, {{"Instance-Id", id}}, ""));
        }
        const auto attempt = request.header("attempt-id");
        const auto refusal = answer(503, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}, {"Retry-After", "0.1"}}, "");
        bool isSecond = false;
        bool isSameConnection = false;
        {
            const std::lock_guard lock(mutex);
            const auto [known, isNew] = refused.try_emplace(attempt, conn.number());
            isSecond = !isNew;
            isSameConnection = !isNew && known->second == conn.number();
        }
        if (isOverloaded && !isSecond) {
            play.record.line("server %s connection %d: turned %s away: 503 Not-Executed Retry-After 0.1", id.c_str(), conn.number(), attempt.c_str());
            return conn.send(refusal);
        }
        {
            const std::lock_guard lock(mutex);
            ++ran[attempt];
        }
        const bool repeats = isSameConnection && play.hasTrouble;
        play.record.line("server %s connection %d: runs %s%s", id.c_str(), conn.number(), attempt.c_str(), repeats ? "; the answer of before goes out once more ahead" : "");
        if (repeats && !conn.send(refusal)) {
            return false;
        }
        sleepMs(15);
        const bool isSent = conn.send(answer(200, {{"Attempt-Id", attempt}, {"Server-Stamp", "stamp." + attempt}}, std::string(800, 'b')));
        play.record.line("server %s connection %d: %s has run, answered 200", id.c_str(), conn.number(), attempt.c_str());
        return isSent;
    }
};

auto playRefused(Play &play) -> int
{
    Store store;
    const Json route {{"name", "r-book"}, {"host", "spa.example"}, {"prefix", "/book/"}, {"route_kind", "non_idempotent"}, {"timeout_ms", 3000}, {"goal_ms", 300},
                      {"priority", 2}, {"service", "booking-app"}, {"attempts", 1}, {"anonymous", false}, {"sticky", false}, {"resumable", false}};
    const Json service {{"name", "booking-app"}, {"health_path", "/healthz"}, {"max_conns", 110}, {"protocol", "h1"}, {"tls", false}};
    store.put("op", "config", Json {{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limitsJson()}}.dump());
    std::vector<std::unique_ptr<RefusingServer>> servers;
    std::vector<std::unique_ptr<Beat>> beats;
    for (const char *name : {"i-1", "i-2", "i-3"}) {
        servers.push_back(std::make_unique<RefusingServer>(play, name));
        beats.push_back(std::make_unique<Beat>(store, name, [server = servers.back().get()] { return server->row(); }));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    gateways.push_back(std::make_unique<Gateway>(play.root, play.folder, "frontend-lj-a-1", "lj-a", store.port(), smallBounds()));
    if (!startAll(gateways, 4000)) {
        play.cannotRun("the gateway isn't ready");
    }
    const auto conn = Conn::connect(gateways.front()->callers);
    int broken = 0;
    for (int i = 0; i < 17; ++i) {
        const bool isCalm = i < 5;
        for (auto &server : servers) {
            server->isOverloaded = !isCalm;
        }
        const auto attempt = "att-" + std::to_string(100 + i);
        play.record.line("client: POST /book/2f %s", attempt.c_str());
        const std::string body(600, 'q');
        Message reply;
        const bool isAnswered = conn
            && conn->send("POST /book/2f HTTP/1.1\r\nHost: spa.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 3000\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body)
            && conn->read(reply, true, nowMs() + 4000);
        if (!isAnswered) {
            play.cannotRun("a request got no answer");
        }
        sleepMs(250);
        int runs = 0;
        for (auto &server : servers) {
            const std::lock_guard lock(server->mutex);
            runs += server->ran[attempt];
        }
        const int status = reply.status();
        const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
        const bool isBroken = runs > 1 || (isPromise && runs > 0);
        broken += isBroken ? 1 : 0;
        play.record.line("client: %s was answered %d; it has run %d times%s", attempt.c_str(), status, runs, isBroken ? "  <-- BROKEN" : "");
        if (isCalm && (status != 200 || runs != 1)) {
            play.cannotRun("a request in calm wasn't served");
        }
    }
    play.record.line("%d of 12 requests in the overload break REFUSED or TWICE", broken);
    std::printf("%d of 12 requests break REFUSED or TWICE\n", broken);
    play.end(broken > 0 ? 1 : 0);
}

// ---- late-load: a load without an answer arrives after its server has started again under the same id

/// A model server that takes orders. It holds its orders' effects to the pages: `expected_revision` is checked when the order is carried out, a load takes
/// disk_s if the server has had the model and load_s otherwise, and a restart leaves it empty with a `sequence` of 0.
struct OrderedServer {
    static constexpr double Memory = 230000;
    static constexpr double Weights = 72700;
    static constexpr double LoadMs = 2200;
    static constexpr double DiskMs = 440;
    Play &play;
    std::string id = "i-1";
    std::mutex mutex;
    std::set<std::string> held;
    std::set<std::string> onDisk;
    std::string loading;
    double loadingUntil = 0;
    std::uint64_t sequence = 0;
    std::int64_t born = 1700000000000;
    int overcommits = 0;
    int ranAfterRestart = 0;
    bool hasRestarted = false;
    std::map<std::string, int> running;
    std::uint64_t watchFor = 0; ///< the load with this expected_revision gets no answer; 0: none
    std::optional<Json> late; ///< that order
    double lateAt = 0; ///< when it was received
    Server server;

    explicit OrderedServer(Play &owner)
        : play(owner)
        , held {"a", "b", "c"}
        , onDisk {"a", "b", "c"}
        , server([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
    }
    auto settle() -> void ///< with the mutex
    {
        if (!loading.empty() && nowMs() >= loadingUntil) {
            held.insert(loading);
            onDisk.insert(loading);
            play.record.line("server: %s is loaded", loading.c_str());
            loading.clear();
        }
    }
    auto modelsJson() const -> Json
    {
        Json list = Json::array();
        for (const auto &model : held) {
            list.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
        }
        return list;
    }
    auto row() -> Json
    {
        const std::lock_guard lock(mutex);
        settle();
        return {{"service", "dir-llm"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "z-a"}, {"version", "v1"}, {"slots", 64},
                {"state", "ready"}, {"cold_left_ms", 0}, {"stage", "combined"}, {"models", modelsJson()}, {"born", born},
                {"available", {{"in_memory", Json::array()}, {"on_disk", onDisk}}}};
    }
    /// Carries an order out; returns the status.
    auto carryOut(const Json &order, const char *how) -> int ///< with the mutex
    {
        settle();
        const auto model = order.value("model", "");
        const auto isLoad = order.value("operation", "") == "load";
        const auto expected = order.value("expected_revision", sequence);
        int status = 202;
        if (expected != sequence || !loading.empty()) {
            status = 409;
        } else if (isLoad ? held.contains(model) : !held.contains(model)) {
            status = 200;
        }
        play.record.line("server: %s %s %s, expected_revision %llu, fence %llu: %d (sequence %llu, holds %zu, loading '%s')", how, isLoad ? "load" : "unload", model.c_str(),
                         static_cast<unsigned long long>(expected), static_cast<unsigned long long>(order.value("fencing_token", 0ULL)), status,
                         static_cast<unsigned long long>(sequence), held.size(), loading.c_str());
        if (status != 202) {
            return status;
        }
        ++sequence;
        if (!isLoad) {
            held.erase(model);
            return status;
        }
        const double sum = (static_cast<double>(held.size()) + 1) * Weights;
        if (sum > Memory) {
            ++overcommits;
            play.record.line("server: ordered to hold %.0f MB of %.0f MB  <-- BROKEN: LIMIT", sum, Memory);
        }
        loading = model;
        loadingUntil = nowMs() + (onDisk.contains(model) ? DiskMs : LoadMs);
        return status;
    }
    auto handle(Conn &conn, Message &request) -> bool
    {
        const auto expected = request.header("expect-instance");
        if (!expected.empty() && expected != id) {
            return conn.send(answer(421, {{"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
        }
        if (request.path() == "/healthz") {
            return conn.send(answer(200, {{"Instance-Id", id}}, ""));
        }
        if (request.path() == "/report") {
            const std::lock_guard lock(mutex);
            settle();
            const Json report {{"stage", "combined"}, {"models", modelsJson()}, {"busy", !loading.empty()}, {"sequence", sequence}, {"waiting", 0}, {"running", 0},
                               {"kv_used", 0}, {"kv_total", 190000}, {"handles", 0}, {"born", born},
                               {"available", {{"in_memory", Json::array()}, {"on_disk", onDisk}}}};
            return conn.send(answer(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        if (request.path() == "/order") {
            const auto order = Json::parse(request.body, nullptr, false);
            int status = 0;
            {
                const std::lock_guard lock(mutex);
                settle();
                const bool isLoad = order.value("operation", "") == "load";
                if (play.hasTrouble && watchFor > 0 && !late && isLoad && order.value("expected_revision", 0ULL) == watchFor) {
                    late = order;
                    lateAt = nowMs();
                    play.record.line("server: load %s, expected_revision %llu, gets no answer", order.value("model", "").c_str(),
                                     static_cast<unsigned long long>(watchFor));
                } else {
                    status = carryOut(order, "order:");
                }
            }
            if (status == 0) {
                sleepMs(20000);
                return false;
            }
            return conn.send(answer(status, {}, ""));
        }
        const auto model = request.header("model");
        const auto attempt = request.header("attempt-id");
        {
            const std::lock_guard lock(mutex);
            settle();
            if (!held.contains(model)) {
                return conn.send(answer(421, {{"Attempt-Id", attempt}, {"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
            }
            ranAfterRestart += hasRestarted ? 1 : 0;
        }
        sleepMs(30);
        std::string body;
        for (int i = 1; i <= 4; ++i) {
            body += "id: " + std::to_string(i) + "\ndata: " + std::string(40, 'x') + "\n\n";
        }
        return conn.send(answer(200, {{"Attempt-Id", attempt}, {"Server-Stamp", "s." + attempt}, {"Content-Type", "text/event-stream"}, {"Weight-Versions", "1"}}, body));
    }
};

auto playLateLoad(Play &play) -> int
{
    Store store;
    const Json route {{"name", "r-chat"}, {"host", "dir.example"}, {"prefix", "/chat/"}, {"route_kind", "streaming"}, {"timeout_ms", 8000}, {"goal_ms", 2000},
                      {"priority", 1}, {"service", "dir-llm"}, {"attempts", 2}, {"anonymous", false}, {"sticky", true}, {"resumable", true}, {"gap_target_ms", 500}};
    Json models = Json::array();
    for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
        models.push_back({{"name", name}, {"weights_mb", OrderedServer::Weights}, {"load_s", OrderedServer::LoadMs / 1000}, {"adapters", 0}, {"adapter_mb", 66},
                          {"warm_s", 0.32}, {"disk_s", OrderedServer::DiskMs / 1000}});
    }
    const Json engine {{"slots", 64}, {"kv_capacity", 190000}, {"weights_mb", OrderedServer::Memory}, {"adapter_slots", 8}, {"loads_per_s", 6.5},
                       {"host_mb", 0}, {"disk_mb", 450000}, {"models", models}};
    const Json service {{"name", "dir-llm"}, {"health_path", "/healthz"}, {"max_conns", 460}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
    store.put("op", "config", Json {{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limitsJson()}}.dump());
    OrderedServer server(play);
    auto beat = std::make_unique<Beat>(store, server.id, [&] { return server.row(); });
    std::vector<std::unique_ptr<Gateway>> gateways;
    gateways.push_back(std::make_unique<Gateway>(play.root, play.folder, "frontend-z-a-1", "z-a", store.port(), smallBounds()));
    if (!startAll(gateways, 6000)) {
        play.cannotRun("the gateway isn't ready");
    }
    std::atomic<bool> isOver = false;
    std::mutex mutex;
    std::map<std::string, double> rates; ///< requests a second by model
    std::atomic<int> served = 0;
    const auto demand = [&](const std::string &model) {
        int number = 0;
        while (!isOver) {
            double rate = 0;
            {
                const std::lock_guard lock(mutex);
                rate = rates[model];
            }
            if (rate <= 0) {
                sleepMs(50);
                continue;
            }
            const auto attempt = "att-" + model + "-" + std::to_string(++number);
            std::thread([&play, &served, attempt, model, port = gateways.front()->callers] {
                const auto conn = Conn::connect(port);
                Message reply;
                const bool isAnswered = conn
                    && conn->send("POST /chat/2f HTTP/1.1\r\nHost: dir.example\r\nAttempt-Id: " + attempt + "\r\nModel: " + model
                                  + "\r\nToken-Usage: 40,20\r\nPrompt-Prefix: 5c1e07a2:20," + std::to_string(std::hash<std::string>()(attempt) % 100000000)
                                  + ":20\r\nDeadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nchat")
                    && conn->read(reply, true, nowMs() + 9000);
                served += isAnswered && reply.status() == 200 ? 1 : 0;
            }).detach();
            sleepMs(1000 / rate);
        }
    };
    std::vector<std::thread> clients;
    for (const char *model : {"a", "b", "c", "d", "e", "f"}) {
        clients.emplace_back(demand, model);
    }
    const auto setRates = [&](std::map<std::string, double> wanted) {
        const std::lock_guard lock(mutex);
        rates = std::move(wanted);
    };
    const auto sequenceIs = [&](std::uint64_t wanted) {
        const std::lock_guard lock(server.mutex);
        server.settle();
        return server.sequence >= wanted && server.loading.empty();
    };
    play.record.line("clients: demand for a, b and c");
    setRates({{"a", 6}, {"b", 6}, {"c", 2}});
    sleepMs(6000);
    play.record.line("clients: demand moves from c to d");
    setRates({{"a", 6}, {"b", 6}, {"d", 6}});
    if (!waitUntil([&] { return sequenceIs(2); }, 20000)) {
        play.cannotRun("d wasn't loaded");
    }
    sleepMs(4000);
    {
        const std::lock_guard lock(server.mutex);
        server.watchFor = server.sequence + 1; // an unload is accepted first
    }
    play.record.line("clients: demand moves from b to e");
    setRates({{"a", 6}, {"d", 6}, {"e", 6}});
    const auto isLate = [&] {
        const std::lock_guard lock(server.mutex);
        return server.late.has_value();
    };
    const auto isSettled = [&] {
        return sequenceIs(4);
    };
    if (!waitUntil([&] { return play.hasTrouble ? isLate() : isSettled(); }, 20000)) {
        play.cannotRun("e wasn't ordered");
    }
    sleepMs(200);
    play.record.line("server: crashes");
    beat->stop();
    server.server.stop();
    setRates({{"a", 6}, {"b", 6}, {"d", 6}});
    sleepMs(3600); // three heartbeat intervals
    store.remove("servers", server.id);
    play.record.line("platform: the entry is removed");
    sleepMs(600);
    {
        const std::lock_guard lock(server.mutex);
        server.held.clear();
        server.loading.clear();
        server.sequence = 0;
        server.born += 60000;
        server.hasRestarted = true;
    }
    server.server.restart();
    beat = std::make_unique<Beat>(store, server.id, [&] { return server.row(); });
    play.record.line("server: is back under the same id, empty, sequence 0");
    const double until = play.hasTrouble ? server.lateAt + 12000 : nowMs() + 8000;
    while (nowMs() < until) {
        {
            const std::lock_guard lock(server.mutex);
            server.settle();
            if (server.late && nowMs() > server.lateAt + 2000 && server.loading.empty() && server.late->value("expected_revision", 0ULL) == server.sequence) {
                play.record.line("network: the order of %.0f ms before arrives", nowMs() - server.lateAt);
                server.carryOut(*server.late, "late order:");
                server.late.reset();
                break;
            }
        }
        sleepMs(20);
    }
    sleepMs(500);
    play.record.line("%d requests were served, %d of them after the restart; %d overcommits", served.load(), server.ranAfterRestart, server.overcommits);
    std::printf("%d orders to load more than the server holds\n", server.overcommits);
    if (server.ranAfterRestart < 5) {
        play.cannotRun("the server wasn't used after its restart");
    }
    play.end(server.overcommits > 0 ? 1 : 0);
}

// ---- endless: servers in trouble send heads without end

/// A model server whose answers, while it is in trouble, have a head that doesn't end: short lines come until the caller closes.
struct EndlessServer {
    static constexpr int QuickLines = 65300;
    Play &play;
    std::string id;
    std::atomic<bool> &isInTrouble;
    std::atomic<int> open = 0;
    Server server;

    EndlessServer(Play &owner, std::string name, std::atomic<bool> &trouble)
        : play(owner)
        , id(std::move(name))
        , isInTrouble(trouble)
        , server([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
    }
    auto row() const -> Json
    {
        return {{"service", "assistant-llm"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "lj-a"}, {"version", "v1"}, {"slots", 64},
                {"state", "ready"}, {"cold_left_ms", 0}, {"stage", "combined"}, {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}}}},
                {"born", 1700000000000}};
    }
    auto handle(Conn &conn, Message &request) -> bool
    {
        const auto expected = request.header("expect-instance");
        if (!expected.empty() && expected != id) {
            return conn.send(answer(421, {{"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
        }
        if (request.path() == "/healthz") {
            return conn.send(answer(200, {{"Instance-Id", id}}, ""));
        }
        if (request.path() == "/report") {
            const Json report {{"stage", "combined"}, {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}}}}, {"busy", false}, {"sequence", 0},
                               {"waiting", 0}, {"running", open.load()}, {"kv_used", 0}, {"kv_total", 157000}, {"handles", 0}, {"born", 1700000000000}};
            return conn.send(answer(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        if (request.path() == "/order") {
            return conn.send(answer(409, {}, ""));
        }
        const auto attempt = request.header("attempt-id");
        if (open >= 64) {
            return conn.send(answer(503, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, ""));
        }
        ++open;
        const bool isOk = stream(conn, attempt);
        --open;
        return isOk;
    }
    auto stream(Conn &conn, const std::string &attempt) -> bool
    {
        sleepMs(40);
        if (isInTrouble) {
            std::string lines;
            for (int i = 0; i < QuickLines; ++i) {
                lines += "a:\r\n";
            }
            conn.send("HTTP/1.1 200 OK\r\n" + lines);
            while (!conn.isClosedByPeer() && conn.send("a:\r\n")) {
                sleepMs(200);
            }
            return false;
        }
        if (!conn.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: s." + attempt
                       + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        constexpr int Events = 8;
        for (int i = 1; i <= Events; ++i) {
            const auto event = "id: " + std::to_string(i) + "\ndata: " + std::string(40, 'x') + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!conn.send(size + event + "\r\n")) {
                return false;
            }
            sleepMs(60);
        }
        return conn.send("0\r\n\r\n");
    }
};

auto playEndless(Play &play) -> int
{
    constexpr int Servers = 9;
    constexpr std::size_t Gateways = 2;
    constexpr double MemoryMb = 260;
    constexpr double CalmMs = 5000;
    constexpr double TroubleMs = 14000;
    // A frontend's share of the site's requests: a fifth of 79.6, 11.1 and 64.9 a second. A client leaves after the longest of 2 s, four times the objective
    // and eight times the pause.
    struct Kind {
        const char *path;
        double perSecond;
        double goalMs;
        double timeoutMs;
        double giveUpMs;
    };
    static constexpr std::array<Kind, 3> Kinds {{{"/live/", 79.6 / 5, 250, 12000, 2000}, {"/batch/", 11.1 / 5, 1200, 15000, 4800}, {"/query/", 64.9 / 5, 250, 4000, 2000}}};
    Store store;
    Json routes = Json::array();
    for (const auto &kind : Kinds) {
        routes.push_back({{"name", std::string("r") + kind.path[1]}, {"host", "spa.example"}, {"prefix", kind.path}, {"route_kind", "streaming"},
                          {"timeout_ms", kind.timeoutMs}, {"goal_ms", kind.goalMs}, {"priority", 1}, {"service", "assistant-llm"}, {"attempts", 1},
                          {"anonymous", false}, {"sticky", true}, {"resumable", false}, {"gap_target_ms", 150}});
    }
    const Json engine {{"slots", 64}, {"kv_capacity", 157131}, {"weights_mb", 200000}, {"adapter_slots", 8}, {"loads_per_s", 1.8},
                       {"models", {{{"name", "m0"}, {"weights_mb", 72700}, {"load_s", 1.2}, {"adapters", 0}, {"adapter_mb", 66}, {"warm_s", 0.3}, {"disk_s", 0.4}}}}};
    const Json service {{"name", "assistant-llm"}, {"health_path", "/healthz"}, {"max_conns", 370}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
    store.put("op", "config", Json {{"version", 3}, {"routes", routes}, {"services", {service}}, {"limits", limitsJson()}}.dump());
    std::atomic<bool> isInTrouble = false;
    std::vector<std::unique_ptr<EndlessServer>> servers;
    std::vector<std::unique_ptr<Beat>> beats;
    for (int i = 1; i <= Servers; ++i) {
        servers.push_back(std::make_unique<EndlessServer>(play, "i-" + std::to_string(i), isInTrouble));
        beats.push_back(std::make_unique<Beat>(store, servers.back()->id, [server = servers.back().get()] { return server->row(); }));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (std::size_t i = 1; i <= Gateways; ++i) {
        gateways.push_back(std::make_unique<Gateway>(play.root, play.folder, "frontend-lj-a-" + std::to_string(i), "lj-a", store.port(), smallBounds()));
    }
    if (!startAll(gateways, 6000)) {
        play.cannotRun("the gateways aren't ready");
    }
    std::mutex mutex;
    std::map<std::string, int> outcomes;
    std::array<std::atomic<int>, Gateways> open {};
    const auto ask = [&](std::size_t which, const Kind &kind, int number) {
        const auto attempt = "att-" + std::to_string(which) + "-" + kind.path[1] + std::to_string(number);
        const auto conn = Conn::connect(gateways[which]->callers);
        std::string outcome = "no connection";
        ++open[which];
        if (conn
            && conn->send(std::string("POST ") + kind.path + "2f HTTP/1.1\r\nHost: spa.example\r\nAttempt-Id: " + attempt
                          + "\r\nModel: m0\r\nToken-Usage: 140,20\r\nPrompt-Prefix: 5c1e07a2:92," + std::to_string(number) + ":48\r\nDeadline-Ms: "
                          + std::to_string(static_cast<int>(kind.timeoutMs)) + "\r\nContent-Length: 4\r\n\r\nplan")) {
            Message reply;
            outcome = "cut off before an answer";
            if (conn->readHead(reply, nowMs() + kind.giveUpMs)) {
                outcome = "answered " + std::to_string(reply.status());
                std::string body;
                while (reply.status() == 200 && conn->take(1, body, nowMs() + kind.giveUpMs)) {
                    if (body.ends_with("0\r\n\r\n")) {
                        outcome = "answered whole";
                        break;
                    }
                }
                if (outcome == "answered 200") {
                    outcome = conn->isClosedByPeer() ? "cut off within the answer" : "given up by the client";
                }
            } else if (!conn->isClosedByPeer()) {
                outcome = "given up by the client";
            }
        }
        --open[which];
        const std::lock_guard lock(mutex);
        ++outcomes[outcome];
    };
    std::vector<std::thread> clients;
    const double begin = nowMs();
    double most = 0;
    std::array<int, Gateways> ends {};
    double reportedAt = 0;
    std::array<std::array<double, Kinds.size()>, Gateways> nextAt {};
    std::array<double, Gateways> restartAt {};
    int number = 0;
    while (nowMs() < begin + CalmMs + TroubleMs) {
        if (!isInTrouble && play.hasTrouble && nowMs() > begin + CalmMs) {
            isInTrouble = true;
            play.record.line("the servers send heads without end");
        }
        for (std::size_t i = 0; i < Gateways; ++i) {
            for (std::size_t k = 0; k < Kinds.size(); ++k) {
                auto &at = nextAt[i][k];
                at = at == 0 ? nowMs() : at;
                for (; nowMs() >= at; at += 1000 / Kinds[k].perSecond) {
                    clients.emplace_back(ask, i, std::cref(Kinds[k]), ++number);
                }
            }
            auto &gateway = *gateways[i];
            if (restartAt[i] > 0) {
                if (nowMs() >= restartAt[i]) {
                    gateway.start();
                    restartAt[i] = 0;
                }
                continue;
            }
            const auto [now, peak] = gateway.memory();
            most = std::max(most, peak);
            const auto status = gateway.ended();
            if (status || now > MemoryMb) {
                ++ends[i];
                restartAt[i] = nowMs() + 500;
                play.record.line("%s %s at %.0f MB, memory_mb is %.0f; %d requests were open  <-- BROKEN", gateway.name().c_str(),
                                 status ? "has ended by itself" : "is killed by the platform", now, MemoryMb, open[i].load());
                gateway.stop();
            }
        }
        if (nowMs() > reportedAt + 500) {
            reportedAt = nowMs();
            for (std::size_t i = 0; i < Gateways; ++i) {
                play.record.line("%s: %.0f MB resident, %d requests are open", gateways[i]->name().c_str(), gateways[i]->memory().first, open[i].load());
            }
        }
        sleepMs(5);
    }
    for (auto &client : clients) {
        client.join();
    }
    for (const auto &[outcome, count] : outcomes) {
        play.record.line("clients: %d requests: %s", count, outcome.c_str());
    }
    play.record.line("%d and %d ends of the two processes; %.0f MB at most, memory_mb is %.0f", ends[0], ends[1], most, MemoryMb);
    std::printf("%d and %d ends of the two processes; %.0f MB at most, memory_mb is %.0f\n", ends[0], ends[1], most, MemoryMb);
    play.end(ends[0] + ends[1] > 0 ? 1 : 0);
}

// ---- stray-order: an extra response to a request is taken for the answer to an order

/// A model server with adapter slots. An unload of an adapter that a run uses waits for the run. A faulty one sends one extra response: the answer to an
/// earlier request once more, with that request's id, at the point where the next answer on the connection is expected.
struct AdapterServer {
    static constexpr std::size_t Slots = 5;
    Play &play;
    std::string id = "i-1";
    std::mutex mutex;
    std::set<std::string> held;
    std::set<std::string> unloading; ///< part of `held`: accepted unloads that wait for their runs
    std::map<std::string, int> runs;
    std::uint64_t sequence = 0;
    bool hasStray = false; ///< one extra response is to come
    std::atomic<bool> hasCrashed = false;
    int overcommits = 0;
    int streamsOpen = 0;
    std::map<int, std::string> lastAnswers; ///< by connection: the answer to its last request with an id
    Server server;

    explicit AdapterServer(Play &owner)
        : play(owner)
        , server([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
    }
    auto row() -> Json
    {
        const std::lock_guard lock(mutex);
        return {{"service", "advisor-llm"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "z-a"}, {"version", "v1"}, {"slots", 64},
                {"state", "ready"}, {"cold_left_ms", 0}, {"stage", "combined"}, {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", held}}}},
                {"born", 1700000000000}};
    }
    auto handle(Conn &conn, Message &request) -> bool
    {
        if (hasCrashed) {
            return false;
        }
        const auto expected = request.header("expect-instance");
        if (!expected.empty() && expected != id) {
            return conn.send(answer(421, {{"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
        }
        if (request.path() == "/healthz") {
            return conn.send(answer(200, {{"Instance-Id", id}}, ""));
        }
        if (request.path() == "/report") {
            const std::lock_guard lock(mutex);
            const Json report {{"stage", "combined"}, {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", held}}}}, {"busy", false}, {"sequence", sequence},
                               {"waiting", 0}, {"running", streamsOpen}, {"kv_used", 0}, {"kv_total", 230000}, {"handles", 0}, {"pending", Json::array()},
                               {"born", 1700000000000}};
            return conn.send(answer(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        if (request.path() == "/order") {
            return order(conn, Json::parse(request.body, nullptr, false));
        }
        return run(conn, request);
    }
    auto order(Conn &conn, const Json &order) -> bool
    {
        const std::lock_guard lock(mutex);
        const auto adapter = order.value("adapter", "");
        const bool isLoad = order.value("operation", "") == "load";
        const auto expected = order.value("expected_revision", sequence);
        int status = 202;
        if (order.value("model", "") != "m0" || adapter.empty()) {
            status = 400;
        } else if (expected != sequence) {
            status = 409;
        } else if (isLoad ? held.contains(adapter) : !held.contains(adapter)) {
            status = 200;
        } else {
            ++sequence;
            if (isLoad) {
                held.insert(adapter);
            } else if (runs[adapter] == 0) {
                held.erase(adapter);
                status = 200;
            } else {
                unloading.insert(adapter);
            }
        }
        play.record.line("server: order %s %s, expected_revision %llu: %d; sequence is %llu, %zu of %zu adapter slots are taken, %d streams run",
                         isLoad ? "load" : "unload", adapter.c_str(), static_cast<unsigned long long>(expected), status, static_cast<unsigned long long>(sequence),
                         held.size(), Slots, streamsOpen);
        const bool isCrash = held.size() > Slots;
        if (isCrash) {
            ++overcommits;
            hasCrashed = true;
            play.record.line("server: ordered to hold %zu adapters in %zu slots: it crashes, %d streams are lost  <-- BROKEN: LIMIT", held.size(), Slots, streamsOpen);
            return false;
        }
        const auto stray = lastAnswers.find(conn.number());
        if (hasStray && !isLoad && stray != lastAnswers.end()) {
            hasStray = false;
            play.record.line("server: the answer to an earlier request on that connection goes out once more, ahead of the %d", status);
            conn.send(stray->second);
        }
        return conn.send(answer(status, {}, ""));
    }
    auto run(Conn &conn, Message &request) -> bool
    {
        const auto attempt = request.header("attempt-id");
        const auto name = request.header("model");
        const auto slash = name.find('/');
        const auto adapter = slash == std::string::npos ? std::string() : name.substr(slash + 1);
        {
            const std::lock_guard lock(mutex);
            if (name.substr(0, slash) != "m0" || (!adapter.empty() && (!held.contains(adapter) || unloading.contains(adapter)))) {
                return conn.send(answer(421, {{"Attempt-Id", attempt}, {"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
            }
            ++runs[adapter];
            ++streamsOpen;
            play.record.line("server: runs %s with %s", attempt.c_str(), name.c_str());
        }
        const Headers headers {{"Attempt-Id", attempt}, {"Server-Stamp", "s." + attempt}, {"Content-Type", "text/event-stream"}, {"Weight-Versions", "1"}};
        const auto event = [](int number) {
            return "id: " + std::to_string(number) + "\ndata: " + std::string(40, 'x') + "\n\n";
        };
        bool isOk = true;
        if (adapter.empty()) {
            sleepMs(30);
            const auto text = answer(200, headers, event(1) + event(2) + event(3));
            isOk = conn.send(text);
            const std::lock_guard lock(mutex);
            lastAnswers[conn.number()] = text;
        } else {
            std::string head = "HTTP/1.1 200 OK\r\n";
            for (const auto &[key, value] : headers) {
                head += key + ": " + value + "\r\n";
            }
            isOk = conn.send(head + "Transfer-Encoding: chunked\r\n\r\n");
            constexpr int Events = 58;
            for (int i = 1; i <= Events && isOk && !hasCrashed; ++i) {
                const auto text = event(i);
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                isOk = conn.send(size + text + "\r\n");
                sleepMs(170);
            }
            isOk = isOk && !hasCrashed && conn.send("0\r\n\r\n");
            const std::lock_guard lock(mutex);
            lastAnswers.erase(conn.number());
        }
        const std::lock_guard lock(mutex);
        --streamsOpen;
        if (--runs[adapter] == 0 && unloading.erase(adapter) > 0) {
            held.erase(adapter);
            play.record.line("server: %s is unloaded", adapter.c_str());
        }
        return isOk;
    }
};

auto playStrayOrder(Play &play) -> int
{
    Store store;
    const Json route {{"name", "r-advice"}, {"host", "law.example"}, {"prefix", "/advice/"}, {"route_kind", "streaming"}, {"timeout_ms", 15000}, {"goal_ms", 500},
                      {"priority", 0}, {"service", "advisor-llm"}, {"attempts", 1}, {"anonymous", false}, {"sticky", true}, {"resumable", false},
                      {"gap_target_ms", 400}};
    const Json engine {{"slots", 64}, {"kv_capacity", 231707}, {"weights_mb", 220000}, {"adapter_slots", AdapterServer::Slots}, {"loads_per_s", 2.1},
                       {"models", {{{"name", "m0"}, {"weights_mb", 65100}, {"load_s", 5.0}, {"adapters", 57}, {"adapter_mb", 12}, {"warm_s", 0.38}, {"disk_s", 1.0}}}}};
    const Json service {{"name", "advisor-llm"}, {"health_path", "/healthz"}, {"max_conns", 360}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
    store.put("op", "config", Json {{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limitsJson()}}.dump());
    AdapterServer server(play);
    Beat beat(store, server.id, [&] { return server.row(); });
    std::vector<std::unique_ptr<Gateway>> gateways;
    gateways.push_back(std::make_unique<Gateway>(play.root, play.folder, "frontend-z-a-1", "z-a", store.port(), smallBounds()));
    if (!startAll(gateways, 8000)) {
        play.cannotRun("the gateway isn't ready");
    }
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::vector<std::thread> clients;
    const auto ask = [&](const std::string &model) {
        clients.emplace_back([&, model, number = clients.size()] {
            const auto attempt = "att-" + std::to_string(100 + number);
            play.record.line("client: sends %s for %s", attempt.c_str(), model.c_str());
            const auto conn = Conn::connect(gateways.front()->callers);
            Message reply;
            const bool isSent = conn
                && conn->send("POST /advice/2f HTTP/1.1\r\nHost: law.example\r\nAttempt-Id: " + attempt + "\r\nModel: " + model
                              + "\r\nToken-Usage: 826,290\r\nPrompt-Prefix: 5c1e07a2:198," + std::to_string(1000 + number) + ":628\r\nDeadline-Ms: 15000\r\nContent-Length: 4\r\n\r\nlogs");
            const bool isWhole = isSent && conn->read(reply, true, nowMs() + 16000);
            const bool isServed = isWhole && reply.status() == 200;
            whole += isServed ? 1 : 0;
            cut += reply.status() == 200 && !isWhole ? 1 : 0;
            play.record.line("client: %s %s%d", attempt.c_str(), isWhole ? "was answered " : "was cut off, status ", reply.status());
        });
    };
    for (int i = 1; i <= 5; ++i) {
        ask("m0/a" + std::to_string(i));
        sleepMs(300);
    }
    ask("m0");
    sleepMs(500);
    {
        const std::lock_guard lock(server.mutex);
        if (server.held.size() != AdapterServer::Slots || server.streamsOpen != 5) {
            play.cannotRun("the five adapters aren't in use");
        }
        server.hasStray = play.hasTrouble;
    }
    ask("m0/a6");
    for (auto &client : clients) {
        client.join();
    }
    play.record.line("%d streams were served whole, %d were cut off; %d overcommits", whole.load(), cut.load(), server.overcommits);
    std::printf("%d orders to load more than the slots hold; %d streams were cut off\n", server.overcommits, cut.load());
    play.end(server.overcommits > 0 ? 1 : 0);
}

// ---- stray-check: the answer to a health check comes once more, ahead of the answer to a request

/// A server of a plain service with six slots, which rejects a health check like any other request while they are taken. A faulty one sends an extra
/// response: that rejection once more, at the point where the next answer on the connection is expected.
struct CheckedServer {
    static constexpr int Slots = 6;
    Play &play;
    std::string id;
    std::mutex mutex;
    int running = 0;
    std::map<std::string, int> ran; ///< number of runs by id of the attempt
    std::map<int, std::string> rejections; ///< by connection: its last answer, if that was a rejected health check
    int strays = 0;
    Server server;

    CheckedServer(Play &owner, std::string name)
        : play(owner)
        , id(std::move(name))
        , server([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
    }
    auto row() const -> Json
    {
        return {{"service", "minutes-ledger"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "z-a"}, {"version", "v1"}, {"slots", Slots},
                {"state", "ready"}, {"cold_left_ms", 0}, {"born", 1700000000000}};
    }
    auto handle(Conn &conn, Message &request) -> bool
    {
        const auto attempt = request.header("attempt-id");
        const auto expected = request.header("expect-instance");
        if (!expected.empty() && expected != id) {
            return conn.send(answer(421, {{"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
        }
        std::string stray;
        {
            const std::lock_guard lock(mutex);
            if (request.path() == "/healthz") {
                const auto rejection = answer(503, {{"Instance-Id", id}, {"Not-Executed", "1"}}, "");
                const bool isFull = running >= Slots;
                if (isFull) {
                    rejections[conn.number()] = rejection;
                }
                play.record.line("server %s connection %d: health check: %d", id.c_str(), conn.number(), isFull ? 503 : 200);
                return conn.send(isFull ? rejection : answer(200, {{"Instance-Id", id}}, ""));
            }
            if (running >= Slots + 18) {
                return conn.send(answer(503, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, ""));
            }
            ++running;
            ++ran[attempt];
            if (const auto found = rejections.find(conn.number()); found != rejections.end()) {
                stray = play.hasTrouble ? found->second : "";
                rejections.erase(found);
            }
        }
        play.record.line("server %s connection %d: runs %s%s", id.c_str(), conn.number(), attempt.c_str(),
                         stray.empty() ? "" : "; the answer to the health check before goes out once more ahead");
        const bool isSlow = request.path().starts_with("/statement/");
        if (!stray.empty()) {
            ++strays;
            conn.send(stray);
        }
        sleepMs(isSlow ? 1500 : 60);
        {
            const std::lock_guard lock(mutex);
            --running;
        }
        play.record.line("server %s connection %d: %s has run, answers 200", id.c_str(), conn.number(), attempt.c_str());
        return conn.send(answer(200, {{"Attempt-Id", attempt}, {"Server-Stamp", "s." + attempt}}, std::string(800, 'm')));
    }
};

auto playStrayCheck(Play &play) -> int
{
    Store store;
    const auto route = [](const char *name, const char *prefix, const char *kind, int attempts) {
        return Json {{"name", name}, {"host", "ledger.example"}, {"prefix", prefix}, {"route_kind", kind}, {"timeout_ms", 3000}, {"goal_ms", 300}, {"priority", 2},
                     {"service", "minutes-ledger"}, {"attempts", attempts}, {"anonymous", false}, {"sticky", false}, {"resumable", false}};
    };
    const Json service {{"name", "minutes-ledger"}, {"health_path", "/healthz"}, {"max_conns", 100}, {"protocol", "h1"}, {"tls", false}};
    store.put("op", "config",
              Json {{"version", 3}, {"routes", {route("r-debit", "/debit/", "non_idempotent", 1), route("r-statement", "/statement/", "idempotent", 2)}},
                    {"services", {service}}, {"limits", limitsJson()}}.dump());
    std::vector<std::unique_ptr<CheckedServer>> servers;
    std::vector<std::unique_ptr<Beat>> beats;
    for (const char *name : {"i-1", "i-2"}) {
        servers.push_back(std::make_unique<CheckedServer>(play, name));
        beats.push_back(std::make_unique<Beat>(store, name, [server = servers.back().get()] { return server->row(); }));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    gateways.push_back(std::make_unique<Gateway>(play.root, play.folder, "frontend-z-a-1", "z-a", store.port(), smallBounds()));
    if (!startAll(gateways, 4000)) {
        play.cannotRun("the gateway isn't ready");
    }
    std::mutex mutex;
    std::map<std::string, int> answered;
    int number = 0;
    const auto volley = [&](const std::string &path, const std::string &method, int count) {
        std::vector<std::thread> clients;
        for (int i = 0; i < count; ++i) {
            clients.emplace_back([&, attempt = "att-" + std::to_string(100 + number++)] {
                play.record.line("client: %s %s %s", method.c_str(), path.c_str(), attempt.c_str());
                const auto conn = Conn::connect(gateways.front()->callers);
                Message reply;
                const bool isAnswered = conn
                    && conn->send(method + " " + path + " HTTP/1.1\r\nHost: ledger.example\r\nAttempt-Id: " + attempt
                                  + "\r\nDeadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody")
                    && conn->read(reply, true, nowMs() + 4000);
                const std::lock_guard lock(mutex);
                answered[attempt] = isAnswered ? reply.status() : 0;
            });
        }
        for (auto &client : clients) {
            client.join();
        }
    };
    for (int round = 0; round < 4; ++round) {
        volley("/statement/2f", "GET", 2 * CheckedServer::Slots);
        volley("/debit/2f", "POST", 20);
        sleepMs(300);
    }
    int twice = 0;
    int refused = 0;
    int served = 0;
    for (const auto &[attempt, status] : answered) {
        int runs = 0;
        std::string where;
        for (auto &server : servers) {
            const std::lock_guard lock(server->mutex);
            runs += server->ran[attempt];
        }
        const bool isDebit = (std::stoi(attempt.substr(4)) - 100) % 32 >= 2 * CheckedServer::Slots;
        if (!isDebit) {
            continue;
        }
        const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
        served += status == 200 && runs == 1 ? 1 : 0;
        twice += runs > 1 ? 1 : 0;
        refused += runs > 0 && isPromise ? 1 : 0;
        if (runs > 1 || (runs > 0 && isPromise)) {
            play.record.line("client: %s was answered %d and has run %d times  <-- BROKEN", attempt.c_str(), status, runs);
        }
    }
    play.record.line("%d debits served once; %d ran more than once; %d were refused and have run", served, twice, refused);
    std::printf("%d debits ran more than once; %d were refused and have run\n", twice, refused);
    if (served < 20) {
        play.cannotRun("too few debits were served");
    }
    play.end(twice + refused > 0 ? 1 : 0);
}

// ---- stranded: streams of a software version whose last servers with the model are replaced

/// A model server of one software version. It takes orders, and its streams are resumed after `Last-Event-Id`.
struct VersionServer {
    static constexpr double Memory = 230000;
    static constexpr double Weights = 72700;
    static constexpr double LoadMs = 1200;
    static constexpr int Events = 58;
    Play &play;
    std::string id;
    std::string version;
    double eventMs = 200; ///< between two events of a stream
    std::mutex mutex;
    std::set<std::string> held;
    std::string loading;
    double loadingUntil = 0;
    std::uint64_t sequence = 0;
    std::atomic<bool> isDraining = false;
    std::atomic<bool> isGone = false;
    int overcommits = 0;
    Server server;

    VersionServer(Play &owner, std::string name, std::string softwareVersion, std::set<std::string> models)
        : play(owner)
        , id(std::move(name))
        , version(std::move(softwareVersion))
        , held(std::move(models))
        , server([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
    }
    auto settle() -> void ///< with the mutex
    {
        if (!loading.empty() && nowMs() >= loadingUntil) {
            held.insert(loading);
            play.record.line("server %s (%s): %s is loaded", id.c_str(), version.c_str(), loading.c_str());
            loading.clear();
        }
    }
    auto modelsJson() const -> Json
    {
        Json list = Json::array();
        for (const auto &model : held) {
            list.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
        }
        return list;
    }
    auto row() -> Json
    {
        const std::lock_guard lock(mutex);
        settle();
        return {{"service", "dir-llm"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "z-a"}, {"version", version}, {"slots", 64},
                {"state", isDraining ? "draining" : "ready"}, {"cold_left_ms", 0}, {"stage", "combined"}, {"models", modelsJson()}, {"born", 1700000000000}};
    }
    auto order(const Json &order) -> int
    {
        const std::lock_guard lock(mutex);
        settle();
        const auto model = order.value("model", "");
        const bool isLoad = order.value("operation", "") == "load";
        int status = 202;
        if (order.value("expected_revision", sequence) != sequence || !loading.empty()) {
            status = 409;
        } else if (isLoad == held.contains(model)) {
            status = 200;
        } else {
            ++sequence;
            if (isLoad) {
                overcommits += (static_cast<double>(held.size()) + 1) * Weights > Memory ? 1 : 0;
                loading = model;
                loadingUntil = nowMs() + LoadMs;
            } else {
                held.erase(model);
            }
        }
        play.record.line("server %s (%s): order %s %s: %d", id.c_str(), version.c_str(), isLoad ? "load" : "unload", model.c_str(), status);
        return status;
    }
    auto handle(Conn &conn, Message &request) -> bool
    {
        const auto expected = request.header("expect-instance");
        if (!expected.empty() && expected != id) {
            return conn.send(answer(421, {{"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
        }
        if (request.path() == "/healthz") {
            return conn.send(answer(isDraining ? 503 : 200, {{"Instance-Id", id}}, ""));
        }
        if (request.path() == "/report") {
            const std::lock_guard lock(mutex);
            settle();
            const Json report {{"stage", "combined"}, {"models", modelsJson()}, {"busy", !loading.empty()}, {"sequence", sequence}, {"waiting", 0}, {"running", 0},
                               {"kv_used", 0}, {"kv_total", 190000}, {"handles", 0}, {"born", 1700000000000}};
            return conn.send(answer(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        if (request.path() == "/order") {
            return conn.send(answer(order(Json::parse(request.body, nullptr, false)), {}, ""));
        }
        const auto attempt = request.header("attempt-id");
        const auto model = request.header("model");
        {
            const std::lock_guard lock(mutex);
            settle();
            if (!held.contains(model)) {
                return conn.send(answer(421, {{"Attempt-Id", attempt}, {"Instance-Id", id}, {"Not-Executed", "1"}}, ""));
            }
        }
        const int last = std::atoi(request.header("last-event-id").c_str());
        play.record.line("server %s (%s): runs %s of %s from event %d", id.c_str(), version.c_str(), attempt.c_str(), model.c_str(), last + 1);
        if (!conn.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: s." + attempt
                       + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int i = last + 1; i <= Events; ++i) {
            const auto event = "id: " + std::to_string(i) + "\ndata: " + version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (isGone || !conn.send(size + event + "\r\n")) {
                return false;
            }
            sleepMs(eventMs);
        }
        return conn.send("0\r\n\r\n");
    }
};

/// A client's attempt to read a stream, from its beginning or taken up after an event.
struct StreamAttempt {
    std::string attempt;
    std::string resumes; ///< empty: from the beginning
    std::string model;
    int number = 0; ///< names the last part of the prompt
    int lastEvent = 0;
    double untilMs = 0; ///< deadline
    double gapMs = 1e9; ///< the client leaves after this time without a byte
};

struct StreamPart {
    int status = 0;
    int lastEvent = 0;
    bool isWhole = false;
    std::set<std::string> versions;
};

auto readStream(int port, const StreamAttempt &stream) -> StreamPart
{
    StreamPart part;
    part.lastEvent = stream.lastEvent;
    const auto conn = Conn::connect(port);
    std::string text = "POST /chat/2f HTTP/1.1\r\nHost: dir.example\r\nAttempt-Id: " + stream.attempt + "\r\nModel: " + stream.model
        + "\r\nToken-Usage: 140,290\r\nPrompt-Prefix: 5c1e07a2:92," + std::to_string(5000 + stream.number) + ":48\r\nDeadline-Ms: "
        + std::to_string(static_cast<int>(std::max(stream.untilMs - nowMs(), 1.0))) + "\r\nContent-Length: 4\r\n";
    if (!stream.resumes.empty()) {
        text += "Last-Event-Id: " + std::to_string(stream.lastEvent) + "\r\nResumes: " + stream.resumes + "\r\n";
    }
    const auto limit = [&] { return std::min(stream.untilMs, nowMs() + stream.gapMs); };
    Message reply;
    if (!conn || !conn->send(text + "\r\nchat") || !conn->readHead(reply, limit())) {
        return part;
    }
    part.status = reply.status();
    std::string bytes;
    while (part.status == 200 && conn->take(1, bytes, limit())) {
        if (bytes.ends_with("\r\n0\r\n\r\n")) {
            part.isWhole = true;
            break;
        }
    }
    for (std::size_t at = 0; (at = bytes.find("id: ", at)) != std::string::npos; ++at) {
        part.lastEvent = std::atoi(bytes.c_str() + at + 4);
    }
    for (const char *version : {"v1\n", "v1.1\n"}) {
        if (bytes.find(std::string("data: ") + version) != std::string::npos) {
            part.versions.insert(version);
        }
    }
    return part;
}

auto playStranded(Play &play) -> int
{
    constexpr double DrainMs = 2000;
    constexpr int LongStreams = 24;
    constexpr int Retries = 1; // as on the sheet
    Store store;
    const Json route {{"name", "r-chat"}, {"host", "dir.example"}, {"prefix", "/chat/"}, {"route_kind", "streaming"}, {"timeout_ms", 15000}, {"goal_ms", 1500},
                      {"priority", 1}, {"service", "dir-llm"}, {"attempts", 2}, {"anonymous", false}, {"sticky", true}, {"resumable", true}, {"gap_target_ms", 400}};
    Json models = Json::array();
    for (const char *name : {"m1", "m2", "m3", "m4"}) {
        models.push_back({{"name", name}, {"weights_mb", VersionServer::Weights}, {"load_s", VersionServer::LoadMs / 1000}, {"adapters", 0}, {"adapter_mb", 66},
                          {"warm_s", 0.32}, {"disk_s", 0.44}});
    }
    const Json engine {{"slots", 64}, {"kv_capacity", 190000}, {"weights_mb", VersionServer::Memory}, {"adapter_slots", 8}, {"loads_per_s", 2.1},
                       {"host_mb", 0}, {"disk_mb", 0}, {"models", models}};
    const Json service {{"name", "dir-llm"}, {"health_path", "/healthz"}, {"max_conns", 460}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
    store.put("op", "config", Json {{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limitsJson()}}.dump());
    std::vector<std::unique_ptr<VersionServer>> servers;
    std::vector<std::unique_ptr<Beat>> beats;
    const auto addServer = [&](const char *name, const char *version, std::set<std::string> held) {
        servers.push_back(std::make_unique<VersionServer>(play, name, version, std::move(held)));
        beats.push_back(std::make_unique<Beat>(store, name, [server = servers.back().get()] { return server->row(); }));
        return servers.size() - 1;
    };
    addServer("i-1", "v1", {"m1", "m2", "m3"});
    addServer("i-2", "v1", {"m1", "m2", "m3"});
    for (const char *name : {"i-3", "i-4", "i-5"}) {
        addServer(name, "v1", {"m2", "m3", "m4"});
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char *name : {"frontend-z-a-1", "frontend-z-a-2"}) {
        gateways.push_back(std::make_unique<Gateway>(play.root, play.folder, name, "z-a", store.port(), smallBounds()));
    }
    if (!startAll(gateways, 8000)) {
        play.cannotRun("the gateways aren't ready");
    }
    std::mutex mutex;
    std::atomic<bool> isOver = false;
    std::atomic<int> whole = 0;
    std::atomic<int> takenUp = 0;
    std::atomic<int> wentOn = 0;
    std::atomic<int> begun = 0; ///< new streams after the first one was taken up
    std::atomic<int> asked = 0;
    std::atomic<int> joined = 0;
    std::atomic<int> numbers = 0;
    const auto play1 = [&](int number, const std::string &model, const std::string &attempt, const std::string &resumes, int lastEvent, double untilMs) {
        const auto port = gateways[static_cast<std::size_t>(number) % gateways.size()]->callers;
        return readStream(port, {attempt, resumes, model, number, lastEvent, untilMs});
    };
    std::vector<std::thread> clients;
    const auto follow = [&](const std::string &model) {
        const int number = ++numbers;
        clients.emplace_back([&, number, model] {
            const auto first = "att-" + std::to_string(1000 + number);
            const double untilMs = nowMs() + 15000;
            play.record.line("client: begins %s of %s", first.c_str(), model.c_str());
            auto part = play1(number, model, first, "", 0, untilMs);
            auto versions = part.versions;
            for (int again = 1; !part.isWhole && part.status == 200 && part.lastEvent > 0 && again <= Retries && nowMs() < untilMs; ++again) {
                const auto attempt = first + "-" + std::to_string(again);
                play.record.line("client: %s broke off after event %d; takes it up with %s", first.c_str(), part.lastEvent, attempt.c_str());
                ++takenUp;
                auto next = play1(number + again, model, attempt, first, part.lastEvent, untilMs);
                const bool isOn = next.status == 200 && next.lastEvent > part.lastEvent;
                wentOn += isOn ? 1 : 0;
                play.record.line("client: %s was answered %d%s", attempt.c_str(), next.status, isOn ? " and goes on" : "  <-- doesn't go on");
                versions.insert(next.versions.begin(), next.versions.end());
                part = next;
            }
            whole += part.isWhole ? 1 : 0;
            joined += versions.size() > 1 ? 1 : 0;
        });
    };
    const auto ask = [&](const std::string &model) {
        const int number = ++numbers;
        clients.emplace_back([&, number, model] {
            const bool isCounted = takenUp > 0;
            const auto attempt = "att-" + std::to_string(1000 + number);
            const auto part = play1(number, model, attempt, "", 0, nowMs() + 4000);
            if (isCounted) {
                ++asked;
                begun += part.status == 200 && part.lastEvent > 0 ? 1 : 0;
                play.record.line("client: new stream %s of %s was answered %d", attempt.c_str(), model.c_str(), part.status);
            }
        });
    };
    for (int i = 0; i < LongStreams; ++i) {
        follow("m1");
        sleepMs(40);
    }
    const double begin = nowMs();
    const auto start = [&](const char *name) {
        play.record.line("platform: %s of v1.1 starts, empty", name);
        addServer(name, "v1.1", {});
    };
    const auto drain = [&](std::size_t old) {
        play.record.line("platform: %s of v1 drains", servers[old]->id.c_str());
        servers[old]->isDraining = true;
        auto row = servers[old]->row();
        row["sequence"] = 1000;
        store.put("servers", servers[old]->id, row.dump());
    };
    const auto leave = [&](std::size_t old) {
        play.record.line("platform: %s of v1 exits", servers[old]->id.c_str());
        beats[old]->stop();
        servers[old]->isGone = true;
        servers[old]->server.stop();
        store.remove("servers", servers[old]->id);
    };
    double nextAsk = nowMs();
    std::array<bool, 6> done {};
    while (nowMs() < begin + 14000) {
        const double now = nowMs() - begin;
        if (play.hasTrouble) {
            // One server at a time: the new one starts first, the old one drains, serves for drain_ms and a little longer, and exits.
            const auto at = [&](std::size_t step, double ms) {
                const bool isDue = now > ms && !done[step];
                done[step] = done[step] || isDue;
                return isDue;
            };
            if (at(0, 500)) {
                start("i-6");
            }
            if (at(1, 2500)) {
                drain(0);
            }
            if (at(2, 3500)) {
                start("i-7");
            }
            if (at(3, 2500 + DrainMs + 500)) {
                leave(0);
            }
            if (at(4, 5500)) {
                drain(1);
            }
            if (at(5, 5500 + DrainMs + 500)) {
                leave(1);
            }
        }
        if (nowMs() > nextAsk) {
            nextAsk += 250;
            ask("m1");
            ask(numbers % 3 == 0 ? "m2" : numbers % 3 == 1 ? "m3" : "m4");
        }
        sleepMs(20);
    }
    for (auto &client : clients) {
        client.join();
    }
    const double shareOn = takenUp > 0 ? static_cast<double>(wentOn) / takenUp : 1;
    const double shareNew = asked > 0 ? static_cast<double>(begun) / asked : 1;
    play.record.line("%d long streams, %d whole; %d taken up, %d of them went on; %d of %d new streams began meanwhile; %d joined", LongStreams, whole.load(),
                     takenUp.load(), wentOn.load(), begun.load(), asked.load(), joined.load());
    std::printf("%d of %d streams that were taken up went on; %d of %d new ones began\n", wentOn.load(), takenUp.load(), begun.load(), asked.load());
    if (!play.hasTrouble && whole < LongStreams) {
        play.cannotRun("the streams aren't served in calm");
    }
    play.end(takenUp >= 12 && shareOn < shareNew / 2 ? 1 : 0);
}

// ---- thawed: streams that ended while the frontend that passed them on stood still

/// Two frontends, servers of two software versions that all hold the model. One frontend is stopped for some seconds. Its clients abandon their streams after the
/// gap that the pages give, and take them up at the other frontend.
auto playThawed(Play &play) -> int
{
    constexpr double GapMs = 4000; // eight times the longest pause of the sheet (500 ms); four times the objective is less
    constexpr double EventMs = 40; // a stream takes 2.3 s
    // FREEZE_MS and PAUSE_MS: other values for trials.
    const auto value = [](const char *name, double usual) { return std::getenv(name) == nullptr ? usual : std::atof(std::getenv(name)); };
    const double freezeMs = value("FREEZE_MS", 4250);
    const double pauseMs = value("PAUSE_MS", 500); // before the retry
    Store store;
    const Json route {{"name", "r-chat"}, {"host", "dir.example"}, {"prefix", "/chat/"}, {"route_kind", "streaming"}, {"timeout_ms", 15000}, {"goal_ms", 500},
                      {"priority", 1}, {"service", "dir-llm"}, {"attempts", 2}, {"anonymous", false}, {"sticky", true}, {"resumable", true}, {"gap_target_ms", 500}};
    const Json model {{"name", "m1"}, {"weights_mb", VersionServer::Weights}, {"load_s", VersionServer::LoadMs / 1000}, {"adapters", 0}, {"adapter_mb", 66},
                      {"warm_s", 0.32}, {"disk_s", 0.44}};
    const Json engine {{"slots", 64}, {"kv_capacity", 190000}, {"weights_mb", VersionServer::Memory}, {"adapter_slots", 8}, {"loads_per_s", 2.1},
                       {"host_mb", 0}, {"disk_mb", 0}, {"models", {model}}};
    const Json service {{"name", "dir-llm"}, {"health_path", "/healthz"}, {"max_conns", 460}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
    store.put("op", "config", Json {{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limitsJson()}}.dump());
    std::vector<std::unique_ptr<VersionServer>> servers;
    std::vector<std::unique_ptr<Beat>> beats;
    for (const auto &[name, version] : {std::pair {"i-1", "v1"}, {"i-2", "v1"}, {"i-3", "v1.1"}, {"i-4", "v1.1"}}) {
        servers.push_back(std::make_unique<VersionServer>(play, name, version, std::set<std::string> {"m1"}));
        servers.back()->eventMs = EventMs;
        beats.push_back(std::make_unique<Beat>(store, name, [server = servers.back().get()] { return server->row(); }));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char *name : {"frontend-z-a-1", "frontend-z-a-2"}) {
        gateways.push_back(std::make_unique<Gateway>(play.root, play.folder, name, "z-a", store.port(), smallBounds()));
    }
    if (!startAll(gateways, 8000)) {
        play.cannotRun("the gateways aren't ready");
    }
    std::atomic<int> takenUp = 0;
    std::atomic<int> wentOn = 0;
    std::atomic<int> begun = 0; ///< new streams after the first one was taken up
    std::atomic<int> asked = 0;
    std::atomic<int> notWhole = 0;
    std::atomic<int> joined = 0;
    std::vector<std::thread> clients;
    int numbers = 0;
    const double begin = nowMs();
    const auto follow = [&](std::size_t gateway) {
        const int number = ++numbers;
        clients.emplace_back([&, number, gateway] {
            const auto first = "att-" + std::to_string(1000 + number);
            const double untilMs = nowMs() + 15000;
            const bool isCounted = takenUp > 0;
            auto part = readStream(gateways[gateway]->callers, {first, "", "m1", number, 0, untilMs, GapMs});
            if (isCounted) {
                ++asked;
                begun += part.status == 200 && part.lastEvent > 0 ? 1 : 0;
            }
            if (!part.isWhole && part.lastEvent > 0) {
                play.record.line("client: abandons %s after event %d", first.c_str(), part.lastEvent);
                sleepMs(pauseMs);
                ++takenUp;
                const auto next
                    = readStream(gateways[1 - gateway]->callers, {first + "-1", first, "m1", number, part.lastEvent, untilMs, GapMs});
                const bool isOn = next.status == 200 && (next.isWhole || next.lastEvent > part.lastEvent);
                wentOn += isOn ? 1 : 0;
                play.record.line("client: %s-1 takes it up and is answered %d%s", first.c_str(), next.status, isOn ? " and goes on" : "  <-- doesn't go on");
                auto versions = part.versions;
                versions.insert(next.versions.begin(), next.versions.end());
                joined += versions.size() > 1 ? 1 : 0;
                part = next;
            }
            notWhole += part.isWhole ? 0 : 1;
        });
    };
    double frozenAt = 0;
    double thawedAt = 0;
    double nextAt = nowMs();
    while (nowMs() < begin + 12000) {
        if (play.hasTrouble && frozenAt == 0 && nowMs() > begin + 4000) {
            frozenAt = nowMs();
            gateways[0]->signal(SIGSTOP);
            play.record.line("frontend-z-a-1 is stopped at %.0f ms", frozenAt - begin);
        }
        if (frozenAt > 0 && thawedAt == 0 && nowMs() > frozenAt + freezeMs) {
            thawedAt = nowMs();
            gateways[0]->signal(SIGCONT);
            play.record.line("frontend-z-a-1 goes on at %.0f ms", thawedAt - begin);
        }
        if (nowMs() > nextAt) {
            nextAt += 100;
            if (frozenAt == 0) {
                follow(0);
            }
            follow(1);
        }
        sleepMs(10);
    }
    for (auto &client : clients) {
        client.join();
    }
    const double shareOn = takenUp > 0 ? static_cast<double>(wentOn) / takenUp : 1;
    const double shareNew = asked > 0 ? static_cast<double>(begun) / asked : 1;
    play.record.line("%d streams, %d not whole; %d taken up, %d of them went on; %d of %d new streams began meanwhile; %d joined", numbers, notWhole.load(),
                     takenUp.load(), wentOn.load(), begun.load(), asked.load(), joined.load());
    std::printf("%d of %d streams that were taken up went on; %d of %d new ones began\n", wentOn.load(), takenUp.load(), begun.load(), asked.load());
    if (!play.hasTrouble && notWhole > 0) {
        play.cannotRun("the streams aren't served in calm");
    }
    play.end(takenUp >= 12 && shareOn < shareNew / 2 ? 1 : 0);
}

} // namespace rig

auto main(int argc, char **argv) -> int
{
    using namespace rig;
    if (argc != 4) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    startedAt();
    char folder[] = "/tmp/review-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    Play play {argv[2], Record(argv[3]), trouble == nullptr || std::string(trouble) != "0", folder};
    const std::map<std::string, std::function<int(Play &)>> cases {{"refused", &playRefused}, {"late-load", &playLateLoad}, {"endless", &playEndless}, {"stray-order", &playStrayOrder}, {"stray-check", &playStrayCheck}, {"stranded", &playStranded}, {"thawed", &playThawed}};
    const auto found = cases.find(argv[1]);
    if (found == cases.end()) {
        play.cannotRun("no such case");
    }
    return found->second(play);
}
