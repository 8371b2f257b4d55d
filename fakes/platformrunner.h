// Fake runner of the users' platform: a model runner that accepts orders, or an instance of a plain service. It records what it ran as the ground
// truth for tests, and misbehaves on command.
#pragma once

#include "answerform.h"
#include "answers.h"
#include "platformstore.h"
#include "platformwire.h"
#include "simclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCup
{

struct PlatformModel {
    std::string name;
    double weightsMegabytes = 70000;
    Duration loadTime = Duration::millis(300);
    int adapters = 0;
};

struct PlatformRunnerSettings {
    std::string id;
    std::string service;
    std::string zone = "north";
    int slots = 8;
    int port = 0;
    bool isRunner = true; ///< a model runner; otherwise an instance of a plain service
    double memoryMegabytes = 150000;
    int adapterSlots = 2;
    std::vector<PlatformModel> models; ///< all that are declared
    std::vector<std::string> initialModels; ///< loaded when the process starts
    Duration workTime = Duration::millis(20); ///< duration of a plain request, and time until the first event of a stream
    Duration eventTime = Duration::millis(10); ///< between events
    Duration heartbeatPeriod = Duration::millis(200); ///< between heartbeats; a heartbeat writes the row if it has changed
    Duration rowTimeout = Duration::millis(600); ///< time without a heartbeat until its row is removed
};

class PlatformRunner
{
public:
    PlatformRunner(SimClock &clock, PlatformStore &store, PlatformRunnerSettings settings);

    auto id() const -> const std::string &;
    auto port() const -> int;
    auto truth() const -> Json;
    /// {"mode":"crash","downMs":N,"sameId":B,"silent":B}, "drain", "leave" (its row is removed, it goes on serving), "return", "dark", "errors", "reset",
    /// "truncate", "extra", "stray", "unframed", "lose-answers", "late-orders", "well"; {"mode":"crash-on","body":TEXT,"parts":[ID,...]} with the options of
    /// "crash": a request with this body, or with one of these parts in its prompt and not as the last one, crashes the runner "afterMs" (0) after it has
    /// begun to run it, with "afterHead":true after the head of the answer; {"mode":"request-limit","perSecond":TEXT}
    /// announces a limit in all answers from now on, or none if TEXT is empty, with "onlyRuns":true not in rejections; {"mode":"reject","retryAfter":TEXT}
    /// rejects all requests and reports; "touch" rewrites the row; "announce-leaving" says in all answers of this start that the runner leaves, while its row
    /// says nothing of it. {"mode":"answer-as",...} answers runs in the form of AnswerForm (answerform.h), until "well". {"mode":"work-time","ms":N} sets the
    /// time that a run takes. {"mode":"version","version":V} states the software version V in the row from now on, none if V is empty; "crash" takes a
    /// "version" too, that of the next start, and "keepsModels".
    /// {"mode":"answer-bytes","bytes":N} pads plain answers to N bytes. False if the mode is unknown.
    auto command(const Json &command) -> bool;

private:
    struct LoadedModel {
        std::set<std::string> adapters;
    };
    struct Order {
        bool isLoad = true;
        std::string model;
        std::string adapter;
        std::uint64_t expectedCount = 0;
    };
    auto handle(const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) -> void;
    auto run(const RawConnectionPtr &connection, const HttpHead &head, const std::string &body) -> void;
    auto runPlain(const RawConnectionPtr &connection, const std::string &attempt) -> void;
    auto runStream(const RawConnectionPtr &connection, const HttpHead &head, const std::string &attempt) -> void;
    auto sendEvent(const RawConnectionPtr &connection, const std::string &attempt, int number, int last) -> void;
    auto eventText(const std::string &attempt, int number) const -> std::string;
    auto finish(const RawConnectionPtr &connection, const std::string &attempt, int status, const std::string &body) -> void;
    /// Adds an event with its time: "start", "request", "answered", "rejected" (with the attempt), "limit", "leaving".
    auto record(const char *what, Json details = Json::object()) -> void;
    auto announcements() const -> HttpHeaders; ///< headers of every answer that say something about the runner itself
    auto refuse(const RawConnectionPtr &connection, const std::string &attempt, int status) -> void;
    auto receiveOrder(const RawConnectionPtr &connection, const std::string &body) -> void;
    auto applyOrder(const Order &order) -> int;
    auto report() const -> Json;
    auto models() const -> Json;
    auto heartbeat() -> void;
    auto start() -> void;
    struct Crash {
        Duration down;
        bool keepsId = false; ///< starts again under the same id
        bool isSilent = false; ///< connections stay open, without an answer
        bool isAfterHead = false; ///< the head of the answer is sent first
        Duration delay; ///< from the begin of the run that causes it
        std::optional<std::string> softwareVersion; ///< of the next start
        bool keepsModels = false; ///< the next start holds what this one held
    };
    /// Requests that crash the runner: moments in milliseconds of the site's clock.
    struct DeadlyRuns {
        std::vector<std::int64_t> arrivals; ///< they reached the runner, rejected ones included
        std::vector<std::int64_t> crashes; ///< one of them crashed the runner
        std::vector<std::int64_t> ends; ///< their runs ended in a crash: one for each that was in flight
        int inFlight = 0;
    };
    static auto crashOf(const Json &command) -> Crash;
    auto crash(const Crash &how) -> void;
    auto deadlyKey(const HttpHead &head, const std::string &body) const -> std::string;
    auto runDeadly(const RawConnectionPtr &connection, const std::string &attempt, const std::string &key) -> void;
    auto usedMegabytes() const -> double;
    auto usedAdapterSlots() const -> std::size_t;

    SimClock &m_clock;
    PlatformStore &m_store;
    PlatformRunnerSettings m_settings;
    RawServer m_server;
    std::string m_id; ///< instance id of the present start
    std::uint64_t m_startedAtMillis = 0;
    int m_starts = 0;
    std::uint64_t m_epoch = 0; ///< incremented by crash, restart, drain and return; timers of an earlier epoch do nothing
    bool m_up = true;
    bool m_draining = false;
    bool m_listed = true;
    std::string m_mode = "well";
    std::string m_requestLimit; ///< announced in every answer of this start; empty: none
    std::size_t m_answerBytes = 0; ///< least length of plain answers
    bool m_limitsOnlyInRuns = false; ///< rejections don't announce the limit
    std::string m_retryAfter; ///< in mode "reject"; empty: not given
    AnswerForm m_answerForm; ///< in mode "answer-as"
    std::string m_softwareVersion = "v1"; ///< stated in the row; empty: not stated
    std::map<std::string, std::vector<std::string>> m_versionsByAttempt; ///< software versions at which attempts ran
    int m_touches = 0; ///< counted in the row
    bool m_announcesLeaving = false;
    std::string m_crashBody; ///< a request with this body crashes the runner
    std::set<std::string> m_crashParts; ///< so does one with such a part in its prompt, but for the last one
    Crash m_crashOnBody; ///< how
    std::map<std::string, LoadedModel> m_loadedModels;
    bool m_busy = false;
    std::uint64_t m_acceptedOrders = 0;
    int m_running = 0;
    std::string m_lastRow;
    Duration m_lastHeartbeat;

    // Ground truth, reported by truth().
    Json m_events = Json::array(); ///< what concerns the runner's own announcements, see record()
    std::vector<std::int64_t> m_arrivals; ///< milliseconds of the site's clock at which requests arrived, rejected ones included
    std::map<std::string, int> m_runs; ///< by attempt, over all starts
    std::map<std::string, DeadlyRuns> m_deadly; ///< by deadly part of the prompt, or "body"
    std::map<std::string, std::string> m_bodies; ///< by attempt
    std::map<std::string, std::string> m_accounts; ///< by attempt: the accounts named in the request's headers, joined by commas
    std::uint64_t m_keysSeen = 0; ///< requests that carried a client's key (Authorization header)
    std::uint64_t m_overcommits = 0; ///< orders to load beyond the free memory or adapter slots
    std::uint64_t m_cancelled = 0; ///< runs whose caller closed the connection
    std::map<std::string, std::string> m_fenceByHolder; ///< fencing token of the last order, by lease holder
    std::vector<std::int64_t> m_orderArrivals; ///< milliseconds of the site's clock
    std::vector<std::string> m_orderLog;
    int m_maxConnections = 0;
};

} // namespace KingCup
