#include "gateway/accountlog.h"

#include <algorithm>
#include <map>
#include <set>

namespace KingCup
{

namespace
{

/// Maximum number of lines for one version of the declarations. For further accounts that changed, only their number is logged.
constexpr int MaxLines = 64;

using AccountsByName = std::map<AccountName, const ClientAccount *>;

auto byName(const AccountTable &table) -> AccountsByName
{
    AccountsByName accounts;
    for (const auto &account : table.accounts()) {
        accounts[account.name] = &account;
    }
    return accounts;
}

/// Number of `keys` that aren't in `others`.
auto countMissing(const std::vector<KeyDigest> &keys, const std::vector<KeyDigest> &others) -> int
{
    const std::set<KeyDigest> known(others.begin(), others.end());
    return static_cast<int>(std::count_if(keys.begin(), keys.end(), [&](const KeyDigest &key) { return !known.contains(key); }));
}

} // namespace

auto logAccountChanges(EventLog &log, const AccountTable &before, const AccountTable &after) -> void
{
    const auto old = byName(before);
    const auto current = byName(after);
    const ClientAccount none;
    int lines = 0;
    for (const auto &[name, account] : current) {
        const auto found = old.find(name);
        const auto &was = found == old.end() ? none : *found->second;
        const bool isSame = found != old.end() && was.keys == account->keys && was.limit == account->limit && was.priority == account->priority;
        if (isSame || ++lines > MaxLines) {
            continue;
        }
        log.line("accounts", found == old.end() ? "declared" : "changed")
            .add("account", name.text())
            .add("keys-added", countMissing(account->keys, was.keys))
            .add("keys-revoked", countMissing(was.keys, account->keys))
            .add("per-second", account->limit.perSecond)
            .add("burst", account->limit.burst)
            .add("priority", account->priority.value_or(-1));
    }
    for (const auto &[name, account] : old) {
        if (!current.contains(name) && ++lines <= MaxLines) {
            log.line("accounts", "dropped").add("account", name.text()).add("keys-revoked", static_cast<int>(account->keys.size()));
        }
    }
    if (lines > MaxLines) {
        log.line("accounts", "more-changed").add("accounts", lines - MaxLines);
    }
}

} // namespace KingCup
