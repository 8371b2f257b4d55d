// Starts a complete system of real processes for a test: the fakes (kingcup-fakes: table, host list, object store, engines, plain services),
// entries and agents, connected through the fault proxy of the fakes.
//
// Names of the proxy's links: "table" and "hosts" (from all entries and agents), "peer:AGENT" (from entries to an agent),
// "peer:ENTRY" (from other processes to an entry) and, with ClusterOptions::proxiesTargets, "target:AGENT" (from an agent to its engine or plain service).
//
// Index of sections (search for [SECTION]):
//   Options   number and kind of processes
//   Call      a caller's call and its answer
//   Cluster   the running processes
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
    std::string fencing = "checked"; ///< whether the engines check fencing tokens: "checked", "ignored" or "alternate"
    std::string models; ///< INI text of models, versions and adapters; empty: "sun" (sun@1), "moon" (moon@1) and the adapter "tan" on sun@1
    bool proxiesTargets = false; ///< agents reach their targets through the proxy: a crashed engine then looks like a broken connection, not like a closed port
    std::vector<std::string> fakes; ///< additional arguments of kingcup-fakes; they replace defaults of the same name
    std::string settings; ///< additional INI text for the settings of every entry and agent
    int maxDescriptors = 0; ///< limit on open files of each entry and agent; 0: that of the test
    /// Gets the port of an agent's target and returns the one that the agent calls instead; not set: the agent calls its target.
    std::function<int(const std::string &agent, int targetPort)> standIn;
};

// [SECTION] Call

/// One call and the part of its answer that has been received so far.
struct CallRecord {
    bool done = false;
    CallEnd end = CallEnd::Broken;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::shared_ptr<HttpCallHandle> handle;

    auto outcome() const -> std::string; ///< "delivered", "not-run" or "unknown": from the header, or for streams from the last event
    auto json() const -> Json; ///< the parsed body
    auto events() const -> std::vector<std::string>; ///< of a stream: the data of each complete event
    auto text() const -> std::string; ///< all tokens of a completion, streamed or not
    auto isWholeStream() const -> bool; ///< ended normally, with "[DONE]" as the last event
};
using CallPtr = std::shared_ptr<CallRecord>;

/// The complete text that the fake engines generate for a prompt (see fakes/README.md).
auto expectedText(const std::string &artifact, const std::string &prompt, int tokens) -> std::string;

// [SECTION] Cluster

class Cluster
{
public:
    /// Starts all processes. The destructor kills them, and prints the last lines of their logs if the test has failed.
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();
    Cluster(const Cluster &) = delete;
    auto operator=(const Cluster &) -> Cluster & = delete;

    /// Applies the declarations with kingcupctl, then waits until every model and the ledger answer through every entry.
    auto bringUp() -> void;

    auto loop() -> EventLoop &;
    /// Runs the loop until `condition` holds. Fails the test with `what` in the message if it doesn't hold within `limit`.
    auto waitFor(const std::string &what, const std::function<bool()> &condition, Duration limit = Duration::seconds(30)) -> void;
    auto sleep(Duration span) -> void;

    // Processes, by id: "fakes", "entry-1", "runner-1", "ledger-1", ...
    auto ids(const std::string &prefix) const -> std::vector<std::string>;
    auto process(const std::string &id) -> ChildProcess &;
    auto kill(const std::string &id) -> void; ///< sends SIGKILL and waits until the process has ended
    auto start(const std::string &id) -> void; ///< starts it, or starts it again, with the same settings
    auto stop(const std::string &id) -> void; ///< SIGSTOP
    auto resume(const std::string &id) -> void; ///< SIGCONT
    auto terminate(const std::string &id) -> void; ///< SIGTERM
    auto waitForExit(const std::string &id, Duration limit = Duration::seconds(40)) -> int;
    auto ctl(const std::vector<std::string> &arguments, Duration limit = Duration::seconds(40)) -> int; ///< runs kingcupctl; returns its exit code
    auto ctlOutput() const -> const std::string &; ///< output of the last ctl()
    auto writeDeclarations(const std::string &text) -> std::string; ///< writes into the folder that bringUp() applies; returns the folder
    auto declarations() const -> std::string; ///< the text that bringUp() applies

    // Ports of the processes, and calls to the entries, which are numbered from 1. begin(), beginCompletion() and beginDebit() only start a call;
    // call(), complete() and debit() also wait for its end.
    auto callersPort(int entry) const -> int;
    auto operatorsPort(int entry) const -> int;
    auto peersPort(const std::string &id) const -> int; ///< the port on which the process listens, not the proxy's
    auto begin(int entry, HttpCall call) -> CallPtr;
    auto call(int entry, HttpCall call) -> CallPtr;
    auto complete(int entry, const std::string &model, const std::string &prompt, int tokens, bool streamed = true, const HttpHeaders &headers = {}) -> CallPtr;
    auto beginCompletion(int entry, const std::string &model, const std::string &prompt, int tokens, bool streamed = true, const HttpHeaders &headers = {})
        -> CallPtr;
    auto beginDebit(int entry, const std::string &key, const std::string &account, int minutes, const std::string &query = "") -> CallPtr;
    auto debit(int entry, const std::string &key, const std::string &account, int minutes, const std::string &query = "") -> CallPtr;

    // Control of the fakes.
    auto fault(const Json &command) -> void; ///< injects the fault that `command` describes (see fakes/README.md)
    auto heal() -> void; ///< ends the faults of the table, the host list and every link
    auto truth() -> Json; ///< state and counts of the fakes, which don't depend on what the system reports
    auto executions(const std::string &key) -> int; ///< how often the ledger has run the request with this key
    auto setHost(const std::string &id, const std::string &state) -> void; ///< sets the state of a process in the host list
    auto admin(const std::string &method, const std::string &path, const Json &body = nullptr) -> Json; ///< calls the admin port of the fakes

    struct Private;

private:
    std::unique_ptr<Private> d;
};

/// Fails the test if an invariant was ever violated: no engine's memory is overcommitted, and no idempotency key runs twice.
auto checkInvariants(Cluster &cluster) -> void;

} // namespace KingCup
