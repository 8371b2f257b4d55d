// Selects the version that a bare model name resolves to while the current version is being replaced: the old version until
// the new one is resident somewhere or the old one no longer is.
#pragma once

#include "core/declarations.h"
#include "core/ids.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace KingCup
{

/// Without this class, a change of `current` would take effect as soon as an entry process adopts the revision, and every caller of the bare name
/// would be refused until the new weights are loaded.
class VersionSwitch
{
public:
    /// Whether some live target has the artifact resident.
    using IsResident = std::function<bool(const ArtifactName &)>;

    // Queries
    /// The version to use for the model; empty if the model isn't declared.
    auto effective(const std::string &model) const -> ArtifactName;
    /// Old versions that are still in use, though they may no longer be declared. The planner and the agents must keep them resident.
    auto retained() const -> std::vector<ArtifactName>;

    // Commands
    /// Call when a revision is adopted, and about once a second.
    auto update(const Declarations &declarations, const IsResident &isResident) -> void;

private:
    std::map<std::string, ArtifactName> m_effective; ///< version in use, by model
    std::map<std::string, ArtifactName> m_declared; ///< declared current version, by model
};

} // namespace KingCup
