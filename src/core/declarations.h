// What operators declare: services, models with versions and adapters, targets and the policy. Plain data; validated as a whole.
//
// Index of sections (search for [SECTION]):
//   Priority       priority classes of requests
//   Services       services that callers address, and which of their calls are non-idempotent
//   Artifacts      models, versions and adapters: what is loaded into accelerator memory
//   Targets        back ends, and whether their engines check fencing numbers
//   Policies       parameters of placement and loading
//   Declarations   the whole set, as one revision holds it
#pragma once

#include "core/finding.h"
#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Priority

/// Lower values are served first.
enum class Priority { Interactive = 0, Standard = 1, Batch = 2 };

auto toString(Priority priority) -> const char *;
auto priorityFromString(const std::string &text) -> std::optional<Priority>;

// [SECTION] Services

enum class ServiceKind { Models, Plain };

/// A pattern of calls of a plain service that must run at most once.
struct NonIdempotentCall {
    std::string method; ///< "POST", or "*" for any
    std::string pathPrefix; ///< below the service's root, e.g. "/debits"

    auto operator==(const NonIdempotentCall &) const -> bool = default;
};

struct Service {
    ServiceName name;
    ServiceKind kind = ServiceKind::Models;
    Priority priority = Priority::Standard; ///< for requests that name none
    Duration timeBudget = Duration::seconds(30); ///< for requests that name none
    double share = 1.0; ///< weight in fair queueing between services
    std::vector<NonIdempotentCall> nonIdempotentCalls; ///< plain services only
    Duration claimRetention = Duration::seconds(86400); ///< how long the record of a run is kept for its idempotency key
    SourceLocation location;
};

// [SECTION] Artifacts

enum class ArtifactKind { ModelVersion, Adapter };

/// A unit of loading: the weights of one version of a model, or an adapter for a base model.
/// A version is named "MODEL@VERSION"; an adapter has a name of its own.
struct Artifact {
    ArtifactName name;
    ArtifactKind kind = ArtifactKind::ModelVersion;
    ServiceName service;
    ArtifactName base; ///< adapters only: the model version that must be resident on the same target
    Bytes size; ///< size of the weights
    SourceLocation location;
};

/// A model that callers name. The bare name resolves to the version `current`.
struct Model {
    std::string name;
    ServiceName service;
    ArtifactName current;
    std::vector<ArtifactName> versions; ///< current first, then the others, which stay resident while one version replaces another
    SourceLocation location;
};

// [SECTION] Targets

/// Whether a target's engine refuses orders with an old fencing number.
enum class FencingSupport { Checked, Ignored };

struct Target {
    TargetId id;
    ServiceName service; ///< the plain service that it is an instance of, or the models service that the runner works for
    FencingSupport fencing = FencingSupport::Ignored;
    Duration longestOrderDelay = Duration::seconds(15); ///< an order that was sent longer ago can't take effect any more
    SourceLocation location;
};

// [SECTION] Policies

struct Policy {
    double moveCost = 5.0; ///< additional on-time deliveries that justify loading one artifact
    Duration horizon = Duration::seconds(60); ///< time over which placement counts on-time deliveries
    double loadsPerSecond = 2.0; ///< rate of loads that the weight store allows
    int parallelLoads = 3; ///< concurrent loads that the weight store serves at full speed
    double kvReserve = 0.15; ///< share of an accelerator's memory kept for the KV cache
    int floorZones = 2; ///< availability zones that keep a minimum replica (floor) of each artifact, where memory allows
    SourceLocation location;
};

// [SECTION] Declarations

/// The whole set, keyed by name. The maps are ordered, so that every process derives the same results from it.
struct Declarations {
    std::map<ServiceName, Service> services;
    std::map<std::string, Model> models;
    std::map<ArtifactName, Artifact> artifacts;
    std::map<TargetId, Target> targets;
    Policy policy;
};

/// Whether the text is 1 to 200 letters, digits, '-', '_', '.' and '@': such names are safe in paths, row keys and log lines.
auto isValidName(const std::string &text) -> bool;

/// The name of the model that a version belongs to: "sun" for "sun@1"; empty for other names.
auto modelOfVersion(const ArtifactName &version) -> std::string;

/// Fills each model's `versions` from the names of the artifacts, current first.
auto linkVersions(Declarations &declarations) -> void;

/// Validates the set as a whole and returns everything that is wrong: dangling references, invalid sizes, duplicate names. Empty means valid.
auto checkDeclarations(const Declarations &declarations) -> Findings;

/// A caller's `model` resolved to the artifacts that must be resident on the runner, base first.
struct ResolvedModel {
    ServiceName service;
    std::vector<ArtifactName> artifacts; ///< one for a model or version, two (base, adapter) for an adapter
};

/// Resolves the name of a model, a version ("MODEL@VERSION") or an adapter; empty if there is none.
auto resolveModel(const Declarations &declarations, const std::string &name) -> std::optional<ResolvedModel>;

/// Whether a call of a plain service must run at most once.
auto isNonIdempotent(const Service &service, const std::string &method, const std::string &path) -> bool;

} // namespace KingCup
