#include "entry/systemstatus.h"

#include <set>

namespace KingCup
{

namespace
{

auto processOf(const FleetMember &member) -> ProcessStatus
{
    ProcessStatus process;
    process.id = member.id;
    process.role = member.role == HostRole::Entry ? "entry" : "agent";
    process.zone = member.zone;
    process.state = toString(member.state);
    process.revision = member.revision;
    process.memoryTotal = Bytes(member.report.memory_total());
    process.memoryCharged = Bytes(member.report.memory_charged());
    process.running = static_cast<int>(member.report.running());
    process.queued = static_cast<int>(member.report.queued());
    for (const auto &resident : member.report.residents()) {
        if (!resident.loading()) {
            process.residents.emplace_back(resident.artifact());
        }
    }
    return process;
}

auto selfProcess(const EntrySelf &self) -> ProcessStatus
{
    ProcessStatus process;
    process.id = self.id;
    process.role = "entry";
    process.zone = self.zone;
    process.state = self.isLeaving ? "leaving" : "live";
    process.revision = self.revision;
    process.running = self.open - self.waiting;
    process.queued = self.waiting;
    return process;
}

/// Time for which a listed process that was never seen is still expected to connect.
constexpr auto ProposedTimeout = Duration::seconds(10);

/// Whether a revision is in force everywhere only once this process has it. A process that is gone doesn't count: it gets the newest revision
/// when it returns. One that is listed but was never seen counts for ProposedTimeout: otherwise an entry that has just started, and has seen no
/// other process, would report a change as in force everywhere.
auto countsForRevision(const FleetMember &member) -> bool
{
    const bool isExpected = member.state == MemberState::Proposed && member.silentFor < ProposedTimeout;
    return isExpected || member.state == MemberState::Live || member.state == MemberState::Suspect;
}

auto artifactStatus(const ArtifactName &name, const SystemStatus &status, const std::vector<ArtifactDemand> &demand) -> ArtifactStatus
{
    ArtifactStatus artifact;
    artifact.artifact = name;
    std::set<ZoneName> zones;
    for (const auto &process : status.processes) {
        const bool holds = std::find(process.residents.begin(), process.residents.end(), name) != process.residents.end();
        if (holds && process.state == toString(MemberState::Live)) {
            ++artifact.copies;
            zones.insert(process.zone);
        }
    }
    artifact.zones = static_cast<int>(zones.size());
    for (const auto &item : demand) {
        if (item.artifact == name) {
            artifact.demandPerSecond = item.perSecond;
        }
    }
    return artifact;
}

} // namespace

auto systemStatus(const EntrySelf &self, const Fleet &fleet, const Declarations &declarations, const std::vector<ArtifactDemand> &demand) -> SystemStatus
{
    SystemStatus status;
    status.revision = self.revision;
    status.inForce = self.revision;
    status.storeReachable = self.isStoreReachable;
    status.planVersion = self.planVersion;
    status.processes.push_back(selfProcess(self));
    for (const auto &member : fleet.members()) {
        status.processes.push_back(processOf(member));
        if (countsForRevision(member) && member.revision < status.inForce) {
            status.inForce = member.revision;
            status.laggard = member.id;
        }
    }
    for (const auto &[name, artifact] : declarations.artifacts) {
        status.artifacts.push_back(artifactStatus(name, status, demand));
    }
    return status;
}

} // namespace KingCup
