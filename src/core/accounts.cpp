#include "core/accounts.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <openssl/sha.h>

namespace KingCup
{

namespace
{

constexpr std::string_view Scheme = "Bearer";

auto isBlank(char c) -> bool
{
    return c == ' ' || c == '\t';
}

auto trimmed(std::string_view text) -> std::string_view
{
    while (!text.empty() && isBlank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isBlank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Authentication schemes are case-insensitive (RFC 9110).
auto isScheme(std::string_view text) -> bool
{
    return text.size() == Scheme.size()
        && std::equal(text.begin(), text.end(), Scheme.begin(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

// [SECTION] Keys

auto KeyDigest::fingerprint() const -> std::string
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr std::size_t Shown = 4;
    std::string text;
    for (std::size_t i = 0; i < Shown; ++i) {
        text += Digits[bytes.at(i) >> 4U];
        text += Digits[bytes.at(i) & 0xfU];
    }
    return text;
}

auto digestOf(std::string_view key) -> KeyDigest
{
    KeyDigest digest;
    static_assert(sizeof(digest.bytes) == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

auto bearerKey(std::string_view authorization) -> std::optional<std::string_view>
{
    const auto text = trimmed(authorization);
    if (text.size() <= Scheme.size() || !isScheme(text.substr(0, Scheme.size())) || !isBlank(text[Scheme.size()])) {
        return std::nullopt;
    }
    const auto key = trimmed(text.substr(Scheme.size()));
    const bool isOneWord = !key.empty() && std::all_of(key.begin(), key.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
    return isOneWord ? std::optional(key) : std::nullopt;
}

// [SECTION] Account

auto UsageLimit::costOf(std::int64_t tokens) const -> double
{
    if (unit == UsageUnit::Requests) {
        return 1;
    }
    return tokens > 0 ? static_cast<double>(tokens) : defaultTokens;
}

// [SECTION] AccountTable

auto AccountTable::DigestHash::operator()(const KeyDigest &digest) const noexcept -> std::size_t
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
    return hash;
}

AccountTable::AccountTable(std::vector<ClientAccount> accounts)
    : m_accounts(std::move(accounts))
{
    for (std::size_t i = 0; i < m_accounts.size(); ++i) {
        for (const auto &key : m_accounts[i].keys) {
            m_byKey.try_emplace(key, i);
        }
    }
}

auto AccountTable::accounts() const -> const std::vector<ClientAccount> &
{
    return m_accounts;
}

auto AccountTable::find(const KeyDigest &key) const -> const ClientAccount *
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_accounts[found->second];
}

} // namespace KingCup
