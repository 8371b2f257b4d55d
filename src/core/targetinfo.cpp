#include "core/targetinfo.h"

#include <algorithm>

namespace KingCup
{

auto ResidentModel::hasAdapter(std::string_view adapter) const -> bool
{
    return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

auto TargetDescription::model(std::string_view name) const -> const ResidentModel *
{
    const auto found = std::find_if(models.begin(), models.end(), [&](const ResidentModel &held) { return held.name == name; });
    return found == models.end() ? nullptr : &*found;
}

} // namespace KingCup
