// The platform's object store: blobs with an entity tag, written conditionally.
#pragma once

#include "core/result.h"
#include "platform/platformcaller.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

/// What must hold for a put to take effect.
struct PutCondition {
    enum class Kind { None, Absent, Matches };
    Kind kind = Kind::None;
    std::string etag; ///< Matches: of the object that is replaced
};

struct StoredObject {
    std::string etag;
    std::string body;
};

/// An interface, so that tests can put their own store in its place. Results come on the loop, never from within the call.
class ObjectClient
{
public:
    using PutDone = std::function<void(const Result<std::string> &etag)>;
    using GetDone = std::function<void(const Result<StoredObject> &)>;
    using RemoveDone = std::function<void(bool removed)>;

    virtual ~ObjectClient() = default;

    virtual auto isReachable() const -> bool = 0;
    /// Tried once. Errors: Conflict, Unavailable, Overloaded, Unknown (it may have taken effect).
    virtual auto put(const std::string &key, std::string body, const PutCondition &condition, PutDone done) -> void = 0;
    /// Errors: NotFound, Unavailable, Overloaded, Unknown.
    virtual auto get(const std::string &key, Duration deadline, GetDone done) -> void = 0;
    /// Tried again until the deadline: removing what is gone is a success.
    virtual auto remove(const std::string &key, Duration deadline, RemoveDone done) -> void = 0;
};

auto makeObjectClient(EventLoop &loop, HttpClient &client, PlatformOptions options) -> std::unique_ptr<ObjectClient>;

} // namespace KingCup
