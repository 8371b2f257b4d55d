#include "platform/tableaccess.h"

namespace KingCup
{

namespace
{

constexpr auto ReadDeadline = Duration::seconds(2);

} // namespace

auto tableAccess(TableClient &client) -> TableAccess
{
    TableAccess access;
    access.read = [&client](const std::vector<std::string> &keys, TableAccess::ReadDone done) {
        client.read(keys, ReadDeadline, [done = std::move(done)](const Result<std::vector<TableRow>> &rows) {
            done(rows ? std::optional<std::vector<TableRow>>(rows.value()) : std::nullopt);
        });
    };
    access.scan = [&client](std::string prefix, std::string after, int limit, TableAccess::ReadDone done) {
        const TableScan scan {std::move(prefix), std::move(after), static_cast<std::size_t>(limit)};
        client.scan(scan, ReadDeadline, [done = std::move(done)](const Result<TablePage> &page) {
            done(page ? std::optional<std::vector<TableRow>>(page.value().rows) : std::nullopt);
        });
    };
    access.transact = [&client](const std::string &writeId, const std::vector<TableOp> &ops, TableAccess::TransactDone done) {
        client.transact(WriteId(writeId), ops, std::move(done));
    };
    return access;
}

} // namespace KingCup
