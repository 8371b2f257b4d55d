#include "core/declarationcodec.h"

#include "core/jsontext.h"

#include <nlohmann/json.hpp>

namespace KingCup
{

namespace
{

using Json = nlohmann::json;

template<typename T>
auto read(const Json &json, const char *key, T &value) -> void
{
    const auto found = json.find(key);
    if (found != json.end()) {
        found->get_to(value);
    }
}

template<typename Tag>
auto readName(const Json &json, const char *key, StrongName<Tag> &name) -> void
{
    std::string text = name.text();
    read(json, key, text);
    name = StrongName<Tag>(text);
}

auto readMillis(const Json &json, const char *key, Duration &span) -> void
{
    auto millis = span.inMillis();
    read(json, key, millis);
    span = Duration::millis(millis);
}

auto toJson(const Service &service) -> Json
{
    Json calls = Json::array();
    for (const auto &call : service.nonIdempotentCalls) {
        calls.push_back({{"method", call.method}, {"pathPrefix", call.pathPrefix}});
    }
    return {
        {"kind", service.kind == ServiceKind::Plain ? "plain" : "models"},
        {"priority", toString(service.priority)},
        {"timeBudgetMs", service.timeBudget.inMillis()},
        {"share", service.share},
        {"nonIdempotent", calls},
        {"claimRetentionMs", service.claimRetention.inMillis()},
    };
}

auto serviceFromJson(const std::string &name, const Json &json) -> Service
{
    Service service {.name = ServiceName(name)};
    std::string kind;
    std::string priority;
    read(json, "kind", kind);
    read(json, "priority", priority);
    service.kind = kind == "plain" ? ServiceKind::Plain : ServiceKind::Models;
    service.priority = priorityFromString(priority).value_or(service.priority);
    readMillis(json, "timeBudgetMs", service.timeBudget);
    read(json, "share", service.share);
    readMillis(json, "claimRetentionMs", service.claimRetention);
    if (const auto calls = json.find("nonIdempotent"); calls != json.end()) {
        for (const auto &call : *calls) {
            NonIdempotentCall pattern;
            read(call, "method", pattern.method);
            read(call, "pathPrefix", pattern.pathPrefix);
            service.nonIdempotentCalls.push_back(pattern);
        }
    }
    return service;
}

auto toJson(const Model &model) -> Json
{
    return {{"service", model.service.text()}, {"current", model.current.text()}};
}

auto modelFromJson(const std::string &name, const Json &json) -> Model
{
    Model model {.name = name};
    readName(json, "service", model.service);
    readName(json, "current", model.current);
    return model;
}

auto toJson(const Artifact &artifact) -> Json
{
    Json json {{"service", artifact.service.text()}, {"bytes", artifact.size.count()}};
    if (artifact.kind == ArtifactKind::Adapter) {
        json["base"] = artifact.base.text();
    }
    return json;
}

auto artifactFromJson(const std::string &name, const Json &json) -> Artifact
{
    Artifact artifact {.name = ArtifactName(name)};
    artifact.kind = json.contains("base") ? ArtifactKind::Adapter : ArtifactKind::ModelVersion;
    readName(json, "service", artifact.service);
    readName(json, "base", artifact.base);
    std::int64_t bytes = 0;
    read(json, "bytes", bytes);
    artifact.size = Bytes(bytes);
    return artifact;
}

auto toJson(const Target &target) -> Json
{
    return {
        {"service", target.service.text()},
        {"checksFence", target.fencing == FencingSupport::Checked},
        {"longestOrderDelayMs", target.longestOrderDelay.inMillis()},
    };
}

auto targetFromJson(const std::string &id, const Json &json) -> Target
{
    Target target {.id = TargetId(id)};
    readName(json, "service", target.service);
    bool checksFence = false;
    read(json, "checksFence", checksFence);
    target.fencing = checksFence ? FencingSupport::Checked : FencingSupport::Ignored;
    readMillis(json, "longestOrderDelayMs", target.longestOrderDelay);
    return target;
}

auto toJson(const Policy &policy) -> Json
{
    return {
        {"moveCost", policy.moveCost},
        {"horizonMs", policy.horizon.inMillis()},
        {"loadsPerSecond", policy.loadsPerSecond},
        {"parallelLoads", policy.parallelLoads},
        {"kvReserve", policy.kvReserve},
        {"floorZones", policy.floorZones},
    };
}

auto policyFromJson(const Json &json) -> Policy
{
    Policy policy;
    read(json, "moveCost", policy.moveCost);
    readMillis(json, "horizonMs", policy.horizon);
    read(json, "loadsPerSecond", policy.loadsPerSecond);
    read(json, "parallelLoads", policy.parallelLoads);
    read(json, "kvReserve", policy.kvReserve);
    read(json, "floorZones", policy.floorZones);
    return policy;
}

auto keyText(const std::string &key) -> const std::string &
{
    return key;
}
template<typename Tag>
auto keyText(const StrongName<Tag> &key) -> const std::string &
{
    return key.text();
}

template<typename Map>
auto mapToJson(const Map &map) -> Json
{
    Json json = Json::object();
    for (const auto &[key, value] : map) {
        json[keyText(key)] = toJson(value);
    }
    return json;
}

auto requireObject(const Json &json) -> void
{
    json.get_ref<const Json::object_t &>();
}

template<typename Map, typename FromJson>
auto mapFromJson(const Json &json, const char *key, Map &map, FromJson fromJson) -> void
{
    // If this part is missing or has another type, the text is truncated or isn't a set of declarations: at() and get_ref() throw.
    for (const auto &[name, value] : json.at(key).get_ref<const Json::object_t &>()) {
        requireObject(value);
        map.emplace(typename Map::key_type(name), fromJson(name, value));
    }
}

template<typename Map>
auto addDifferences(const char *kind, const Map &from, const Map &to, std::vector<DeclarationChange> &changes) -> void
{
    for (const auto &[key, value] : to) {
        const auto known = from.find(key);
        const auto what = kind + (" " + keyText(key));
        if (known == from.end()) {
            changes.push_back({DeclarationChange::Kind::Added, what});
        } else if (toJson(known->second) != toJson(value)) {
            changes.push_back({DeclarationChange::Kind::Changed, what});
        }
    }
    for (const auto &[key, value] : from) {
        if (!to.contains(key)) {
            changes.push_back({DeclarationChange::Kind::Removed, kind + (" " + keyText(key))});
        }
    }
}

} // namespace

auto declarationsToJson(const Declarations &declarations) -> std::string
{
    // nlohmann::json keeps the members of objects sorted, which makes the text canonical.
    const Json json {
        {"services", mapToJson(declarations.services)},
        {"models", mapToJson(declarations.models)},
        {"artifacts", mapToJson(declarations.artifacts)},
        {"targets", mapToJson(declarations.targets)},
        {"policy", toJson(declarations.policy)},
    };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto declarationsFromJson(const std::string &text) -> Result<Declarations>
{
    if (const auto at = findExcessiveNesting(text)) {
        return Error {ErrorCode::InvalidInput, "declarations: nested too deeply at byte " + std::to_string(*at)};
    }
    try {
        const auto json = Json::parse(text);
        Declarations set;
        mapFromJson(json, "services", set.services, serviceFromJson);
        mapFromJson(json, "models", set.models, modelFromJson);
        mapFromJson(json, "artifacts", set.artifacts, artifactFromJson);
        mapFromJson(json, "targets", set.targets, targetFromJson);
        set.policy = policyFromJson(json.at("policy"));
        linkVersions(set);
        return set;
    } catch (const Json::exception &error) {
        return Error {ErrorCode::InvalidInput, std::string("declarations: ") + error.what()};
    }
}

auto isSameSet(const Declarations &a, const Declarations &b) -> bool
{
    return declarationsToJson(a) == declarationsToJson(b);
}

auto differences(const Declarations &from, const Declarations &to) -> std::vector<DeclarationChange>
{
    std::vector<DeclarationChange> changes;
    addDifferences("service", from.services, to.services, changes);
    addDifferences("model", from.models, to.models, changes);
    addDifferences("artifact", from.artifacts, to.artifacts, changes);
    addDifferences("target", from.targets, to.targets, changes);
    if (toJson(from.policy) != toJson(to.policy)) {
        changes.push_back({DeclarationChange::Kind::Changed, "policy"});
    }
    return changes;
}

} // namespace KingCup
