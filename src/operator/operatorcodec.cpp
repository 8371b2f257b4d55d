#include "operator/operatorcodec.h"

#include <google/protobuf/message.h>

namespace KingCup
{

namespace
{

constexpr int MillisPerSecond = 1000;

auto toProto(const SourceLocation &place) -> OperatorProto::Place
{
    OperatorProto::Place message;
    message.set_file(place.file);
    message.set_line(place.line);
    return message;
}

auto fromProto(const OperatorProto::Place &message) -> SourceLocation
{
    return {message.file(), message.line()};
}

auto toProto(Priority priority) -> OperatorProto::Priority
{
    return static_cast<OperatorProto::Priority>(static_cast<int>(priority) + 1);
}

auto fromProto(OperatorProto::Priority priority) -> Priority
{
    return priority == OperatorProto::PRIORITY_UNSET ? Priority::Standard : static_cast<Priority>(static_cast<int>(priority) - 1);
}

auto toProto(const Service &service) -> OperatorProto::Service
{
    OperatorProto::Service message;
    message.set_name(service.name.text());
    message.set_kind(service.kind == ServiceKind::Plain ? OperatorProto::SERVICE_KIND_PLAIN : OperatorProto::SERVICE_KIND_MODELS);
    message.set_priority(toProto(service.priority));
    message.set_time_budget_ms(service.timeBudget.inMillis());
    message.set_share(service.share);
    message.set_claim_retention_s(service.claimRetention.inMillis() / MillisPerSecond);
    for (const auto &call : service.nonIdempotentCalls) {
        auto *pattern = message.add_non_idempotent_calls();
        pattern->set_method(call.method);
        pattern->set_path_prefix(call.pathPrefix);
    }
    *message.mutable_place() = toProto(service.location);
    return message;
}

auto fromProto(const OperatorProto::Service &message) -> Service
{
    Service service {.name = ServiceName(message.name())};
    service.kind = message.kind() == OperatorProto::SERVICE_KIND_PLAIN ? ServiceKind::Plain : ServiceKind::Models;
    service.priority = fromProto(message.priority());
    // An absent number is read as 0 and means the default.
    if (message.time_budget_ms() != 0) {
        service.timeBudget = Duration::millis(message.time_budget_ms());
    }
    if (message.share() != 0) {
        service.share = message.share();
    }
    if (message.claim_retention_s() != 0) {
        service.claimRetention = Duration::seconds(static_cast<double>(message.claim_retention_s()));
    }
    for (const auto &pattern : message.non_idempotent_calls()) {
        service.nonIdempotentCalls.push_back({pattern.method(), pattern.path_prefix()});
    }
    service.location = fromProto(message.place());
    return service;
}

auto toProto(const Model &model) -> OperatorProto::Model
{
    OperatorProto::Model message;
    message.set_name(model.name);
    message.set_service(model.service.text());
    message.set_current(model.current.text());
    *message.mutable_place() = toProto(model.location);
    return message;
}

auto fromProto(const OperatorProto::Model &message) -> Model
{
    return {.name = message.name(),
            .service = ServiceName(message.service()),
            .current = ArtifactName(message.current()),
            .versions = {},
            .location = fromProto(message.place())};
}

auto toVersion(const Artifact &artifact) -> OperatorProto::Version
{
    OperatorProto::Version message;
    message.set_name(artifact.name.text());
    message.set_service(artifact.service.text());
    message.set_size_bytes(artifact.size.count());
    *message.mutable_place() = toProto(artifact.location);
    return message;
}

auto fromProto(const OperatorProto::Version &message) -> Artifact
{
    return {.name = ArtifactName(message.name()),
            .kind = ArtifactKind::ModelVersion,
            .service = ServiceName(message.service()),
            .base = {},
            .size = Bytes(message.size_bytes()),
            .location = fromProto(message.place())};
}

auto toAdapter(const Artifact &artifact) -> OperatorProto::Adapter
{
    OperatorProto::Adapter message;
    message.set_name(artifact.name.text());
    message.set_service(artifact.service.text());
    message.set_base(artifact.base.text());
    message.set_size_bytes(artifact.size.count());
    *message.mutable_place() = toProto(artifact.location);
    return message;
}

auto fromProto(const OperatorProto::Adapter &message) -> Artifact
{
    return {.name = ArtifactName(message.name()),
            .kind = ArtifactKind::Adapter,
            .service = ServiceName(message.service()),
            .base = ArtifactName(message.base()),
            .size = Bytes(message.size_bytes()),
            .location = fromProto(message.place())};
}

auto toProto(const Target &target) -> OperatorProto::Target
{
    OperatorProto::Target message;
    message.set_id(target.id.text());
    message.set_service(target.service.text());
    message.set_checks_fence(target.fencing == FencingSupport::Checked);
    message.set_longest_order_delay_ms(target.longestOrderDelay.inMillis());
    *message.mutable_place() = toProto(target.location);
    return message;
}

auto fromProto(const OperatorProto::Target &message) -> Target
{
    return {.id = TargetId(message.id()),
            .service = ServiceName(message.service()),
            .fencing = message.checks_fence() ? FencingSupport::Checked : FencingSupport::Ignored,
            .longestOrderDelay = Duration::millis(message.longest_order_delay_ms()),
            .location = fromProto(message.place())};
}

auto toProto(const Policy &policy) -> OperatorProto::Policy
{
    OperatorProto::Policy message;
    message.set_move_cost(policy.moveCost);
    message.set_horizon_ms(policy.horizon.inMillis());
    message.set_loads_per_second(policy.loadsPerSecond);
    message.set_parallel_loads(policy.parallelLoads);
    message.set_kv_reserve(policy.kvReserve);
    message.set_floor_zones(policy.floorZones);
    *message.mutable_place() = toProto(policy.location);
    return message;
}

auto fromProto(const OperatorProto::Policy &message) -> Policy
{
    return {.moveCost = message.move_cost(),
            .horizon = Duration::millis(message.horizon_ms()),
            .loadsPerSecond = message.loads_per_second(),
            .parallelLoads = message.parallel_loads(),
            .kvReserve = message.kv_reserve(),
            .floorZones = message.floor_zones(),
            .location = fromProto(message.place())};
}

template<typename Map, typename Key, typename Value>
auto insertNew(Map &map, const Key &key, Value value, const std::string &what, Findings &findings) -> void
{
    const auto place = value.location;
    if (!map.emplace(key, std::move(value)).second) {
        findings.push_back({place, what + " is declared twice"});
    }
}

template<typename Map, typename Key>
auto remove(Map &map, const Key &key, const std::string &what, Findings &findings) -> void
{
    if (map.erase(key) == 0) {
        findings.push_back({{}, what + " is not declared"});
    }
}

auto removeArtifact(Declarations &set, const std::string &name, ArtifactKind kind, Findings &findings) -> void
{
    const auto known = set.artifacts.find(ArtifactName(name));
    if (known == set.artifacts.end() || known->second.kind != kind) {
        findings.push_back({{}, "artifact " + name + " is not declared"});
        return;
    }
    set.artifacts.erase(known);
}

auto outcomeToProto(ChangeOutcome outcome) -> OperatorProto::ChangeOutcome
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return OperatorProto::CHANGE_OUTCOME_ACCEPTED;
    case ChangeOutcome::Unchanged:
        return OperatorProto::CHANGE_OUTCOME_UNCHANGED;
    case ChangeOutcome::Refused:
        return OperatorProto::CHANGE_OUTCOME_REFUSED;
    case ChangeOutcome::Conflict:
        return OperatorProto::CHANGE_OUTCOME_CONFLICT;
    case ChangeOutcome::Unavailable:
        return OperatorProto::CHANGE_OUTCOME_UNAVAILABLE;
    case ChangeOutcome::Unknown:
        break;
    }
    return OperatorProto::CHANGE_OUTCOME_UNKNOWN;
}

