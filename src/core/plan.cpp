#include "core/plan.h"

#include "core/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace KingCup
{

auto Plan::isEmpty() const -> bool
{
    return m_holdings.empty();
}

auto Plan::contains(const TargetId &target, const ArtifactName &artifact) const -> bool
{
    const auto &list = artifactsOn(target);
    return std::binary_search(list.begin(), list.end(), artifact);
}

auto Plan::artifactsOn(const TargetId &target) const -> const std::vector<ArtifactName> &
{
    static const std::vector<ArtifactName> None;
    const auto found = m_holdings.find(target);
    return found == m_holdings.end() ? None : found->second;
}

auto Plan::holders(const ArtifactName &artifact) const -> std::vector<TargetId>
{
    std::vector<TargetId> result;
    for (const auto &[target, list] : m_holdings) {
        if (std::binary_search(list.begin(), list.end(), artifact)) {
            result.push_back(target);
        }
    }
    return result;
}

auto Plan::targets() const -> std::vector<TargetId>
{
    std::vector<TargetId> result;
    for (const auto &[target, list] : m_holdings) {
        result.push_back(target);
    }
    return result;
}

auto Plan::copies() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[target, list] : m_holdings) {
        count += list.size();
    }
    return count;
}

auto Plan::add(const TargetId &target, const ArtifactName &artifact) -> void
{
    auto &list = m_holdings[target];
    const auto place = std::lower_bound(list.begin(), list.end(), artifact);
    if (place == list.end() || *place != artifact) {
        list.insert(place, artifact);
    }
}

auto Plan::remove(const TargetId &target, const ArtifactName &artifact) -> void
{
    const auto found = m_holdings.find(target);
    if (found == m_holdings.end()) {
        return;
    }
    std::erase(found->second, artifact);
    if (found->second.empty()) {
        m_holdings.erase(found);
    }
}

auto planToJson(const Plan &plan) -> std::string
{
    auto targets = nlohmann::json::object();
    for (const auto &target : plan.targets()) {
        auto list = nlohmann::json::array();
        for (const auto &artifact : plan.artifactsOn(target)) {
            list.push_back(artifact.text());
        }
        targets[target.text()] = std::move(list);
    }
    return nlohmann::json {{"targets", std::move(targets)}}.dump();
}

auto planFromJson(const std::string &text) -> Result<Plan>
{
    const auto json = parseJson(text);
    if (!json.is_object() || !json.contains("targets") || !json["targets"].is_object()) {
        return Error {ErrorCode::InvalidInput, "a plan must be a JSON object with an object \"targets\""};
    }
    Plan plan;
    for (const auto &[target, list] : json["targets"].items()) {
        if (!list.is_array()) {
            return Error {ErrorCode::InvalidInput, "target " + target + " must have an array of artifact names"};
        }
        for (const auto &artifact : list) {
            if (!artifact.is_string()) {
                return Error {ErrorCode::InvalidInput, "target " + target + " lists an artifact that is not a string"};
            }
            plan.add(TargetId(target), ArtifactName(artifact.get<std::string>()));
        }
    }
    return plan;
}

} // namespace KingCup
