// A caller's HTTP request, understood: which service, which artifacts, how long, how often. Or the problem with it.
//
// Index of sections (search for [SECTION]):
//   Problems   errors as problem details (application/problem+json) with a stable code
//   Requests   CallerRequest and how it is read
#pragma once

#include "core/declarations.h"
#include "net/http.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace KingCup
{

// [SECTION] Problems

/// What every answer says about its request.
enum class CallerOutcome {
    Delivered, ///< whole
    NotRun, ///< certainly not run
    Unknown, ///< may have run
};
auto toString(CallerOutcome outcome) -> const char *;

struct Problem {
    int status = 0; ///< HTTP
    std::string code; ///< stable, e.g. "unknown-model"
    std::string detail; ///< one sentence
    CallerOutcome outcome = CallerOutcome::NotRun;
    Duration retryAfter; ///< 0: none is stated
};

/// {"type":"about:blank","title":CODE,"status":N,"code":CODE,"detail":...,"outcome":...,"request":ID}
auto problemBody(const Problem &problem, const RequestId &request) -> std::string;
auto problemHeaders(const Problem &problem, const RequestId &request) -> HttpHeaders;

// [SECTION] Requests

/// Headers that callers may send, to be kept by the HTTP server.
auto callerHeaderNames() -> std::vector<std::string>;

struct CallerRequest {
    RequestId id;
    ServiceName service;
    ServiceKind kind = ServiceKind::Models;
    std::vector<ArtifactName> artifacts; ///< must be resident; base first
    std::string method; ///< as the target sees it
    std::string path;
    HttpHeaders headers;
    std::string body;
    RequestKey key; ///< Idempotency-Key; empty if none
    bool isIdempotent = true;
    bool mustRunOnce = false; ///< has a key and may not run twice: claimed before it is forwarded
    bool wantsStream = false;
    Duration budget;
    Priority priority = Priority::Standard;
    std::string fingerprint; ///< of its content, the same for every send
    std::string prefixHash; ///< of the prompt's beginning; empty for plain services
};

struct CallerDefaults {
    Duration budget = Duration::seconds(30);
    std::function<ArtifactName(const std::string &model)> versionOf; ///< which version a bare model name stands for now; may be null
};

/// Reads one request under /v1/ or /services/. A key names a run only together with the service.
auto readCallerRequest(const HttpRequest &http, const RequestId &id, const Declarations &declarations, const CallerDefaults &defaults)
    -> std::variant<CallerRequest, Problem>;

} // namespace KingCup
