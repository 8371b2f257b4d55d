#include "core/finding.h"

namespace KingCup
{

auto toString(const Finding &finding) -> std::string
{
    if (finding.place.file.empty()) {
        return finding.message;
    }
    return finding.place.file + ":" + std::to_string(finding.place.line) + ": " + finding.message;
}

} // namespace KingCup
