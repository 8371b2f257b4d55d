// A small deployment of real processes for system tests: one process with the fakes of the users' platform, and gateways that reach the fake store
// through a fault proxy (links "store:gw-1", ...).
//
// Index of sections (search for [SECTION]):
//   Options   size of the deployment
//   Reply     a caller's request and its answer
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
    int revocationMillis = 0; ///< time limit within which a revoked key must stop working; 0: no limit
    bool slotPermits = false; ///< requests whose targets are all full wait at arbiters, if accounts have token limits
    int memoryMegabytes = 0; ///< that each gateway may use; 0: the default
    int maxDescriptors = 0; ///< limit on open files of each gateway; 0: that of the test
    bool unreadLog = false; ///< the gateways' output is a pipe that is read only by readLog()
};

// [SECTION] Reply

/// The answer received so far, and the handle of its call.
struct Reply {
    bool done = false;
    CallEnd end = CallEnd::Broken;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::shared_ptr<PooledHandle> handle;

    auto header(const std::string &name) const -> std::string; ///< the name is case-insensitive; empty if absent
    auto events() const -> std::vector<std::string>; ///< the data of each complete event of a stream
    auto isWhole() const -> bool; ///< status 200, received completely
};
using ReplyPtr = std::shared_ptr<Reply>;

/// A request to a gateway.
struct RequestOptions {
    std::string path = "/read/x";
    std::string method = "GET";
    std::string attempt; ///< empty: a new one is made
    std::string model; ///< "m1" or "m1/a2"; empty: none
    int events = 3; ///< number of events of a stream
    int timeBudgetMillis = 3000;
    std::string prompt = "ab:60,cd:40"; ///< the prompt's parts
    std::string body;
    std::string host = "site.example";
    HttpHeaders headers; ///< additional ones
    bool isNewConnection = false; ///< no idle connection is reused
};

// [SECTION] Site

class Site
{
public:
    /// Starts all processes and waits until every gateway is ready. The destructor ends them, and prints the last lines of their logs if the test
    /// has failed.
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
    /// Reads what the pipe of a gateway's output holds now (SiteOptions::unreadLog); more may follow.
    auto readLog(const std::string &id) -> std::string;

    // Callers. Gateways are numbered from 1.
    auto port(int gateway) const -> int;
    auto isReady(int gateway) -> bool;
    auto begin(int gateway, const RequestOptions &request) -> ReplyPtr;
    auto call(int gateway, const RequestOptions &request) -> ReplyPtr; ///< begin(), and waits for the end
    auto stream(int gateway, const std::string &model, int events = 3) -> ReplyPtr; ///< calls for a chat stream and waits for its end
    auto freshAttempt() -> std::string;

    // Fakes.
    auto platform(const Json &command) -> void; ///< a command to the fake platform, see fakes/platformsite.h
    auto link(const std::string &name, const std::string &mode) -> void; ///< injects a fault into a link of the proxy; "heal" ends it
    auto truth() -> Json; ///< the fake platform's whole state
    auto runsOf(const std::string &attempt) -> int; ///< how many times targets ran the request
    auto accountOf(const std::string &attempt) -> std::string; ///< the account that the targets were given; empty: none

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
