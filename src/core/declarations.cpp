#include "core/declarations.h"

#include <algorithm>
#include <cctype>

namespace KingCup
{

auto toString(Priority priority) -> const char *
{
    switch (priority) {
    case Priority::Interactive:
        return "interactive";
    case Priority::Standard:
        return "standard";
    case Priority::Batch:
        return "batch";
    }
    return "standard";
}

auto priorityFromString(const std::string &text) -> std::optional<Priority>
{
    for (const auto priority : {Priority::Interactive, Priority::Standard, Priority::Batch}) {
        if (text == toString(priority)) {
            return priority;
        }
    }
    return std::nullopt;
}

namespace
{

constexpr std::size_t MaxNameLength = 200;
constexpr double MaxKvReserve = 0.95;

auto checkName(const std::string &what, const std::string &name, const SourceLocation &place, Findings &findings) -> void
{
    if (!isValidName(name)) {
        findings.push_back({place, what + " '" + name + "': not a name (letters, digits, - _ . @)"});
    }
}

auto checkCall(const Service &service, const NonIdempotentCall &call, Findings &findings) -> void
{
    if (call.method.empty() || !call.pathPrefix.starts_with('/')) {
        findings.push_back({service.location, "service " + service.name.text() + ": '" + call.method + " " + call.pathPrefix + "' is not METHOD /PATH"});
    }
}

auto checkService(const Service &service, Findings &findings) -> void
{
    const std::string what = "service " + service.name.text() + ": ";
    checkName("service", service.name.text(), service.location, findings);
    if (service.kind == ServiceKind::Models && !service.nonIdempotentCalls.empty()) {
        findings.push_back({service.location, what + "non-idempotent calls belong to plain services"});
    }
    if (!(service.share > 0)) {
        findings.push_back({service.location, what + "share must be above 0"});
    }
    if (service.timeBudget <= Duration() || service.claimRetention <= Duration()) {
        findings.push_back({service.location, what + "time budget and claim retention must be above 0"});
    }
    for (const auto &call : service.nonIdempotentCalls) {
        checkCall(service, call, findings);
    }
}

auto checkTarget(const Declarations &declarations, const Target &target, Findings &findings) -> void
{
    const std::string what = "target " + target.id.text() + ": ";
    checkName("target", target.id.text(), target.location, findings);
    if (!declarations.services.contains(target.service)) {
        findings.push_back({target.location, what + "unknown service '" + target.service.text() + "'"});
    }
    if (target.longestOrderDelay < Duration()) {
        findings.push_back({target.location, what + "longest order delay must not be below 0"});
    }
}

auto checkPolicy(const Policy &policy, Findings &findings) -> void
{
    const auto require = [&](bool holds, const char *message) {
        if (!holds) {
            findings.push_back({policy.location, std::string("policy: ") + message});
        }
    };
    require(policy.moveCost >= 0, "move cost must not be below 0");
    require(policy.horizon > Duration(), "horizon must be above 0");
    require(policy.loadsPerSecond > 0, "loads per second must be above 0");
    require(policy.parallelLoads > 0, "parallel loads must be above 0");
    require(policy.kvReserve >= 0 && policy.kvReserve <= MaxKvReserve, "KV reserve must be from 0 to 0.95");
    require(policy.floorZones > 0, "floor zones must be above 0");
}

auto checkAdapter(const Declarations &declarations, const Artifact &artifact, Findings &findings) -> void
{
    const std::string what = "artifact " + artifact.name.text() + ": ";
    const auto base = declarations.artifacts.find(artifact.base);
    if (base == declarations.artifacts.end()) {
        findings.push_back({artifact.location, what + "unknown base model '" + artifact.base.text() + "'"});
    } else if (base->second.kind == ArtifactKind::Adapter) {
        findings.push_back({artifact.location, what + "base '" + artifact.base.text() + "' is itself an adapter"});
    } else if (artifact.service != base->second.service) {
        findings.push_back({artifact.location, what + "is not of its base's service '" + base->second.service.text() + "'"});
    }
}

auto checkArtifact(const Declarations &declarations, const Artifact &artifact, Findings &findings) -> void
{
    const std::string what = "artifact " + artifact.name.text() + ": ";
    checkName("artifact", artifact.name.text(), artifact.location, findings);
    if (artifact.size <= Bytes(0)) {
        findings.push_back({artifact.location, what + "size must be above 0"});
    }
    if (artifact.kind == ArtifactKind::Adapter) {
        checkAdapter(declarations, artifact, findings);
        return;
    }
    const auto model = declarations.models.find(modelOfVersion(artifact.name));
    if (model == declarations.models.end()) {
        findings.push_back({artifact.location, what + "no model '" + modelOfVersion(artifact.name) + "' is declared for this version"});
    } else if (artifact.service != model->second.service) {
        findings.push_back({artifact.location, what + "is not of its model's service '" + model->second.service.text() + "'"});
    }
}

auto checkModel(const Declarations &declarations, const Model &model, Findings &findings) -> void
{
    checkName("model", model.name, model.location, findings);
    const auto service = declarations.services.find(model.service);
    if (service == declarations.services.end()) {
        findings.push_back({model.location, "model " + model.name + ": unknown service '" + model.service.text() + "'"});
    } else if (service->second.kind != ServiceKind::Models) {
        findings.push_back({model.location, "model " + model.name + ": service '" + model.service.text() + "' is a plain service"});
    }
    if (std::find(model.versions.begin(), model.versions.end(), model.current) == model.versions.end()) {
        findings.push_back({model.location, "model " + model.name + ": current version '" + model.current.text() + "' is not declared"});
    }
    for (const auto &version : model.versions) {
        if (!declarations.artifacts.contains(version)) {
            findings.push_back({model.location, "model " + model.name + ": unknown version '" + version.text() + "'"});
        }
    }
    if (declarations.artifacts.contains(ArtifactName(model.name))) {
        findings.push_back({model.location, "model " + model.name + ": an adapter or version has the same name"});
    }
}

} // namespace

auto isValidName(const std::string &text) -> bool
{
    const auto isAllowed = [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.' || letter == '@';
    };
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), isAllowed);
}

