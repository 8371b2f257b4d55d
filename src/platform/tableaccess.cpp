#include "platform/tableaccess.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace KingCup
{

namespace
{

using nlohmann::json;

constexpr auto CallTimeout = Duration::seconds(2);
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusThrottled = 429;
constexpr int StatusUnavailable = 503;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;

auto callOf(const Endpoint &table, const std::string &method, const std::string &path, const std::string &body) -> HttpCall
{
    HttpCall call;
    call.server = table;
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeout = CallTimeout;
    if (!body.empty()) {
        call.headers = {{"content-type", "application/json"}};
    }
    return call;
}

auto escaped(const std::string &text) -> std::string
{
    constexpr std::string_view Plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~/";
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned Nibble = 4;
    constexpr unsigned NibbleMask = 15;
    std::string result;
    for (const char character : text) {
        if (Plain.find(character) != std::string_view::npos) {
            result += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        result += '%';
        result += Digits[byte >> Nibble];
        result += Digits[byte & NibbleMask];
    }
    return result;
}

auto rowsOf(const HttpAnswer &answer) -> std::optional<std::vector<TableRow>>
{
    if (answer.status != StatusOk) {
        return std::nullopt;
    }
    try {
        std::vector<TableRow> rows;
        // Named, as a temporary would be gone before the loop begins: rows were seen as absent then, and every change as a conflict.
        const auto parsed = json::parse(answer.body);
        for (const auto &row : parsed.at("rows")) {
            rows.push_back({row.at("key").get<std::string>(), RowVersion(row.at("version").get<std::uint64_t>()), row.at("value").get<std::string>()});
        }
        return rows;
    } catch (const json::exception &error) {
        LOG(WARNING) << "table: unreadable answer error=\"" << error.what() << "\"";
        return std::nullopt;
    }
}

auto opsBody(const std::string &writeId, const std::vector<TableOp> &ops) -> std::string
{
    json list = json::array();
    for (const auto &op : ops) {
        json item {{"key", op.key}, {"expect", op.expect.value()}};
        switch (op.kind) {
        case TableOp::Kind::Put:
            item["op"] = "put";
            item["value"] = op.value;
            break;
        case TableOp::Kind::Delete:
            item["op"] = "delete";
            break;
        case TableOp::Kind::Check:
            item["op"] = "check";
            break;
        }
        list.push_back(std::move(item));
    }
    return json {{"id", writeId}, {"ops", std::move(list)}}.dump();
}

/// Only what certainly had no effect counts as refused; a server error or silence is a lost answer.
auto resultOf(const HttpAnswer &answer) -> TransactResult
{
    TransactResult result;
    const bool isThrottled = answer.status == StatusThrottled;
    const bool isClientError = answer.status >= FirstClientError && answer.status < FirstServerError;
    if (answer.end == CallEnd::NotSent || answer.status == StatusUnavailable || (isClientError && answer.status != StatusConflict)) {
        result.end = TransactEnd::Refused;
        result.throttled = isThrottled;
        return result;
    }
    const auto parsed = json::parse(answer.body, nullptr, false);
    if (answer.status == StatusOk && parsed.is_object() && parsed.value("committed", false)) {
        result.end = TransactEnd::Committed;
        result.version = RowVersion(parsed.value("version", std::uint64_t(0)));
    } else if (answer.status == StatusConflict && parsed.is_object()) {
        result.end = TransactEnd::Conflict;
        for (const auto &conflict : parsed.value("conflicts", json::array())) {
            result.conflicts.emplace_back(conflict.value("key", std::string()), RowVersion(conflict.value("version", std::uint64_t(0))));
        }
    }
    return result;
}

} // namespace

auto httpTableAccess(HttpClient &client, const Endpoint &table) -> TableAccess
{
    TableAccess access;
    access.read = [&client, table](std::vector<std::string> keys, TableAccess::ReadDone done) {
        startShortCall(client, callOf(table, "POST", "/table/read", json {{"keys", keys}}.dump()), [done = std::move(done)](const HttpAnswer &answer) {
            done(rowsOf(answer));
        });
    };
    access.scan = [&client, table](const std::string &prefix, const std::string &after, int limit, TableAccess::ReadDone done) {
        const auto path = "/table/scan?prefix=" + escaped(prefix) + "&after=" + escaped(after) + "&limit=" + std::to_string(limit);
        startShortCall(client, callOf(table, "GET", path, ""), [done = std::move(done)](const HttpAnswer &answer) { done(rowsOf(answer)); });
    };
    access.transact = [&client, table](const std::string &writeId, const std::vector<TableOp> &ops, TableAccess::TransactDone done) {
        startShortCall(client, callOf(table, "POST", "/table/transact", opsBody(writeId, ops)), [done = std::move(done)](const HttpAnswer &answer) {
            done(resultOf(answer));
        });
    };
    return access;
}

} // namespace KingCup
