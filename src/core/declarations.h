// What operators declare: services, models with versions and adapters, targets, policies. Plain data; checked as a whole.
//
// Index of sections (search for [SECTION]):
//   Priority       classes of requests
//   Services       who may call what, and which calls are non-idempotent
//   Artifacts      models, versions and adapters: what is loaded into accelerator memory
//   Targets        back ends and what their engines check
//   Policies       weights and limits of a deployment
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

/// Lower value goes first.
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
    Priority priority = Priority::Standard; ///< where the caller names none
    Duration timeBudget = Duration::seconds(30); ///< where the caller names none
    double share = 1.0; ///< weight in fairness between services
    std::vector<NonIdempotentCall> nonIdempotentCalls; ///< plain services only
    Duration claimRetention = Duration::seconds(86400); ///< how long a run-once record is kept
    SourceLocation location;
};

// [SECTION] Artifacts

enum class ArtifactKind { ModelVersion, Adapter };

/// What is loaded as one: the weights of one version of a model, or an adapter on a base model.
/// Names: a version is "MODEL@VERSION", an adapter is its own name.
struct Artifact {
    ArtifactName name;
    ArtifactKind kind = ArtifactKind::ModelVersion;
    ServiceName service;
    ArtifactName base; ///< for adapters: the model version it needs resident beside it
    Bytes size; ///< weights
    SourceLocation location;
};

/// A model that callers name; `current` is the version that the bare name stands for.
struct Model {
    std::string name;
    ServiceName service;
    ArtifactName current;
    std::vector<ArtifactName> versions; ///< current first, then others kept resident during a change-over
    SourceLocation location;
};

// [SECTION] Targets

/// Whether a target's engine refuses orders with an old fencing number.
enum class FencingSupport { Checked, Ignored };

struct Target {
    TargetId id;
    ServiceName service; ///< a plain service's instance, or the models service a runner is for
    FencingSupport fencing = FencingSupport::Ignored;
    Duration longestOrderDelay = Duration::seconds(15); ///< after this an order that was sent can't take effect any more
    SourceLocation location;
};

// [SECTION] Policies

struct Policy {
    double moveCost = 5.0; ///< on-time deliveries that one load must win to be worth it
    Duration horizon = Duration::seconds(60); ///< over which placement counts on-time deliveries
    double loadsPerSecond = 2.0; ///< what the weight store allows
    int parallelLoads = 3; ///< loads at once at full speed
    double kvReserve = 0.15; ///< share of an accelerator's memory kept for the KV cache
    int floorZones = 2; ///< availability zones a floor copy is kept in, where memory allows
    SourceLocation location;
};

// [SECTION] Declarations

/// The whole set. Keys are the names; iteration order is the names' order, so that every process derives the same from it.
struct Declarations {
    std::map<ServiceName, Service> services;
    std::map<std::string, Model> models;
    std::map<ArtifactName, Artifact> artifacts;
    std::map<TargetId, Target> targets;
    Policy policy;
};

/// Letters, digits, '-', '_', '.' and '@'; 1 to 200 of them: safe in paths, rows' keys and log lines.
auto isValidName(const std::string &text) -> bool;

/// The model that a version belongs to by its name: "sun" for "sun@1"; empty for other names.
auto modelOfVersion(const ArtifactName &version) -> std::string;

/// Fills each model's versions from the versions' names, current first.
auto linkVersions(Declarations &declarations) -> void;

/// Everything that is wrong with the set as a whole: dangling references, bad sizes, duplicate names. Empty means valid.
auto checkDeclarations(const Declarations &declarations) -> Findings;

/// What a caller's `model` names: the artifacts that must be resident on the runner, base first.
struct ResolvedModel {
    ServiceName service;
    std::vector<ArtifactName> artifacts; ///< one for a model or version, two (base, adapter) for an adapter
};

/// Finds a model, "MODEL@VERSION" or adapter by the name a caller used.
auto resolveModel(const Declarations &declarations, const std::string &name) -> std::optional<ResolvedModel>;

/// Whether a call of a plain service must run at most once.
auto isNonIdempotent(const Service &service, const std::string &method, const std::string &path) -> bool;

} // namespace KingCup
