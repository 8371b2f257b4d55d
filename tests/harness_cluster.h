// A whole system of real processes for a test: the stand-ins, entries and agents, connected through the fault proxy.
//
// Links by name: "table" and "hosts" (from all entries and agents), "peer:AGENT" (entries to an agent), "peer:ENTRY" (others to an entry),
// and, where the options say so, "target:AGENT" (an agent to its engine or plain service).
//
// Index of sections (search for [SECTION]):
//   Options   size and shape
//   Call      a caller's call and its answer
//   Cluster   the processes
#pragma once

#include "net/eventloop.h"
#include "net/http.h"
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

struct ClusterOptions {
    int entries = 2;
    int runners = 3;
    int ledgers = 2; ///< instances of the plain service "ledger"
    std::string fencing = "checked"; ///< of the engines: "checked", "ignored" or "alternate"
    std::string models; ///< INI text of models, versions and adapters; empty: "sun" (sun@1), "moon" (moon@1) and the adapter "tan" on sun@1
    bool proxiesTargets = false; ///< through the proxy a crashed engine looks like a broken connection, not like a closed port
    std::vector<std::string> fakes; ///< more arguments of kingcup-fakes
    std::string settings; ///< more INI text for every entry and agent
};

// [SECTION] Call

/// One call and what has come back so far.
struct CallRecord {
    bool done = false;
    CallEnd end = CallEnd::Broken;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::shared_ptr<HttpCallHandle> handle;

    auto outcome() const -> std::string; ///< delivered, not-run or unknown, from the header; for streams from their end
    auto json() const -> Json; ///< of the body
    auto events() const -> std::vector<std::string>; ///< of a stream: the data of each whole event
    auto text() const -> std::string; ///< of a completion, streamed or not: all tokens
    auto isWholeStream() const -> bool; ///< complete, with its end mark
};
using CallPtr = std::shared_ptr<CallRecord>;

/// What a whole completion of this prompt reads (see fakes/README.md).
auto expectedText(const std::string &artifact, const std::string &prompt, int tokens) -> std::string;

// [SECTION] Cluster

class Cluster
{
public:
    /// Starts all processes. Ends them when it goes; prints the last lines of their logs if a test is failing then.
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();
    Cluster(const Cluster &) = delete;
    auto operator=(const Cluster &) -> Cluster & = delete;

    /// Applies the declarations with kingcupctl, then waits until every model and the ledger answers through every entry.
    auto bringUp() -> void;

    auto loop() -> EventLoop &;
    /// Runs the loop until `condition` holds; fails the test, naming `what`, if it doesn't within `limit`.
    auto waitFor(const std::string &what, const std::function<bool()> &condition, Duration limit = Duration::seconds(30)) -> void;
    auto sleep(Duration span) -> void;

    // Processes, by id: "fakes", "entry-1", "runner-1", "ledger-1", ...
    auto ids(const std::string &prefix) const -> std::vector<std::string>;
    auto process(const std::string &id) -> ChildProcess &;
    auto kill(const std::string &id) -> void; ///< SIGKILL, and waits for the end
    auto start(const std::string &id) -> void; ///< (again), with the same settings
    auto stop(const std::string &id) -> void; ///< SIGSTOP
    auto resume(const std::string &id) -> void; ///< SIGCONT
    auto terminate(const std::string &id) -> void; ///< SIGTERM
    auto waitForExit(const std::string &id, Duration limit = Duration::seconds(40)) -> int;
    auto ctl(const std::vector<std::string> &arguments, Duration limit = Duration::seconds(40)) -> int; ///< kingcupctl's exit code
    auto ctlOutput() const -> const std::string &; ///< of the last ctl()
    auto writeDeclarations(const std::string &text) -> std::string; ///< to the folder that bringUp() applies; returns the folder
    auto declarations() const -> std::string; ///< as bringUp() applies them

    // The callers' side. Entries count from 1.
    auto callersPort(int entry) const -> int;
    auto operatorsPort(int entry) const -> int;
    auto peersPort(const std::string &id) const -> int; ///< the process's own, not through the proxy
    auto begin(int entry, HttpCall call) -> CallPtr; ///< starts a call
    auto call(int entry, HttpCall call) -> CallPtr; ///< and waits for its end
    auto complete(int entry, const std::string &model, const std::string &prompt, int tokens, bool streamed = true, const HttpHeaders &headers = {}) -> CallPtr;
    auto beginCompletion(int entry, const std::string &model, const std::string &prompt, int tokens, bool streamed = true, const HttpHeaders &headers = {})
        -> CallPtr;
    auto beginDebit(int entry, const std::string &key, const std::string &account, int minutes, const std::string &query = "") -> CallPtr;
    auto debit(int entry, const std::string &key, const std::string &account, int minutes, const std::string &query = "") -> CallPtr;

    // The stand-ins.
    auto fault(const Json &command) -> void;
    auto heal() -> void; ///< table, hosts and every link
    auto truth() -> Json;
    auto executions(const std::string &key) -> int; ///< of the ledger
    auto setHost(const std::string &id, const std::string &state) -> void; ///< in the host list
    auto admin(const std::string &method, const std::string &path, const Json &body = nullptr) -> Json;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

/// Fails the test if any promise that holds at every moment was broken: memory never overcommitted, nothing run twice.
auto checkInvariants(Cluster &cluster) -> void;

} // namespace KingCup
