// Converts between core types and the messages of the operators' Protobuf schema. Used by the operators' module and by kingcupctl.
#pragma once

#include "core/declarations.h"
#include "operator/operatorapi.h"

#include <kingcup/operator.pb.h>

namespace KingCup
{

/// The generated messages of the schema.
namespace OperatorProto = kingcup::operators;

auto toProto(const Declarations &set) -> OperatorProto::DeclarationSet;
auto fromProto(const OperatorProto::DeclarationSet &message) -> Checked<Declarations>;

auto toProto(const Finding &finding) -> OperatorProto::Finding;
auto fromProto(const OperatorProto::Finding &message) -> Finding;

auto toProto(const ChangeAnswer &answer) -> OperatorProto::ChangeReply;
auto toProto(const SystemStatus &status) -> OperatorProto::StatusReply;
auto toProto(const std::vector<RecentDecision> &decisions) -> OperatorProto::ExplainReply;

/// Adds, replaces or removes one entity of the set. Removing an entity that isn't declared is a finding.
auto mergeChange(const OperatorProto::ChangeRequest &request, Declarations &set) -> Findings;

/// The names of all fields and enumeration values in the message and its submessages that this schema doesn't define. Protobuf
/// accepts them silently, so a change from a newer tool would be applied without the parts that this version doesn't know.
auto unknownFields(const google::protobuf::Message &message) -> std::vector<std::string>;

} // namespace KingCup
