// Client accounts: who may call, with which keys, and how much. Pure.
//
// Keys are kept and looked up by digest only: a key that a caller presents stays in its request, and no log, metric or message can show it.
//
// Index of sections (search for [SECTION]):
//   Keys          digests, and how a request presents a key
//   Account       what is declared
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

/// The key in the value of an Authorization header, "Bearer KEY" (RFC 6750). Nothing if it has another form.
auto bearerKey(std::string_view authorization) -> std::optional<std::string_view>;

// [SECTION] Account

enum class UsageUnit {
    Requests, ///< each request counts as one
    Tokens, ///< a request counts as its prompt tokens and the most that it may generate
};

/// What one account may use, over all gateways together.
struct UsageLimit {
    UsageUnit unit = UsageUnit::Requests;
    double perSecond = 0; ///< 0: not limited
    double burst = 0; ///< beyond the rate
    double defaultTokens = 1; ///< counted for a request that doesn't say how many tokens it uses

    auto isLimited() const -> bool
    {
        return perSecond > 0;
    }
    /// Of a request with so many tokens; 0: it doesn't say.
    auto costOf(std::int64_t tokens) const -> double;

    auto operator==(const UsageLimit &) const -> bool = default;
};

struct ClientAccount {
    AccountName name;
    std::vector<KeyDigest> keys;
    std::optional<int> priority; ///< replaces that of the route
    UsageLimit limit;
};

// [SECTION] AccountTable

class AccountTable
{
public:
    AccountTable() = default;
    /// A key that two accounts have belongs to the first.
    explicit AccountTable(std::vector<ClientAccount> accounts);

    auto accounts() const -> const std::vector<ClientAccount> &;
    auto find(const KeyDigest &key) const -> const ClientAccount *; ///< null: no account has this key

private:
    /// Digests are uniform: their first bytes make a hash.
    struct DigestHash {
        auto operator()(const KeyDigest &digest) const noexcept -> std::size_t;
    };

    std::vector<ClientAccount> m_accounts;
    std::unordered_map<KeyDigest, std::size_t, DigestHash> m_byKey;
};

} // namespace KingCup
