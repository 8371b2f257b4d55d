// Interface between an entry and the operators' module, a shared library with the gRPC server for operators that the entry loads at run time.
// The interface uses core types and no gRPC, so that entries and agents are built without gRPC; only the module links it.
//
// The module serves gRPC on its own threads. It calls the hooks on the entry's event loop only (through `post`), and receives
// their answers there.
//
// Index of sections (search for [SECTION]):
//   Changes   applying a set of declarations
//   Status    processes, the revisions in force there, replicas, recent decisions
//   Hooks     functions that the entry provides to the module
//   Server    the server that the module provides to the entry
#pragma once

#include "core/declarations.h"
#include "core/endpoint.h"
#include "core/finding.h"
#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Changes

/// Replaces the whole set of declarations, on the condition that `expected` is still the newest revision.
struct DeclarationsChange {
    ChangeId id; ///< a repeated request with the same id isn't applied again
    Revision expected; ///< the revision that the author's set is based on; 0: there is no set yet
    Declarations set;
    std::string author;
};

enum class ChangeOutcome {
    Accepted,
    Unchanged, ///< the set is already in force
    Refused, ///< the findings say why
    Conflict, ///< `expected` isn't the newest revision
    Unknown, ///< the store didn't answer: the change may have been applied; repeat the request with the same id
    Unavailable, ///< the store couldn't be reached: this request has changed nothing
};

struct ChangeAnswer {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    Revision revision; ///< Accepted: that of the new set; Conflict: the revision that was accepted instead; otherwise the newest known revision
    Findings findings;
    std::string message; ///< one sentence, may be empty
};

/// The newest set of declarations that an entry has adopted.
struct AdoptedDeclarations {
    Revision revision;
    Declarations set;
};

// [SECTION] Status

struct ProcessStatus {
    std::string id;
    std::string role; ///< "entry" or "agent"
    ZoneName zone;
    std::string state; ///< "live", "leaving", "suspect", ...
    Revision revision; ///< in force in this process
    Bytes memoryTotal;
    Bytes memoryCharged;
    int running = 0;
    int queued = 0;
    std::vector<ArtifactName> residents;
};

struct ArtifactStatus {
    ArtifactName artifact;
    int copies = 0;
    int zones = 0;
    double demandPerSecond = 0;
};

struct SystemStatus {
    Revision revision; ///< newest accepted
    Revision inForce; ///< lowest revision among live processes
    std::string laggard; ///< the process with the lowest revision; empty if none is behind this entry
    std::vector<ProcessStatus> processes;
    std::vector<ArtifactStatus> artifacts;
    bool storeReachable = false;
    RowVersion planVersion;
};

/// A recent decision of the entry, for `kingcupctl explain`.
struct RecentDecision {
    Duration age;
    std::string part; ///< "routing", "placement", ...
    std::string subject; ///< request id, artifact or target
    std::string text;
};

struct DrainAnswer {
    bool isAccepted = false;
    std::string message;
};

// [SECTION] Hooks

/// Called on the entry's event loop, except for `post`, which any thread may call.
struct OperatorHooks {
    std::function<void(std::function<void()> task)> post;
    std::function<void(const DeclarationsChange &change, std::function<void(const ChangeAnswer &)> answer)> apply;
    std::function<AdoptedDeclarations()> declarations;
    std::function<SystemStatus()> status;
    std::function<void(const TargetId &target, bool undo, std::function<void(const DrainAnswer &)> answer)> drain;
    std::function<std::vector<RecentDecision>(const std::string &subject)> explain; ///< newest first
};

// [SECTION] Server

struct OperatorOptions {
    Endpoint listen; ///< port 0 lets the system choose
    TlsFiles tls; ///< mutual TLS; empty: no TLS
    Duration watchPeriod = Duration::millis(250); ///< interval at which a watch call polls the status
};

class OperatorServer
{
public:
    virtual ~OperatorServer() = default;
    virtual auto port() const -> int = 0;
    /// Ends all open calls and stops the server. Once it has returned no hook is called; tasks that are still posted do nothing.
    virtual auto shutdown() -> void = 0;
};

/// The module's factory, which the entry looks up by this name. Returns null and sets `error` if the server can't listen.
using CreateOperatorServer = OperatorServer *(*)(const OperatorOptions &options, const OperatorHooks &hooks, std::string &error);
constexpr auto CreateOperatorServerName = "kingcupCreateOperatorServer";

} // namespace KingCup

extern "C" auto kingcupCreateOperatorServer(const KingCup::OperatorOptions &options, const KingCup::OperatorHooks &hooks, std::string &error)
    -> KingCup::OperatorServer *;
