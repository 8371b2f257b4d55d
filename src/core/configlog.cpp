#include "core/configlog.h"

#include "core/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace KingCup
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t RevisionDigits = 20; ///< length of the largest 64-bit number
constexpr auto RetryDelay = Duration::millis(100);

auto findRow(const std::vector<TableRow> &rows, const std::string &key) -> const TableRow *
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const TableRow &row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

// [SECTION] Rows

auto configLogKey(Revision revision) -> std::string
{
    const auto digits = std::to_string(revision.value());
    return ConfigLogPrefix + std::string(RevisionDigits - digits.size(), '0') + digits;
}

auto configChangeKey(const ChangeId &change) -> std::string
{
    return ConfigChangePrefix + change.text();
}

auto serializeConfigHead(const ConfigHead &head) -> std::string
{
    return Json {{"revision", head.revision.value()}, {"change", head.change.text()}, {"digest", head.digest}}.dump();
}

auto parseConfigHead(const std::string &value) -> std::optional<ConfigHead>
{
    try {
        const auto json = parseJson(value);
        return ConfigHead {.revision = Revision(json.at("revision").get<std::uint64_t>()),
                           .change = ChangeId(json.at("change").get<std::string>()),
                           .digest = json.at("digest").get<std::string>()};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

auto serializeConfigLogEntry(const ConfigLogEntry &entry) -> std::string
{
    return Json {{"revision", entry.revision.value()}, {"change", entry.change.text()}, {"author", entry.author}, {"declarations", entry.declarations}}.dump();
}

auto parseConfigLogEntry(const std::string &value) -> std::optional<ConfigLogEntry>
{
    try {
        const auto json = parseJson(value);
        return ConfigLogEntry {.revision = Revision(json.at("revision").get<std::uint64_t>()),
                               .change = ChangeId(json.at("change").get<std::string>()),
                               .author = json.at("author").get<std::string>(),
                               .declarations = json.at("declarations").get<std::string>()};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

auto parseConfigChangeRevision(const std::string &value) -> std::optional<Revision>
{
    try {
        return Revision(parseJson(value).at("revision").get<std::uint64_t>());
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

// [SECTION] Commit

auto toString(CommitOutcome outcome) -> const char *
{
    switch (outcome) {
    case CommitOutcome::Accepted:
        return "accepted";
    case CommitOutcome::Unchanged:
        return "unchanged";
    case CommitOutcome::Conflict:
        return "conflict";
    case CommitOutcome::Unavailable:
        return "unavailable";
    case CommitOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

ConfigCommit::ConfigCommit(ConfigProposal proposal, TimePoint deadline)
    : m_proposal(std::move(proposal))
    , m_deadline(deadline)
{
}

auto ConfigCommit::begin() -> ConfigStep
{
    return read();
}

auto ConfigCommit::read() const -> ConfigStep
{
    return ReadConfig {{ConfigHeadKey, configChangeKey(m_proposal.change)}};
}

auto ConfigCommit::write(const ConfigHead &head, RowVersion headVersion) -> ConfigStep
{
    const auto revision = head.revision.next();
    const ConfigHead newHead {.revision = revision, .change = m_proposal.change, .digest = m_proposal.digest};
    const ConfigLogEntry entry {.revision = revision, .change = m_proposal.change, .author = m_proposal.author, .declarations = m_proposal.declarations};
    const auto changeRow = Json {{"revision", revision.value()}}.dump();
    m_ops = {{TableOp::Kind::Put, ConfigHeadKey, headVersion, serializeConfigHead(newHead)},
             {TableOp::Kind::Put, configLogKey(revision), RowVersion(), serializeConfigLogEntry(entry)},
             {TableOp::Kind::Put, configChangeKey(m_proposal.change), RowVersion(), changeRow}};
    return WriteConfig {m_ops};
}

auto ConfigCommit::readDone(const std::optional<std::vector<TableRow>> &rows, TimePoint now) -> ConfigStep
{
    if (!rows) {
        return retryLater(now);
    }
    if (const auto *change = findRow(*rows, configChangeKey(m_proposal.change))) {
        const auto revision = parseConfigChangeRevision(change->value);
        return revision ? CommitDecision {CommitOutcome::Accepted, *revision} : CommitDecision {};
    }
    ConfigHead head;
    RowVersion headVersion;
    if (const auto *row = findRow(*rows, ConfigHeadKey)) {
        const auto parsed = parseConfigHead(row->value);
        if (!parsed) {
            return CommitDecision {CommitOutcome::Unavailable, {}};
        }
        head = *parsed;
        headVersion = row->version;
    }
    const bool unchanged = headVersion != RowVersion() && head.digest == m_proposal.digest;
    if (unchanged) {
        return CommitDecision {CommitOutcome::Unchanged, head.revision};
    }
    if (head.revision != m_proposal.expected) {
        return CommitDecision {CommitOutcome::Conflict, head.revision};
    }
    return write(head, headVersion);
}

auto ConfigCommit::writeDone(const TransactResult &result, TimePoint now) -> ConfigStep
{
    if (result.outcome == TransactOutcome::Committed) {
        return CommitDecision {CommitOutcome::Accepted, m_proposal.expected.next()};
    }
    if (result.outcome == TransactOutcome::Conflict) {
        // The head has changed, and row versions are never reused, so a transaction sent earlier has taken effect or can no longer take
        // effect. The next read shows which.
        m_resend = false;
        return read();
    }
    // If the answer to the first transaction was lost, a refusal of the second one says nothing about the first.
    m_resend = m_resend || result.outcome == TransactOutcome::Lost;
    m_uncertain = m_uncertain || m_resend;
    return retryLater(now);
}

auto ConfigCommit::resume(TimePoint now) -> ConfigStep
{
    if (now >= m_deadline) {
        return giveUp();
    }
    // Finding the change's row absent after a lost answer would not prove that the write never takes effect. Sending the same transaction again
    // settles this: the second one commits, or it conflicts because the head has changed, in which case the first one can no longer take effect.
    if (m_resend) {
        return WriteConfig {m_ops};
    }
    return read();
}

auto ConfigCommit::retryLater(TimePoint now) const -> ConfigStep
{
    if (now + RetryDelay >= m_deadline) {
        return giveUp();
    }
    return WaitUntil {now + RetryDelay};
}

auto ConfigCommit::giveUp() const -> ConfigStep
{
    return CommitDecision {m_uncertain ? CommitOutcome::Unknown : CommitOutcome::Unavailable, {}};
}

// [SECTION] Adoption

auto mayAdopt(Revision inForce, Revision offered) -> bool
{
    return offered > inForce;
}

} // namespace KingCup
