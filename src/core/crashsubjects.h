// What may crash each target that runs a request: the request itself, or one of the parts of its prompt. Plain data.
//
// The last part of a prompt belongs to the request or its session alone. What it does to targets is counted for the request.
#pragma once

#include "core/promptcache.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

/// A request, or a prompt part that requests may share.
struct CrashSubject {
    bool isPart = false;
    std::uint64_t value = 0; ///< the request's fingerprint, or the part's id

    auto operator<=>(const CrashSubject &) const = default;
};
auto toString(const CrashSubject &subject) -> std::string; ///< "request:FINGERPRINT", or "part:ID" with the id in hexadecimal, as in requests

/// All that may make one request crash its targets.
struct CrashSubjects {
    CrashSubject request;
    std::vector<CrashSubject> parts; ///< each once

    auto all() const -> std::vector<CrashSubject>;
    auto contains(const CrashSubject &subject) const -> bool;
};

/// A fingerprint that is equal for requests of the same account with the same host, path and body. `account`: empty if it has none.
auto requestFingerprint(std::string_view host, std::string_view path, std::string_view account, std::string_view body) -> std::uint64_t;
auto requestSubject(std::uint64_t fingerprint) -> CrashSubject;
/// The prompt parts that other requests may share.
auto sharedParts(const std::vector<PromptPart> &prompt) -> std::vector<CrashSubject>;

} // namespace KingCup

template<>
struct std::hash<KingCup::CrashSubject> {
    auto operator()(const KingCup::CrashSubject &subject) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t>()(subject.value) ^ static_cast<std::size_t>(subject.isPart);
    }
};
