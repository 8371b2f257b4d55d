// Parses a caller's HTTP request: its service, artifacts, time budget and whether it may run more than once. An invalid request gives a
// Problem instead.
//
// Index of sections (search for [SECTION]):
//   Problems   errors as problem details (application/problem+json) with a stable code
//   Requests   CallerRequest and its parser
#pragma once

#include "core/declarations.h"
#include "net/http.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace KingCup
{

// [SECTION] Problems

/// Outcome of a request, stated in its answer.
enum class CallerOutcome {
    Delivered, ///< the answer is complete
    NotRun, ///< certainly not run
    Unknown, ///< may have run
};
auto toString(CallerOutcome outcome) -> const char *;

struct Problem {
    int status = 0; ///< HTTP status code
    std::string code; ///< stable, e.g. "unknown-model"
    std::string detail; ///< one sentence
    CallerOutcome outcome = CallerOutcome::NotRun;
    Duration retryAfter; ///< 0: no Retry-After header
};

/// {"type":"about:blank","title":CODE,"status":N,"code":CODE,"detail":...,"outcome":...,"request":ID}
auto problemBody(const Problem &problem, const RequestId &request) -> std::string;
auto problemHeaders(const Problem &problem, const RequestId &request) -> HttpHeaders;

// [SECTION] Requests

/// Request headers that the HTTP server has to keep.
auto callerHeaderNames() -> std::vector<std::string>;

/// The time budget that a caller names in its headers; nothing if it names none, or a malformed one.
auto requestedBudget(const HttpHeaders &headers) -> std::optional<Duration>;

struct CallerRequest {
    RequestId id;
    ServiceName service;
    ServiceKind kind = ServiceKind::Models;
    std::vector<ArtifactName> artifacts; ///< artifacts that the target must have resident; a base precedes its adapter
    std::string method; ///< method, path, headers and body as they are sent to the target
    std::string path;
    HttpHeaders headers;
    std::string body;
    RequestKey key; ///< Idempotency-Key; empty if none
    bool isIdempotent = true;
    bool mustRunOnce = false; ///< not idempotent but has a key: its key is claimed before the request is forwarded
    bool wantsStream = false;
    Duration budget;
    Priority priority = Priority::Standard;
    std::string fingerprint; ///< hash of service, method, path and body; the same for every send of the request
    std::string prefixHash; ///< hash of the model and the prompt's beginning; empty for plain services
};

struct CallerDefaults {
    Duration budget = Duration::seconds(30);
    std::function<ArtifactName(const std::string &model)> versionOf; ///< the current version of a model, for requests that name none; may be null
};

/// Parses a request under /v1/ or /services/. An idempotency key identifies a run only together with the service.
auto readCallerRequest(const HttpRequest &http, const RequestId &id, const Declarations &declarations, const CallerDefaults &defaults)
    -> std::variant<CallerRequest, Problem>;

} // namespace KingCup
