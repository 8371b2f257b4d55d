#include "platform/objectclient.h"

#include "net/httpstatus.h"

namespace KingCup
{

namespace
{

auto isStatus(const PlatformAnswer &answer, int status) -> bool
{
    return answer.outcome == PlatformOutcome::Answered && answer.status == status;
}

auto objectError(const PlatformAnswer &answer) -> Error
{
    if (isStatus(answer, HttpStatus::PreconditionFailed)) {
        return {ErrorCode::Conflict, "another object is there"};
    }
    if (isStatus(answer, HttpStatus::NotFound)) {
        return {ErrorCode::NotFound, "no such object"};
    }
    return errorOf(answer);
}

auto makeCall(std::string method, const std::string &key) -> HttpCall
{
    HttpCall call;
    call.method = std::move(method);
    call.path = "/objects/" + key;
    return call;
}

class HttpObjectClient : public ObjectClient
{
public:
    HttpObjectClient(EventLoop &loop, HttpClient &client, PlatformOptions options)
        : m_caller(loop, client, std::move(options), "objects")
    {
    }

    auto isReachable() const -> bool override
    {
        return m_caller.isReachable();
    }
    auto put(const std::string &key, std::string body, const PutCondition &condition, PutDone done) -> void override;
    auto get(const std::string &key, Duration deadline, GetDone done) -> void override;
    auto remove(const std::string &key, Duration deadline, RemoveDone done) -> void override;

private:
    PlatformCaller m_caller;
};

auto HttpObjectClient::put(const std::string &key, std::string body, const PutCondition &condition, PutDone done) -> void
{
    auto call = makeCall("PUT", key);
    call.body = std::move(body);
    if (condition.kind == PutCondition::Kind::Absent) {
        call.headers.push_back({"if-none-match", "*"});
    } else if (condition.kind == PutCondition::Kind::Matches) {
        call.headers.push_back({"if-match", condition.etag});
    }
    m_caller.call(std::move(call), [done = std::move(done)](const PlatformAnswer &answer) {
        if (isStatus(answer, HttpStatus::Ok)) {
            done(answer.etag);
        } else {
            done(objectError(answer));
        }
    });
}

auto HttpObjectClient::get(const std::string &key, Duration deadline, GetDone done) -> void
{
    m_caller.callWithRetries(makeCall("GET", key), deadline, [done = std::move(done)](const PlatformAnswer &answer) {
        if (isStatus(answer, HttpStatus::Ok)) {
            done(StoredObject {answer.etag, answer.body});
        } else {
            done(objectError(answer));
        }
    });
}

auto HttpObjectClient::remove(const std::string &key, Duration deadline, RemoveDone done) -> void
{
    m_caller.callWithRetries(makeCall("DELETE", key), deadline, [done = std::move(done)](const PlatformAnswer &answer) {
        done(isStatus(answer, HttpStatus::NoContent) || isStatus(answer, HttpStatus::Ok) || isStatus(answer, HttpStatus::NotFound));
    });
}

} // namespace

auto makeObjectClient(EventLoop &loop, HttpClient &client, PlatformOptions options) -> std::unique_ptr<ObjectClient>
{
    return std::make_unique<HttpObjectClient>(loop, client, std::move(options));
}

} // namespace KingCup
