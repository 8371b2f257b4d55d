// A floor plan: which artifacts each target keeps resident whatever the demand. A plain value with a JSON form, so that
// it can be a table row and travel to agents unchanged.
#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <map>
#include <string>
#include <vector>

namespace KingCup
{

/// The table's row that holds the floor plan in force.
constexpr auto FloorRowKey = "plan/floor";

/// Holdings of targets, each list sorted by name. Targets that hold nothing are left out.
class Plan
{
public:
    auto operator==(const Plan &) const -> bool = default;

    auto isEmpty() const -> bool;
    auto contains(const TargetId &target, const ArtifactName &artifact) const -> bool;
    auto artifactsOn(const TargetId &target) const -> const std::vector<ArtifactName> &; ///< empty if the target isn't named
    auto holders(const ArtifactName &artifact) const -> std::vector<TargetId>; ///< in the targets' order
    auto targets() const -> std::vector<TargetId>;
    auto copies() const -> std::size_t; ///< over all targets

    auto add(const TargetId &target, const ArtifactName &artifact) -> void; ///< twice is once
    auto remove(const TargetId &target, const ArtifactName &artifact) -> void;

private:
    std::map<TargetId, std::vector<ArtifactName>> m_holdings;
};

/// {"targets":{"runner-1":["sun@1","shade"]}}; equal plans give equal text.
auto planToJson(const Plan &plan) -> std::string;
auto planFromJson(const std::string &text) -> Result<Plan>;

} // namespace KingCup
