// The client of a plain service. It forwards a caller's request unchanged and adds the request id and the attempt id, which
// distinguishes the attempts of one request.
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
    std::string path; ///< with query
    HttpHeaders headers; ///< the caller's, including its idempotency-key
    std::string body;
    Duration timeout; ///< from now to the last byte; 0: no limit
};

struct ServiceHooks {
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view data)> onData;
    std::function<void(CallEnd end)> onEnd; ///< called once
};

/// An interface, so that tests can replace it. Hooks are called on the event loop, never from within call().
class ServiceClient
{
public:
    virtual ~ServiceClient() = default;

    virtual auto call(const ServiceRequest &request, ServiceHooks hooks) -> std::shared_ptr<HttpCallHandle> = 0;
};

auto makeServiceClient(HttpClient &client, Endpoint server) -> std::unique_ptr<ServiceClient>;

} // namespace KingCup
