#include "engine/serviceclient.h"

#include <array>

namespace KingCup
{

namespace
{

/// Headers of an answer that are forwarded to the caller, besides the content type.
constexpr std::array<const char *, 8> ForwardedHeaders
    = {"cache-control", "content-encoding", "content-language", "content-disposition", "etag", "last-modified", "location", "retry-after"};

class HttpServiceClient : public ServiceClient
{
public:
    HttpServiceClient(HttpClient &client, Endpoint server)
        : m_client(client)
        , m_server(std::move(server))
    {
    }

    auto call(const ServiceRequest &request, ServiceHooks hooks) -> std::shared_ptr<HttpCallHandle> override
    {
        HttpCall call;
        call.server = m_server;
        call.method = request.method;
        call.path = request.path;
        call.headers = request.headers;
        call.headers.push_back({"x-request-id", request.id.text()});
        call.headers.push_back({"x-attempt-id", request.attempt.text()});
        call.body = request.body;
        call.timeout = request.timeout;
        call.keptHeaders.assign(ForwardedHeaders.begin(), ForwardedHeaders.end());
        call.onHead = std::move(hooks.onHead);
        call.onData = std::move(hooks.onData);
        call.onEnd = std::move(hooks.onEnd);
        return m_client.start(std::move(call));
    }

private:
    HttpClient &m_client;
    Endpoint m_server;
};

} // namespace

auto makeServiceClient(HttpClient &client, Endpoint server) -> std::unique_ptr<ServiceClient>
{
    return std::make_unique<HttpServiceClient>(client, std::move(server));
}

} // namespace KingCup
