// The client of the platform's object store: blobs with an entity tag (ETag) and conditional writes.
#pragma once

#include "core/result.h"
#include "platform/platformcaller.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

/// Precondition of a put.
struct PutCondition {
    enum class Kind { None, Absent, Matches };
    Kind kind = Kind::None;
    std::string etag; ///< Matches: the ETag that the object to replace must have
};

struct StoredObject {
    std::string etag;
    std::string body;
};

/// An interface, so that tests can replace it. Results are delivered on the event loop, never from within the call.
class ObjectClient
{
public:
    using PutDone = std::function<void(const Result<std::string> &etag)>;
    using GetDone = std::function<void(const Result<StoredObject> &)>;
    using RemoveDone = std::function<void(bool removed)>;

    virtual ~ObjectClient() = default;

    virtual auto isReachable() const -> bool = 0;
    /// Never retried. Errors: Conflict, Unavailable, Overloaded, Unknown (the put may have taken effect).
    virtual auto put(const std::string &key, std::string body, const PutCondition &condition, PutDone done) -> void = 0;
    /// Retried until `deadline` has passed from now. Errors: NotFound, Unavailable, Overloaded, Unknown.
    virtual auto get(const std::string &key, Duration deadline, GetDone done) -> void = 0;
    /// Retried until `deadline` has passed from now. Succeeds if the object doesn't exist.
    virtual auto remove(const std::string &key, Duration deadline, RemoveDone done) -> void = 0;
};

auto makeObjectClient(EventLoop &loop, HttpClient &client, PlatformOptions options) -> std::unique_ptr<ObjectClient>;

} // namespace KingCup