auto toProto(const ProcessStatus &process) -> OperatorProto::ProcessStatus
{
    OperatorProto::ProcessStatus message;
    message.set_id(process.id);
    message.set_role(process.role);
    message.set_zone(process.zone.text());
    message.set_state(process.state);
    message.set_revision(process.revision.value());
    message.set_memory_total(process.memoryTotal.count());
    message.set_memory_charged(process.memoryCharged.count());
    message.set_running(static_cast<std::uint32_t>(process.running));
    message.set_queued(static_cast<std::uint32_t>(process.queued));
    for (const auto &resident : process.residents) {
        message.add_residents(resident.text());
    }
    return message;
}

class UnknownFieldCollector
{
public:
    auto collect(const google::protobuf::Message &message) -> void
    {
        const auto *reflection = message.GetReflection();
        const auto &unknown = reflection->GetUnknownFields(message);
        for (int index = 0; index < unknown.field_count(); ++index) {
            m_names.push_back("field " + std::to_string(unknown.field(index).number()) + " of " + message.GetDescriptor()->name());
        }
        std::vector<const google::protobuf::FieldDescriptor *> fields;
        reflection->ListFields(message, &fields);
        for (const auto *field : fields) {
            collectField(message, *field);
        }
    }

    auto names() const -> const std::vector<std::string> &
    {
        return m_names;
    }

private:
    auto collectField(const google::protobuf::Message &message, const google::protobuf::FieldDescriptor &field) -> void
    {
        const auto *reflection = message.GetReflection();
        if (field.cpp_type() == google::protobuf::FieldDescriptor::CPPTYPE_ENUM && !field.is_repeated()) {
            const int value = reflection->GetEnumValue(message, &field);
            if (field.enum_type()->FindValueByNumber(value) == nullptr) {
                m_names.push_back("value " + std::to_string(value) + " of " + field.full_name());
            }
        }
        if (field.cpp_type() != google::protobuf::FieldDescriptor::CPPTYPE_MESSAGE) {
            return;
        }
        if (!field.is_repeated()) {
            collect(reflection->GetMessage(message, &field));
            return;
        }
        for (int index = 0; index < reflection->FieldSize(message, &field); ++index) {
            collect(reflection->GetRepeatedMessage(message, &field, index));
        }
    }

