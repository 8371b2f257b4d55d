// A small deployment of real processes for a test: the stand-ins of the users' platform in one, and gateways, which reach the store through
// the fault proxy (links "store:gw-1", ...).
//
// Index of sections (search for [SECTION]):
//   Options   size
//   Reply     a caller's call and its answer
//   Site      the processes
#pragma once

#include "net/eventloop.h"
#include "net/httppool.h"
#include "tests/harness_process.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace KingCup
{

using Json = nlohmann::json;

// [SECTION] Options

struct SiteOptions {
    int gateways = 2;
    int runners = 3;
    int instances = 2;
    int models = 3;
    int revocationMillis = 0; ///< within which a revoked key is out of force; 0: no limit
    bool unreadLog = false; ///< the gateways' output is a pipe, which nobody reads until readLog()
};

// [SECTION] Reply

/// One call and what has come back so far.
struct Reply {
    bool done = false;
    CallEnd end = CallEnd::Broken;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::shared_ptr<PooledHandle> handle;

    auto header(const std::string &name) const -> std::string; ///< in any case; empty if absent
    auto events() const -> std::vector<std::string>; ///< of a stream: the data of each whole event
    auto isWhole() const -> bool; ///< a success, to its end
};
using ReplyPtr = std::shared_ptr<Reply>;

struct RequestOptions {
    std::string path = "/read/x";
    std::string method = "GET";
    std::string attempt; ///< empty: a fresh one
    std::string model; ///< "m1" or "m1/a2"; empty: none
    int events = 3; ///< of a stream
    int timeBudgetMillis = 3000;
    std::string body;
    std::string host = "site.example";
    HttpHeaders headers; ///< more
};

// [SECTION] Site

class Site
{
public:
    /// Starts all processes and waits until every gateway is ready. Ends them when it goes; prints the last lines of their logs if a test
    /// is failing then.
    explicit Site(SiteOptions options = {});
    ~Site();
    Site(const Site &) = delete;
    auto operator=(const Site &) -> Site & = delete;

    auto loop() -> EventLoop &;
    /// Runs the loop until `condition` holds; fails the test, naming `what`, if it doesn't within `limit`.
    auto waitFor(const std::string &what, const std::function<bool()> &condition, Duration limit = Duration::seconds(15)) -> void;
    auto sleep(Duration span) -> void;

    // Processes: "fakes", "gw-1", ...
    auto process(const std::string &id) -> ChildProcess &;
    auto start(const std::string &id) -> void;
    auto waitForExit(const std::string &id, Duration limit = Duration::seconds(20)) -> int;
    auto settingsFile(const std::string &id) const -> std::string;
    /// What a gateway's unread output holds now; more may follow.
    auto readLog(const std::string &id) -> std::string;

    // Callers. Gateways count from 1.
    auto port(int gateway) const -> int;
    auto isReady(int gateway) -> bool;
    auto begin(int gateway, const RequestOptions &request) -> ReplyPtr;
    auto call(int gateway, const RequestOptions &request) -> ReplyPtr; ///< and waits for its end
    auto stream(int gateway, const std::string &model, int events = 3) -> ReplyPtr; ///< of a chat, whole
    auto freshAttempt() -> std::string;

    // The stand-ins.
    auto platform(const Json &command) -> void; ///< see fakes/platformsite.h
    auto link(const std::string &name, const std::string &mode) -> void; ///< a fault of a link, or "heal"
    auto truth() -> Json;
    auto runsOf(const std::string &attempt) -> int;
    auto accountOf(const std::string &attempt) -> std::string; ///< that the targets were given; empty: none

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
