#include "core/runonce.h"

#include "core/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace KingCup
{

namespace
{

using Json = nlohmann::json;

// Table values are UTF-8 text, but an answer's body may hold any bytes: each byte is stored as the character with that code (Latin-1 to UTF-8).
auto textFromBytes(const std::string &bytes) -> std::string
{
    constexpr unsigned char FirstTwoByte = 0x80;
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < FirstTwoByte) {
            text.push_back(c);
            continue;
        }
        text.push_back(static_cast<char>(0xC0U | (byte >> 6U)));
        text.push_back(static_cast<char>(0x80U | (byte & 0x3FU)));
    }
    return text;
}

auto bytesFromText(const std::string &text) -> std::string
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const bool two = (lead & 0xE0U) == 0xC0U && i + 1 < text.size();
        if (!two) {
            bytes.push_back(text[i]);
            continue;
        }
        const auto tail = static_cast<unsigned char>(text[++i]);
        bytes.push_back(static_cast<char>(((lead & 0x03U) << 6U) | (tail & 0x3FU)));
    }
    return bytes;
}

auto stateName(ClaimState state) -> const char *
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Done:
        return "done";
    case ClaimState::Released:
        return "released";
    }
    return "claimed";
}

auto stateFromName(const std::string &name) -> std::optional<ClaimState>
{
    for (const auto state : {ClaimState::Claimed, ClaimState::Done, ClaimState::Released}) {
        if (name == stateName(state)) {
            return state;
        }
    }
    return std::nullopt;
}

auto recordToJson(const RunRecord &record) -> Json
{
    auto headers = Json::array();
    for (const auto &[name, value] : record.headers) {
        headers.push_back({textFromBytes(name), textFromBytes(value)});
    }
    return {{"status", record.status}, {"headers", headers}, {"body", textFromBytes(record.body)}, {"whole", record.isWhole}};
}

auto recordFromJson(const Json &json) -> RunRecord
{
    RunRecord record;
    record.status = json.at("status").get<int>();
    record.body = bytesFromText(json.at("body").get<std::string>());
    record.isWhole = json.at("whole").get<bool>();
    for (const auto &header : json.at("headers")) {
        record.headers.emplace_back(bytesFromText(header.at(0).get<std::string>()), bytesFromText(header.at(1).get<std::string>()));
    }
    return record;
}

} // namespace

auto claimRowKey(const ClaimKey &key) -> std::string
{
    return ClaimRowPrefix + textFromBytes(key.service.text()) + "/" + textFromBytes(key.key.text());
}

auto serializeClaimRow(const ClaimRow &row) -> std::string
{
    Json json {{"attempt", row.attempt.text()}, {"state", stateName(row.state)}, {"keepUntilMs", row.keepUntilMs}};
    if (row.record) {
        json["record"] = recordToJson(*row.record);
    }
    return json.dump();
}

auto parseClaimRow(const std::string &value) -> std::optional<ClaimRow>
{
    try {
        const auto json = parseJson(value);
        const auto state = stateFromName(json.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        ClaimRow row;
        row.attempt = AttemptId(json.at("attempt").get<std::string>());
        row.state = *state;
        row.keepUntilMs = json.at("keepUntilMs").get<std::int64_t>();
        if (json.contains("record")) {
            row.record = recordFromJson(json["record"]);
        }
        return row;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

auto planClaimCleanup(const std::vector<TableRow> &rows, std::int64_t wallNowMs) -> std::vector<TableOp>
{
    std::vector<TableOp> ops;
    for (const auto &row : rows) {
        const auto claim = parseClaimRow(row.value);
        const bool expired = claim && claim->keepUntilMs < wallNowMs;
        if (expired && ops.size() < MaxTransactionOps) {
            ops.push_back({TableOp::Kind::Delete, row.key, row.version, {}});
        }
    }
    return ops;
}

} // namespace KingCup
