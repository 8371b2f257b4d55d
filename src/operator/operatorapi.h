// Between an entry and its operators' module: what operators ask, in core types. No gRPC here, so that an entry is built
// without it and an agent never carries it.
//
// The module serves gRPC on threads of its own. It calls the hooks only on the entry's event loop (through `post`), and
// takes their answers from there.
//
// Index of sections (search for [SECTION]):
//   Changes   applying a set of declarations
//   Status    what is in force, where, and with which copies
//   Hooks     what the entry gives the module
//   Server    what the module gives the entry
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

/// A whole set, made against the revision that its author saw.
struct DeclarationsChange {
    ChangeId id; ///< asking again with the same id never applies it twice
    Revision expected; ///< 0: there is no set yet
    Declarations set;
    std::string author;
};

enum class ChangeOutcome {
    Accepted,
    Unchanged, ///< the set is already in force
    Refused, ///< the findings say why
    Conflict, ///< another revision came first
    Unknown, ///< the store didn't answer; ask again with the same id
    Unavailable, ///< the store could not be asked: this call has certainly changed nothing
};

struct ChangeAnswer {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    Revision revision; ///< accepted: its own; conflict: the one that beat it; otherwise the newest known
    Findings findings;
    std::string message; ///< one sentence, may be empty
};

/// The newest set that an entry has adopted.
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
    Revision revision; ///< in force there
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
    Revision inForce; ///< lowest among live processes
    std::string laggard; ///< who is behind, if any
    std::vector<ProcessStatus> processes;
    std::vector<ArtifactStatus> artifacts;
    bool storeReachable = false;
    RowVersion planVersion;
};

/// One of the recent decisions.
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

/// Called on the entry's loop, except `post`, which any thread may call.
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
    TlsFiles tls; ///< both sides verified; empty: plain
    Duration watchPeriod = Duration::millis(250); ///< between looks at the status for a watching operator
};

class OperatorServer
{
public:
    virtual ~OperatorServer() = default;
    virtual auto port() const -> int = 0;
    /// Ends every open call and stops serving. No hook is called once this has returned; tasks that were posted do nothing.
    virtual auto shutdown() -> void = 0;
};

/// The module's factory, found by this name: null, with `error` filled, if it can't listen.
using CreateOperatorServer = OperatorServer *(*)(const OperatorOptions &options, const OperatorHooks &hooks, std::string &error);
constexpr auto CreateOperatorServerName = "kingcupCreateOperatorServer";

} // namespace KingCup

extern "C" auto kingcupCreateOperatorServer(const KingCup::OperatorOptions &options, const KingCup::OperatorHooks &hooks, std::string &error)
    -> KingCup::OperatorServer *;
