#include "core/versionswitch.h"

namespace KingCup
{

auto VersionSwitch::effective(const std::string &model) const -> ArtifactName
{
    const auto found = m_effective.find(model);
    return found == m_effective.end() ? ArtifactName() : found->second;
}

auto VersionSwitch::retained() const -> std::vector<ArtifactName>
{
    std::vector<ArtifactName> result;
    for (const auto &[model, version] : m_effective) {
        if (version != m_declared.at(model)) {
            result.push_back(version);
        }
    }
    return result;
}

auto VersionSwitch::update(const Declarations &declarations, const IsResident &isResident) -> void
{
    std::erase_if(m_effective, [&](const auto &entry) { return !declarations.models.contains(entry.first); });
    m_declared.clear();
    for (const auto &[name, model] : declarations.models) {
        m_declared[name] = model.current;
        auto &version = m_effective[name];
        const bool isFirst = version.isEmpty();
        const bool oldIsGone = !isFirst && !isResident(version);
        if (isFirst || oldIsGone || isResident(model.current)) {
            version = model.current;
        }
    }
}

} // namespace KingCup
