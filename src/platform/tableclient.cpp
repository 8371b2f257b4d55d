#include "platform/tableclient.h"

#include "net/httpstatus.h"
#include "net/json.h"
#include "net/urlencoding.h"

#include <glog/logging.h>

namespace KingCup
{

namespace
{

auto opName(TableOp::Kind kind) -> const char *
{
    switch (kind) {
    case TableOp::Kind::Put:
        return "put";
    case TableOp::Kind::Delete:
        return "delete";
    case TableOp::Kind::Check:
        return "check";
    }
    return "check";
}

auto toJson(const TableOp &op) -> nlohmann::json
{
    nlohmann::json json {{"op", opName(op.kind)}, {"key", op.key}, {"expect", op.expect.value()}};
    if (op.kind == TableOp::Kind::Put) {
        json["value"] = op.value;
    }
    return json;
}

/// None if the answer isn't a list of rows: it must not be read as an empty one. A row without a readable key is left out; one whose value can't be read is
/// kept with an empty value, so that it doesn't count as missing.
auto pageOf(const std::string &body) -> std::optional<TablePage>
{
    const auto members = splitJsonObject(body);
    const auto list = members ? splitJsonArray(findJsonMember(*members, "rows")) : std::nullopt;
    if (!list) {
        return std::nullopt;
    }
    TablePage page;
    page.more = boolOf(parseJson(findJsonMember(*members, "more")));
    for (const auto &entry : *list) {
        const auto fields = splitJsonObject(entry).value_or(std::vector<JsonMember>());
        const auto key = textOf(parseJson(findJsonMember(fields, "key")));
        if (key.empty()) {
            LOG(WARNING) << "platform: ignored a row without a readable key bytes=" << entry.size();
            continue;
        }
        page.rows.push_back({key, RowVersion(unsignedOf(parseJson(findJsonMember(fields, "version")))), textOf(parseJson(findJsonMember(fields, "value")))});
    }
    return page;
}

auto unreadable(const PlatformAnswer &answer) -> Error
{
    LOG(ERROR) << "platform: unreadable list of rows bytes=" << answer.body.size();
    return {ErrorCode::Unknown, "unreadable list of rows"};
}

auto isGood(const PlatformAnswer &answer) -> bool
{
    return answer.outcome == PlatformOutcome::Answered && answer.status == HttpStatus::Ok;
}

/// Reads the outcome of an answered transaction. After an invalid answer the effect is unknown, so the outcome stays Lost.
auto readVerdict(const PlatformAnswer &answer, TransactResult &result) -> void
{
    const auto json = parseJson(answer.body);
    if (answer.status == HttpStatus::Ok && boolOf(member(json, "committed"))) {
        result.outcome = TransactOutcome::Committed;
        result.version = RowVersion(unsignedOf(member(json, "version")));
    } else if (answer.status == HttpStatus::Conflict) {
        result.outcome = TransactOutcome::Conflict;
        for (const auto &row : member(json, "conflicts")) {
            result.conflicts.emplace_back(textOf(member(row, "key")), RowVersion(unsignedOf(member(row, "version"))));
        }
    } else {
        LOG(ERROR) << "platform: unexpected answer to a transaction status=" << answer.status;
    }
}

auto resultOf(const PlatformAnswer &answer) -> TransactResult
{
    TransactResult result;
    result.throttled = answer.throttled;
    if (answer.outcome == PlatformOutcome::Refused) {
        result.outcome = TransactOutcome::Refused;
    } else if (answer.outcome == PlatformOutcome::Answered) {
        readVerdict(answer, result);
    }
    return result;
}

auto postCall(std::string path, const nlohmann::json &body) -> HttpCall
{
    HttpCall call;
    call.method = "POST";
    call.path = std::move(path);
    call.headers = {{"content-type", "application/json"}};
    call.body = dumpJson(body);
    return call;
}

class HttpTableClient : public TableClient
{
public:
    HttpTableClient(EventLoop &loop, HttpClient &client, PlatformOptions options)
        : m_caller(loop, client, std::move(options), "table")
    {
    }

    auto isReachable() const -> bool override
    {
        return m_caller.isReachable();
    }
    auto transact(const WriteId &id, const std::vector<TableOp> &ops, TransactDone done) -> void override;
    auto read(const std::vector<std::string> &keys, Duration deadline, ReadDone done) -> void override;
    auto scan(const TableScan &scan, Duration deadline, ScanDone done) -> void override;

private:
    PlatformCaller m_caller;
};

auto HttpTableClient::transact(const WriteId &id, const std::vector<TableOp> &ops, TransactDone done) -> void
{
    nlohmann::json body {{"id", id.text()}, {"ops", nlohmann::json::array()}};
    for (const auto &op : ops) {
        body["ops"].push_back(toJson(op));
    }
    m_caller.call(postCall("/table/transact", body), [done = std::move(done)](const PlatformAnswer &answer) { done(resultOf(answer)); });
}

auto HttpTableClient::read(const std::vector<std::string> &keys, Duration deadline, ReadDone done) -> void
{
    const nlohmann::json body {{"keys", keys}};
    m_caller.callWithRetries(postCall("/table/read", body), deadline, [done = std::move(done)](const PlatformAnswer &answer) {
        if (!isGood(answer)) {
            done(errorOf(answer));
        } else if (auto page = pageOf(answer.body)) {
            done(std::move(page->rows));
        } else {
            done(unreadable(answer));
        }
    });
}

auto HttpTableClient::scan(const TableScan &scan, Duration deadline, ScanDone done) -> void
{
    HttpCall call;
    call.path = "/table/scan?prefix=" + encodeQueryValue(scan.prefix) + "&after=" + encodeQueryValue(scan.after) + "&limit=" + std::to_string(scan.limit);
    m_caller.callWithRetries(std::move(call), deadline, [done = std::move(done)](const PlatformAnswer &answer) {
        if (!isGood(answer)) {
            done(errorOf(answer));
        } else if (auto page = pageOf(answer.body)) {
            done(std::move(*page));
        } else {
            done(unreadable(answer));
        }
    });
}

} // namespace

auto makeTableClient(EventLoop &loop, HttpClient &client, PlatformOptions options) -> std::unique_ptr<TableClient>
{
    return std::make_unique<HttpTableClient>(loop, client, std::move(options));
}

} // namespace KingCup