auto modelOfVersion(const ArtifactName &version) -> std::string
{
    const auto at = version.text().find('@');
    return at == std::string::npos ? std::string() : version.text().substr(0, at);
}

auto linkVersions(Declarations &declarations) -> void
{
    for (auto &[name, model] : declarations.models) {
        model.versions.clear();
    }
    for (const auto &[name, artifact] : declarations.artifacts) {
        const auto model = declarations.models.find(modelOfVersion(name));
        if (artifact.kind == ArtifactKind::ModelVersion && model != declarations.models.end()) {
            const bool isCurrent = model->second.current == name;
            auto &versions = model->second.versions;
            versions.insert(isCurrent ? versions.begin() : versions.end(), name);
        }
    }
}

auto checkDeclarations(const Declarations &declarations) -> Findings
{
    Findings findings;
    for (const auto &[name, service] : declarations.services) {
        checkService(service, findings);
    }
    for (const auto &[name, artifact] : declarations.artifacts) {
        checkArtifact(declarations, artifact, findings);
    }
    for (const auto &[name, model] : declarations.models) {
        checkModel(declarations, model, findings);
    }
    for (const auto &[id, target] : declarations.targets) {
        checkTarget(declarations, target, findings);
    }
    checkPolicy(declarations.policy, findings);
    return findings;
}

auto resolveModel(const Declarations &declarations, const std::string &name) -> std::optional<ResolvedModel>
{
    if (const auto model = declarations.models.find(name); model != declarations.models.end()) {
        return ResolvedModel {model->second.service, {model->second.current}};
    }
    const auto artifact = declarations.artifacts.find(ArtifactName(name));
    if (artifact == declarations.artifacts.end()) {
        return std::nullopt;
    }
    if (artifact->second.kind == ArtifactKind::Adapter) {
        return ResolvedModel {artifact->second.service, {artifact->second.base, artifact->second.name}};
    }
    return ResolvedModel {artifact->second.service, {artifact->second.name}};
}

auto isNonIdempotent(const Service &service, const std::string &method, const std::string &path) -> bool
{
    return std::any_of(service.nonIdempotentCalls.begin(), service.nonIdempotentCalls.end(), [&](const NonIdempotentCall &call) {
        return (call.method == "*" || call.method == method) && path.starts_with(call.pathPrefix);
    });
}

} // namespace KingCup
