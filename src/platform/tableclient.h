// The platform's table service: rows changed together by compare-and-set, read by key or scanned by prefix.
//
// A transaction is tried once: whoever sends it knows what a lost answer means to it, and how to resolve it. Reads are tried again
// until their deadline.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/table.h"
#include "platform/platformcaller.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

struct TableScan {
    std::string prefix;
    std::string after; ///< only keys behind this one
    std::size_t limit = 500;
};

struct TablePage {
    std::vector<TableRow> rows; ///< in key order
    bool more = false; ///< there are further rows behind the last
};

/// An interface, so that tests can put their own table in its place. Results come on the loop, never from within the call.
class TableClient
{
public:
    using TransactDone = std::function<void(const TransactResult &)>;
    using ReadDone = std::function<void(const Result<std::vector<TableRow>> &)>;
    using ScanDone = std::function<void(const Result<TablePage> &)>;

    virtual ~TableClient() = default;

    virtual auto isReachable() const -> bool = 0; ///< as far as recent calls tell
    /// Sending the same operations again is safe: they can take effect only once, since each put changes its row's version.
    virtual auto transact(const WriteId &id, const std::vector<TableOp> &ops, TransactDone done) -> void = 0;
    /// Absent rows are left out. Errors: Unavailable, Overloaded, Unknown (none has an effect).
    virtual auto read(const std::vector<std::string> &keys, Duration deadline, ReadDone done) -> void = 0;
    virtual auto scan(const TableScan &scan, Duration deadline, ScanDone done) -> void = 0;
};

auto makeTableClient(EventLoop &loop, HttpClient &client, PlatformOptions options) -> std::unique_ptr<TableClient>;

} // namespace KingCup
