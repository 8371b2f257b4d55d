#include "gateway/usageexchange.h"

#include <algorithm>

namespace KingCup
{

namespace
{

/// The minimum time between two urgent reports is this multiplied by the number of gateways that receive them. So a gateway receives at most 4000 urgent
/// reports a second, however many gateways there are.
constexpr auto UrgentPeriodPerPeer = Duration::micros(250);
/// After this many missed digests a peer counts as silent, and an equal share of each limit is reserved for it.
constexpr double MaxMissedDigests = 3;

} // namespace

UsageExchange::UsageExchange(UsageExchangeParts parts, std::string self)
    : m_parts(parts)
    , m_self(std::move(self))
{
}

auto UsageExchange::setGateways(const std::vector<std::string> &others, Duration digestPeriod) -> void
{
    m_parts.usage.setSilentAfter(digestPeriod * MaxMissedDigests);
    m_parts.usage.setGateways(others, m_parts.loop.now());
}

auto UsageExchange::charged(const AccountName &account) -> void
{
    if (m_parts.usage.isReportUrgent(account)) {
        publishSoon();
    }
}

auto UsageExchange::publishSoon() -> void
{
    if (m_timer.isActive()) {
        return;
    }
    m_timer = m_parts.loop.after(UrgentPeriodPerPeer * m_parts.peers.liveCount(), [this] {
        Wire::ControlFrame frame;
        frame.mutable_account_usage()->set_start(m_self);
        writeReport(*frame.mutable_account_usage());
        m_parts.peers.sendAll(frame);
    });
}

auto UsageExchange::writeReport(Wire::AccountUsage &message) -> void
{
    for (const auto &account : m_parts.usage.takeReport(m_parts.loop.now())) {
        message.add_account(account.account);
        message.add_used(account.used);
        message.add_level(account.level);
    }
    message.set_is_settled(m_parts.usage.isSettled(m_parts.loop.now()));
}

auto UsageExchange::merge(const std::string &id, const std::string &start, const Wire::AccountUsage &message) -> void
{
    UsageReport report {id, EntryId(start), message.is_settled(), {}};
    const int rows = std::min({message.account_size(), message.used_size(), message.level_size()});
    for (int i = 0; i < rows; ++i) {
        report.accounts.push_back({message.account(i), message.used(i), message.level(i)});
    }
    m_parts.usage.merge(report, m_parts.loop.now());
}

} // namespace KingCup
