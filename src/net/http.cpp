#include "net/http.h"

#include <algorithm>

namespace KingCup
{

auto headerValue(const HttpHeaders &headers, std::string_view name) -> std::string
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &header) { return header.name == name; });
    return found == headers.end() ? std::string() : found->value;
}

auto toString(CallEnd end) -> const char *
{
    switch (end) {
    case CallEnd::Complete:
        return "complete";
    case CallEnd::NotSent:
        return "not-sent";
    case CallEnd::Broken:
        return "broken";
    case CallEnd::Timeout:
        return "timeout";
    case CallEnd::Cancelled:
        return "cancelled";
    }
    return "broken";
}

auto startShortCall(HttpClient &client, HttpCall call, std::function<void(const HttpAnswer &)> done, std::size_t maxBody) -> std::shared_ptr<HttpCallHandle>
{
    auto answer = std::make_shared<HttpAnswer>();
    call.maxBody = maxBody;
    call.collectsBody = true;
    call.onHead = [answer](int status, const HttpHeaders &headers) {
        answer->status = status;
        answer->headers = headers;
    };
    call.onData = [answer](std::string_view data) {
        answer->body.append(data);
    };
    call.onEnd = [answer, done = std::move(done)](CallEnd end) {
        answer->end = end == CallEnd::Cancelled ? CallEnd::Broken : end;
        if (end != CallEnd::Complete) {
            answer->status = 0;
        }
        done(*answer);
    };
    return client.start(std::move(call));
}

} // namespace KingCup
