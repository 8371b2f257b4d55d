// The table service as a few functions, for components that keep their state in it. tableAccess() implements them with a
// TableClient; tests supply their own.
#pragma once

#include "core/table.h"
#include "platform/tableclient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

struct TableAccess {
    using ReadDone = std::function<void(const std::optional<std::vector<TableRow>> &rows)>; ///< none if the read failed
    using TransactDone = std::function<void(const TransactResult &result)>;

    std::function<void(std::vector<std::string> keys, ReadDone done)> read; ///< absent rows are left out
    std::function<void(std::string prefix, std::string after, int limit, ReadDone done)> scan; ///< rows with keys greater than `after`, in key order
    std::function<void(std::string writeId, std::vector<TableOp> ops, TransactDone done)> transact;
};

/// `client` must outlive the result.
auto tableAccess(TableClient &client) -> TableAccess;

} // namespace KingCup
