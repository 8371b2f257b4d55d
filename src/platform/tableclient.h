// The client of the platform's table service: transactions of compare-and-set operations, reads by key and scans by prefix.
//
// Transactions are never retried, since only the sender knows how to resolve a lost answer. Reads and scans are retried until their
// deadline.
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
    std::string after; ///< only keys greater than this one
    std::size_t limit = 500;
};

struct TablePage {
    std::vector<TableRow> rows; ///< in key order
    bool more = false; ///< there are further rows after the last one
};

/// An interface, so that tests can replace it. Results are delivered on the event loop, never from within the call.
class TableClient
{
public:
    using TransactDone = std::function<void(const TransactResult &)>;
    using ReadDone = std::function<void(const Result<std::vector<TableRow>> &)>;
    using ScanDone = std::function<void(const Result<TablePage> &)>;

    virtual ~TableClient() = default;

    virtual auto isReachable() const -> bool = 0; ///< the circuit breaker is closed
    /// Sending the same operations again is safe: each put changes its row's version, so they can take effect only once.
    virtual auto transact(const WriteId &id, const std::vector<TableOp> &ops, TransactDone done) -> void = 0;
    /// Absent rows are left out. Errors: Unavailable, Overloaded, Unknown; the table is unchanged in any case.
    virtual auto read(const std::vector<std::string> &keys, Duration deadline, ReadDone done) -> void = 0;
    virtual auto scan(const TableScan &scan, Duration deadline, ScanDone done) -> void = 0;
};

auto makeTableClient(EventLoop &loop, HttpClient &client, PlatformOptions options) -> std::unique_ptr<TableClient>;

} // namespace KingCup
