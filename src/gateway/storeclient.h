// Client of the deployment's key-value store: reads, watches, and conditional changes of rows. The store may be slow or unreachable, reject calls from this
// host only, or lose an answer after it has made the change.
#pragma once

#include "core/storetable.h"
#include "gateway/protocol.h"
#include "net/httppool.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

struct StoreClientOptions {
    Endpoint server;
    Duration timeout = Duration::millis(1500); ///< of reads and changes; about 300 times the usual response time
};

class StoreClient
{
public:
    using Done = std::function<void(const StoreAnswer &answer)>;

    StoreClient(EventLoop &loop, HttpPool &pool, const StoreFormat &format, StoreClientOptions options);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    auto operator=(const StoreClient &) -> StoreClient & = delete;

    auto calls() const -> std::uint64_t; ///< number of calls started so far; the store meters calls
    auto lastAnswerAt() const -> TimePoint; ///< when any call was last answered

    /// Called after each failed call, and after the first successful call that follows a failed one: known rows may be out of date.
    std::function<void()> onUnreachable;

    auto setServer(const Endpoint &server) -> void;
    /// One page of the rows in a range of keys of a table.
    auto read(StoreTable table, const KeyRange &keys, Done done) -> void;
    /// Long poll: answers as soon as a row of the table has a newer version than `after`, or when `wait` has passed.
    auto watch(StoreTable table, RowVersion after, Duration wait, Done done) -> void;
    /// Makes all changes or none.
    auto change(StoreTable table, const std::vector<StoreChange> &changes, Done done) -> void;

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
