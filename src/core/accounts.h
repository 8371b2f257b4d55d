// Client accounts: who may call, with which keys, and how much. No I/O.
//
// Keys are stored and looked up by digest only. The key itself exists only in the request, so no log, metric or message can leak it.
//
// Index of sections (search for [SECTION]):
//   Keys          digests, and parsing of the Authorization header
//   Account       one declared account and its usage limit
//   AccountTable  all accounts of one version of the declarations
#pragma once

#include "core/ids.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace KingCup
{

// [SECTION] Keys

using AccountName = StrongName<struct AccountNameTag>;

/// SHA-256 of a key.
struct KeyDigest {
    std::array<std::uint8_t, 32> bytes {};

    auto operator<=>(const KeyDigest &) const = default;
    auto fingerprint() const -> std::string; ///< eight hexadecimal digits, for logs
};

auto digestOf(std::string_view key) -> KeyDigest;

/// The key in the value of an Authorization header, "Bearer KEY" (RFC 6750). Empty if the value has another form.
auto bearerKey(std::string_view authorization) -> std::optional<std::string_view>;

// [SECTION] Account

enum class UsageUnit {
    Requests, ///< each request counts as one
    Tokens, ///< a request counts as its prompt tokens plus the maximum that it may generate
};

/// What one account may use, summed over all gateways.
struct UsageLimit {
    UsageUnit unit = UsageUnit::Requests;
    double perSecond = 0; ///< sustained rate; 0: not limited
    double burst = 0; ///< capacity of the token bucket
    double defaultTokens = 1; ///< counted for a request that doesn't say how many tokens it uses

    auto isLimited() const -> bool
    {
        return perSecond > 0;
    }
    auto isTokenLimit() const -> bool
    {
        return unit == UsageUnit::Tokens && isLimited();
    }
    /// The cost of a request. `tokens` is 0 if the request doesn't say how many it uses.
    auto costOf(std::int64_t tokens) const -> double;

    auto operator==(const UsageLimit &) const -> bool = default;
};

struct ClientAccount {
    AccountName name;
    std::vector<KeyDigest> keys;
    std::optional<int> priority; ///< replaces the route's priority
    UsageLimit limit;
};

// [SECTION] AccountTable

class AccountTable
{
public:
    AccountTable() = default;
    /// If two accounts declare the same key, it belongs to the first one.
    explicit AccountTable(std::vector<ClientAccount> accounts);

    auto accounts() const -> const std::vector<ClientAccount> &;
    auto find(const KeyDigest &key) const -> const ClientAccount *; ///< null if no account has this key

private:
    /// Digests are uniformly distributed, so their first bytes serve as the hash.
    struct DigestHash {
        auto operator()(const KeyDigest &digest) const noexcept -> std::size_t;
    };

    std::vector<ClientAccount> m_accounts;
    std::unordered_map<KeyDigest, std::size_t, DigestHash> m_byKey;
};

} // namespace KingCup
