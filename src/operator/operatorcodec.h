// Between core types and the messages of the operators' schema, for the module and for kingcupctl.
#pragma once

#include "core/declarations.h"
#include "operator/operatorapi.h"

#include <kingcup/operator.pb.h>

namespace KingCup
{

/// The messages of the schema.
namespace OperatorProto = kingcup::operators;

auto toProto(const Declarations &set) -> OperatorProto::DeclarationSet;
auto fromProto(const OperatorProto::DeclarationSet &message) -> Checked<Declarations>;

auto toProto(const Finding &finding) -> OperatorProto::Finding;
auto fromProto(const OperatorProto::Finding &message) -> Finding;

auto toProto(const ChangeAnswer &answer) -> OperatorProto::ChangeReply;
auto toProto(const SystemStatus &status) -> OperatorProto::StatusReply;
auto toProto(const std::vector<RecentDecision> &decisions) -> OperatorProto::ExplainReply;

/// Puts one changed entity into the set, or takes one out. A removal of what isn't there is a finding.
auto mergeChange(const OperatorProto::ChangeRequest &request, Declarations &set) -> Findings;

/// Names every field and enumeration value of the message, at any depth, that this schema doesn't know. Protobuf keeps
/// them silently: an operator's change would be accepted without the part that a newer tool put in.
auto unknownFields(const google::protobuf::Message &message) -> std::vector<std::string>;

} // namespace KingCup