    std::vector<std::string> m_names;
};

} // namespace

auto toProto(const Declarations &set) -> OperatorProto::DeclarationSet
{
    OperatorProto::DeclarationSet message;
    for (const auto &[name, service] : set.services) {
        *message.add_services() = toProto(service);
    }
    for (const auto &[name, model] : set.models) {
        *message.add_models() = toProto(model);
    }
    for (const auto &[name, artifact] : set.artifacts) {
        if (artifact.kind == ArtifactKind::Adapter) {
            *message.add_adapters() = toAdapter(artifact);
        } else {
            *message.add_versions() = toVersion(artifact);
        }
    }
    for (const auto &[id, target] : set.targets) {
        *message.add_targets() = toProto(target);
    }
    *message.mutable_policy() = toProto(set.policy);
    return message;
}

auto fromProto(const OperatorProto::DeclarationSet &message) -> Checked<Declarations>
{
    Checked<Declarations> result;
    auto &set = result.value;
    for (const auto &service : message.services()) {
        insertNew(set.services, ServiceName(service.name()), fromProto(service), "service " + service.name(), result.findings);
    }
    for (const auto &model : message.models()) {
        insertNew(set.models, model.name(), fromProto(model), "model " + model.name(), result.findings);
    }
    for (const auto &version : message.versions()) {
        insertNew(set.artifacts, ArtifactName(version.name()), fromProto(version), "artifact " + version.name(), result.findings);
    }
    for (const auto &adapter : message.adapters()) {
        insertNew(set.artifacts, ArtifactName(adapter.name()), fromProto(adapter), "artifact " + adapter.name(), result.findings);
    }
    for (const auto &target : message.targets()) {
        insertNew(set.targets, TargetId(target.id()), fromProto(target), "target " + target.id(), result.findings);
    }
    if (message.has_policy()) {
        set.policy = fromProto(message.policy());
    }
    linkVersions(set);
    return result;
}

