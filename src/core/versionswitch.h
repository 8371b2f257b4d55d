// Which version a bare model name stands for while its current version is being replaced: the old one until the new one is resident.
#pragma once

#include "core/declarations.h"
#include "core/ids.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace KingCup
{

/// Without this, a change of `current` takes effect as soon as an entry adopts the revision, while the new weights still load: every
/// caller of the bare name would be refused for that time.
class VersionSwitch
{
public:
    /// Whether some live target has the artifact resident.
    using IsResident = std::function<bool(const ArtifactName &)>;

    // Queries
    /// The version to use for the model; empty if it isn't known.
    auto effective(const std::string &model) const -> ArtifactName;
    /// Old versions that are still in use though perhaps no longer declared; the planner and agents must keep them.
    auto retained() const -> std::vector<ArtifactName>;

    // Commands
    /// Call when a revision is adopted, and about once a second.
    auto update(const Declarations &declarations, const IsResident &isResident) -> void;

private:
    std::map<std::string, ArtifactName> m_effective;
    std::map<std::string, ArtifactName> m_declared;
};

} // namespace KingCup
