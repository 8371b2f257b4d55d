// A plan: which artifacts each target is to hold. The floor plan lists the minimum replicas (floor), which stay resident independent of demand;
// it is stored as a table row and sent to agents, in JSON. No I/O.
#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <map>
#include <string>
#include <vector>

namespace KingCup
{

/// Key of the table row that holds the floor plan in force.
constexpr auto FloorRowKey = "plan/floor";

/// Artifacts by target, each list sorted by name. Targets without artifacts have no entry.
class Plan
{
public:
    auto operator==(const Plan &) const -> bool = default;

    auto isEmpty() const -> bool;
    auto contains(const TargetId &target, const ArtifactName &artifact) const -> bool;
    auto artifactsOn(const TargetId &target) const -> const std::vector<ArtifactName> &; ///< empty if the target has no entry
    auto holders(const ArtifactName &artifact) const -> std::vector<TargetId>; ///< ordered by target
    auto targets() const -> std::vector<TargetId>;
    auto copies() const -> std::size_t; ///< number of replicas on all targets

    auto add(const TargetId &target, const ArtifactName &artifact) -> void; ///< no effect if the plan contains it already
    auto remove(const TargetId &target, const ArtifactName &artifact) -> void;

private:
    std::map<TargetId, std::vector<ArtifactName>> m_holdings;
};

/// For example {"targets":{"runner-1":["sun@1","shade"]}}. Equal plans give equal text.
auto planToJson(const Plan &plan) -> std::string;
auto planFromJson(const std::string &text) -> Result<Plan>;

} // namespace KingCup