auto toProto(const Finding &finding) -> OperatorProto::Finding
{
    OperatorProto::Finding message;
    *message.mutable_place() = toProto(finding.location);
    message.set_message(finding.message);
    return message;
}

auto fromProto(const OperatorProto::Finding &message) -> Finding
{
    return {fromProto(message.place()), message.message()};
}

auto toProto(const ChangeAnswer &answer) -> OperatorProto::ChangeReply
{
    OperatorProto::ChangeReply message;
    message.set_outcome(outcomeToProto(answer.outcome));
    message.set_revision(answer.revision.value());
    message.set_message(answer.message);
    for (const auto &finding : answer.findings) {
        *message.add_findings() = toProto(finding);
    }
    return message;
}

auto toProto(const SystemStatus &status) -> OperatorProto::StatusReply
{
    OperatorProto::StatusReply message;
    message.set_revision(status.revision.value());
    message.set_in_force(status.inForce.value());
    message.set_laggard(status.laggard);
    message.set_store_reachable(status.storeReachable);
    message.set_plan_version(status.planVersion.value());
    for (const auto &process : status.processes) {
        *message.add_processes() = toProto(process);
    }
    for (const auto &artifact : status.artifacts) {
        auto *model = message.add_models();
        model->set_artifact(artifact.artifact.text());
        model->set_copies(artifact.copies);
        model->set_zones(artifact.zones);
        model->set_demand_per_second(artifact.demandPerSecond);
    }
    return message;
}

auto toProto(const std::vector<RecentDecision> &decisions) -> OperatorProto::ExplainReply
{
    OperatorProto::ExplainReply message;
    for (const auto &decision : decisions) {
        auto *added = message.add_decisions();
        added->set_age_ms(decision.age.inMillis());
        added->set_part(decision.part);
        added->set_subject(decision.subject);
        added->set_text(decision.text);
    }
    return message;
}

auto mergeChange(const OperatorProto::ChangeRequest &request, Declarations &set) -> Findings
{
    Findings findings;
    using Change = OperatorProto::ChangeRequest;
    switch (request.change_case()) {
    case Change::kPutService:
        set.services[ServiceName(request.put_service().name())] = fromProto(request.put_service());
        break;
    case Change::kPutModel:
        set.models[request.put_model().name()] = fromProto(request.put_model());
        break;
    case Change::kPutVersion:
        set.artifacts[ArtifactName(request.put_version().name())] = fromProto(request.put_version());
        break;
    case Change::kPutAdapter:
        set.artifacts[ArtifactName(request.put_adapter().name())] = fromProto(request.put_adapter());
        break;
    case Change::kPutTarget:
        set.targets[TargetId(request.put_target().id())] = fromProto(request.put_target());
        break;
    case Change::kPutPolicy:
        set.policy = fromProto(request.put_policy());
        break;
    case Change::kRemoveService:
        remove(set.services, ServiceName(request.remove_service()), "service " + request.remove_service(), findings);
        break;
    case Change::kRemoveModel:
        remove(set.models, request.remove_model(), "model " + request.remove_model(), findings);
        break;
    case Change::kRemoveVersion:
        removeArtifact(set, request.remove_version(), ArtifactKind::ModelVersion, findings);
        break;
    case Change::kRemoveAdapter:
        removeArtifact(set, request.remove_adapter(), ArtifactKind::Adapter, findings);
        break;
    case Change::kRemoveTarget:
        remove(set.targets, TargetId(request.remove_target()), "target " + request.remove_target(), findings);
        break;
    case Change::CHANGE_NOT_SET:
        findings.push_back({{}, "the request names no change"});
        break;
    }
    linkVersions(set);
    return findings;
}

auto unknownFields(const google::protobuf::Message &message) -> std::vector<std::string>
{
    UnknownFieldCollector collector;
    collector.collect(message);
    return collector.names();
}

} // namespace KingCup
