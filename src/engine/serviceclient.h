// The adapter to a plain service: a call is passed through as it came, with the ids that tell tries of one request apart.
#pragma once

#include "core/ids.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

struct ServiceRequest {
    RequestId id;
    AttemptId attempt;
    std::string method;
    std::string path; ///< with query, as the service sees it
    HttpHeaders headers; ///< the caller's, its idempotency-key included
    std::string body;
    Duration timeout; ///< from now to the last byte; 0: none
};

struct ServiceHooks {
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onData;
    std::function<void(CallEnd end)> onEnd; ///< once
};

/// An interface, so that tests can put their own service in its place. Hooks run on the loop, never from within call().
class ServiceClient
{
public:
    virtual ~ServiceClient() = default;

    virtual auto call(const ServiceRequest &request, ServiceHooks hooks) -> std::shared_ptr<HttpCallHandle> = 0;
};

auto makeServiceClient(HttpClient &client, Endpoint server) -> std::unique_ptr<ServiceClient>;

} // namespace KingCup
