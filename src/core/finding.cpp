#include "core/finding.h"

namespace KingCup
{

auto toString(const Finding &finding) -> std::string
{
    if (finding.location.file.empty()) {
        return finding.message;
    }
    return finding.location.file + ":" + std::to_string(finding.location.line) + ": " + finding.message;
}

} // namespace KingCup
