#include "core/crashsubjects.h"

#include "core/hashing.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace KingCup
{

auto toString(const CrashSubject &subject) -> std::string
{
    constexpr int Decimal = 10;
    constexpr int Hexadecimal = 16;
    std::array<char, 24> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), subject.value, subject.isPart ? Hexadecimal : Decimal);
    return (subject.isPart ? "part:" : "request:") + std::string(digits.data(), end.ptr);
}

auto CrashSubjects::all() const -> std::vector<CrashSubject>
{
    std::vector<CrashSubject> list {request};
    list.insert(list.end(), parts.begin(), parts.end());
    return list;
}

auto CrashSubjects::contains(const CrashSubject &subject) const -> bool
{
    return subject == request || std::find(parts.begin(), parts.end(), subject) != parts.end();
}

auto requestFingerprint(std::string_view host, std::string_view path, std::string_view account, std::string_view body) -> std::uint64_t
{
    // The body's hash is used instead of the body, which may have megabytes.
    std::string text(host);
    text.append(path).append("\n").append(account).append("\n").append(std::to_string(stableHash(body)));
    return stableHash(text);
}

auto requestSubject(std::uint64_t fingerprint) -> CrashSubject
{
    return {false, fingerprint};
}

auto sharedParts(const std::vector<PromptPart> &prompt) -> std::vector<CrashSubject>
{
    std::vector<CrashSubject> parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        const CrashSubject part {true, prompt[i].id};
        if (std::find(parts.begin(), parts.end(), part) == parts.end()) {
            parts.push_back(part);
        }
    }
    return parts;
}

} // namespace KingCup
