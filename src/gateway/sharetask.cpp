#include "gateway/sharetask.h"

#include <sstream>
#include <utility>

namespace KingCup
{

namespace
{

auto encodeMembers(const std::set<std::string, std::less<>> &members) -> std::string
{
    std::string text;
    for (const auto &member : members) {
        text += member + "\n";
    }
    return text;
}

auto decodeMembers(const std::string &text) -> std::set<std::string, std::less<>>
{
    std::set<std::string, std::less<>> members;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        members.insert(line);
    }
    return members;
}

} // namespace

ShareTask::ShareTask(ShareTaskParts parts, std::string self)
    : m_parts(parts)
    , m_self(std::move(self))
{
}

auto ShareTask::advance() -> void
{
    switch (m_parts.usage.nextShareCall(now())) {
    case ShareCall::None:
        break;
    case ShareCall::Read:
        read("", {});
        break;
    case ShareCall::Write:
        write();
        break;
    case ShareCall::Remove:
        remove();
        break;
    }
    reportShare();
}

auto ShareTask::read(const std::string &from, std::vector<ShareLease> leases) -> void
{
    m_parts.store.read(StoreTable::LimitShares, {from, ""}, [this, leases = std::move(leases)](const StoreAnswer &answer) mutable {
        const bool isDone = answer.outcome == StoreOutcome::Done;
        for (const auto &row : answer.page.rows) {
            if (!row.isRemoved) {
                leases.push_back({row.key, row.version, decodeMembers(row.value)});
            }
        }
        if (isDone && answer.page.hasMore && !answer.page.rows.empty()) {
            read(answer.page.rows.back().key + '\0', std::move(leases));
            return;
        }
        m_parts.usage.shares().readDone(isDone, leases, now());
        m_parts.log.line("limits", "leases-read").add("outcome", toString(answer.outcome)).add("leases", static_cast<std::uint64_t>(leases.size()));
        reportShare();
    });
}

auto ShareTask::write() -> void
{
    const auto &members = m_parts.usage.shares().members();
    const StoreChange change {m_self, std::nullopt, encodeMembers(members)};
    m_parts.store.change(StoreTable::LimitShares, {change}, [this, count = members.size()](const StoreAnswer &answer) {
        m_parts.usage.shares().writeDone(answer.outcome == StoreOutcome::Done, now());
        m_parts.log.line("limits", "lease-written").add("outcome", toString(answer.outcome)).add("members", static_cast<std::uint64_t>(count));
    });
}

auto ShareTask::remove() -> void
{
    m_parts.store.change(StoreTable::LimitShares, {{m_self, std::nullopt, std::nullopt}}, [this](const StoreAnswer &answer) {
        m_parts.usage.shares().removeDone(answer.outcome == StoreOutcome::Done, now());
        m_parts.log.line("limits", "lease-removed").add("outcome", toString(answer.outcome));
    });
}

auto ShareTask::reportShare() -> void
{
    const double share = m_parts.usage.share();
    if (share == m_reportedShare) {
        return;
    }
    m_reportedShare = share;
    m_parts.metrics.set("account_limit_share", share);
    m_parts.log.line("limits", "share").add("share", share);
}

} // namespace KingCup
