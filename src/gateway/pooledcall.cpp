#include "gateway/pooledcall.h"

namespace KingCup
{

auto collectingCall(const Endpoint &server, EncodedCall text, const std::shared_ptr<CollectedAnswer> &into, std::size_t maxBody) -> PooledCall
{
    PooledCall call;
    call.maxBody = maxBody;
    call.collectsBody = true;
    call.server = server;
    call.method = std::move(text.method);
    call.target = std::move(text.target);
    call.headers = std::move(text.headers);
    call.headers.insert(call.headers.begin(), {"Host", toString(server)});
    call.body = std::move(text.body);
    call.onHead = [into](const HttpHead &head) {
        into->status = head.status;
        into->head = head;
        return AnswerVerdict::Accept;
    };
    call.onBody = [into](std::string_view bytes) {
        into->body.append(bytes);
    };
    return call;
}

} // namespace KingCup
