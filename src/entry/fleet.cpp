#include "entry/fleet.h"

#include <glog/logging.h>

namespace KingCup
{

namespace
{

/// The artifacts that a report names; if `confirmedOnly`, without those that are still loading.
auto residentsOf(const Wire::LoadReport &report, bool confirmedOnly) -> std::vector<ArtifactName>
{
    std::vector<ArtifactName> names;
    for (const auto &resident : report.residents()) {
        if (!confirmedOnly || !resident.loading()) {
            names.emplace_back(resident.artifact());
        }
    }
    return names;
}

auto targetLoadOf(const Wire::LoadReport &report) -> TargetLoad
{
    TargetLoad load;
    load.sequence = report.sequence();
    load.age = Duration::micros(report.age_us());
    load.running = static_cast<int>(report.running());
    load.queued = static_cast<int>(report.queued());
    load.concurrencyLimit = static_cast<int>(report.concurrency_limit());
    load.serviceTime = Duration::micros(static_cast<std::int64_t>(report.service_us()));
    load.decodeStep = Duration::micros(static_cast<std::int64_t>(report.decode_step_us()));
    load.leaving = report.leaving();
    load.engineReady = report.engine_ready();
    load.engineGeneration = report.engine_generation();
    load.residents = residentsOf(report, true);
    load.cachedPrefixes.assign(report.cached_prefixes().begin(), report.cached_prefixes().end());
    return load;
}

struct Agent {
    ZoneName zone;
    ServiceName service;
    bool isRunner = false;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< of the last report
    Wire::LoadReport report;
    bool hasReport = false;
    TimePoint lastUsableAt; ///< when it was last usable
    bool drainSent = false; ///< it was ordered to drain, because the host list marks its host as leaving
};

} // namespace

struct Fleet::Private {
    EventLoop &loop;
    FleetSettings settings;
    Router &router;
    FleetHooks hooks;
    Membership membership;
    std::unique_ptr<PeerLinks> agents;
    std::unique_ptr<PeerLinks> entries;
    std::map<std::string, Agent> knownAgents; // agents that have sent a hello
    std::map<std::string, Revision> entryRevisions;
    std::map<TargetId, ServiceName> declaredServices;
    Timer advanceTimer;

    Private(EventLoop &ownerLoop, FleetSettings fleetSettings, Router &theRouter, FleetHooks fleetHooks)
        : loop(ownerLoop)
        , settings(std::move(fleetSettings))
        , router(theRouter)
        , hooks(std::move(fleetHooks))
        , membership(MembershipOptions {.suspectAfter = settings.suspectAfter})
    {
    }

    auto linkHooks(bool isAgent) -> LinkHooks;
    auto onHello(const std::string &id, const Wire::Hello &hello) -> void;
    auto onAgentFrame(const std::string &id, const Wire::ControlFrame &frame) -> void;
    auto onReport(const std::string &id, const Wire::LoadReport &report) -> void;
    auto onDown(const std::string &id) -> void;
    auto advance() -> void;
    auto sendDrains() -> void;
    auto serviceOf(const std::string &id, const Agent &agent) const -> ServiceName;
    auto isUsable(const std::string &id, const Agent &agent) const -> bool;
};

auto Fleet::Private::linkHooks(bool isAgent) -> LinkHooks
{
    LinkHooks link;
    link.greeting = hooks.greeting;
    link.onReceived = [this](const std::string &id) {
        membership.seen(id, loop.now());
    };
    link.onDown = [this](const std::string &id) {
        onDown(id);
    };
    if (isAgent) {
        link.onHello = [this](const std::string &id, const Wire::Hello &hello) {
            onHello(id, hello);
        };
        link.onFrame = [this](const std::string &id, const Wire::ControlFrame &frame) {
            onAgentFrame(id, frame);
        };
    } else {
        link.onHello = [](const std::string &id, const Wire::Hello &hello) {
            LOG(INFO) << "entry: connected id=" << id << " zone=" << hello.zone();
        };
        link.onFrame = [this](const std::string & /*id*/, const Wire::ControlFrame &frame) {
            hooks.onEntryFrame(frame);
        };
    }
    return link;
}

auto Fleet::Private::onHello(const std::string &id, const Wire::Hello &hello) -> void
{
    auto &agent = knownAgents[id];
    agent.zone = ZoneName(hello.zone());
    agent.service = ServiceName(hello.service());
    agent.isRunner = hello.runner();
    if (agent.incarnation != hello.incarnation()) {
        agent.incarnation = hello.incarnation();
        agent.sequence = 0;
        agent.hasReport = false;
        agent.drainSent = false;
    }
    LOG(INFO) << "target: connected id=" << id << " zone=" << agent.zone << " service=" << agent.service << " incarnation=" << agent.incarnation;
    router.targetUp(TargetId(id), agent.zone, serviceOf(id, agent), loop.now());
}

/// The agent's own service, otherwise the declared one: an agent that starts before it has a configuration may not know its service.
auto Fleet::Private::serviceOf(const std::string &id, const Agent &agent) const -> ServiceName
{
    const auto declared = declaredServices.find(TargetId(id));
    return agent.service.isEmpty() && declared != declaredServices.end() ? declared->second : agent.service;
}

auto Fleet::Private::onAgentFrame(const std::string &id, const Wire::ControlFrame &frame) -> void
{
    if (frame.has_report()) {
        onReport(id, frame.report());
    } else if (frame.has_suspects()) {
        hooks.onSuspects(frame.suspects());
    }
}

auto Fleet::Private::onReport(const std::string &id, const Wire::LoadReport &report) -> void
{
    const auto found = knownAgents.find(id);
    if (found == knownAgents.end() || report.sequence() <= found->second.sequence) {
        return;
    }
    auto &agent = found->second;
    agent.sequence = report.sequence();
    const auto residents = agent.report.residents();
    agent.report = report;
    if (report.residents_unchanged()) {
        *agent.report.mutable_residents() = residents;
    }
    agent.hasReport = true;
    if (report.leaving()) {
        membership.reportedLeaving(id);
    } else {
        membership.reportedStaying(id);
    }
    router.reportReceived(TargetId(id), targetLoadOf(agent.report), loop.now());
    hooks.onCapacity();
}

auto Fleet::Private::onDown(const std::string &id) -> void
{
    membership.connectionLost(id);
    if (knownAgents.contains(id)) {
        router.targetDown(TargetId(id), loop.now());
    }
}

auto Fleet::Private::isUsable(const std::string &id, const Agent &agent) const -> bool
{
    const auto member = membership.find(id);
    return member && member->state == MemberState::Live && agent.hasReport && agent.report.engine_ready();
}

/// Tells agents when the platform's host list marks their host as leaving, or no longer does. Agents can't read the list, and an
/// agent on a leaving host must refuse new work from every entry.
auto Fleet::Private::sendDrains() -> void
{
    for (auto &[id, agent] : knownAgents) {
        const auto member = membership.find(id);
        const bool isMarked = member && member->host.leaving;
        if (isMarked == agent.drainSent || !agents->isConnected(id)) {
            continue;
        }
        agent.drainSent = isMarked;
        Wire::ControlFrame frame;
        frame.mutable_drain()->set_reason(isMarked ? "host-list" : "");
        agents->send(id, frame);
    }
}

auto Fleet::Private::advance() -> void
{
    sendDrains();
    const auto liveBefore = membership.live(HostRole::Agent);
    membership.advance(loop.now());
    for (auto &[id, agent] : knownAgents) {
        if (isUsable(id, agent)) {
            agent.lastUsableAt = loop.now();
        }
    }
    for (const auto &id : liveBefore) {
        const auto member = membership.find(id);
        if (member && member->state == MemberState::Suspect && agents->isConnected(id)) {
            LOG(WARNING) << "target: silent, reconnecting id=" << id;
            router.targetDown(TargetId(id), loop.now());
            agents->reconnect(id);
        }
    }
}

Fleet::Fleet(EventLoop &loop, FleetSettings settings, Router &router, FleetHooks hooks)
    : d(std::make_unique<Private>(loop, std::move(settings), router, std::move(hooks)))
{
    d->agents = std::make_unique<PeerLinks>(loop, "target", d->settings.peers, d->settings.heartbeat, d->linkHooks(true));
    d->entries = std::make_unique<PeerLinks>(loop, "entry", d->settings.peers, d->settings.heartbeat, d->linkHooks(false));
    d->advanceTimer = loop.every(d->settings.heartbeat, [this] { d->advance(); });
}

Fleet::~Fleet() = default;

auto Fleet::members() const -> std::vector<FleetMember>
{
    std::vector<FleetMember> list;
    for (const auto role : {HostRole::Entry, HostRole::Agent}) {
        for (const auto &member : d->membership.members(role)) {
            if (member.host.id == d->settings.self) {
                continue;
            }
            FleetMember shown;
            shown.id = member.host.id;
            shown.role = role;
            shown.zone = member.host.zone;
            shown.state = member.state;
            shown.silentFor = d->loop.now() - member.lastSeen;
            if (const auto agent = d->knownAgents.find(shown.id); agent != d->knownAgents.end()) {
                shown.report = agent->second.report;
                shown.revision = Revision(shown.report.revision());
            }
            if (const auto entry = d->entryRevisions.find(shown.id); entry != d->entryRevisions.end()) {
                shown.revision = entry->second;
            }
            list.push_back(std::move(shown));
        }
    }
    return list;
}

auto Fleet::runners() const -> std::vector<RunnerState>
{
    std::vector<RunnerState> list;
    for (const auto &[id, agent] : d->knownAgents) {
        if (!agent.isRunner || !agent.hasReport || agent.report.memory_total() == 0) {
            continue;
        }
        RunnerState runner;
        runner.id = TargetId(id);
        runner.zone = agent.zone;
        runner.service = d->serviceOf(id, agent);
        runner.memoryTotal = Bytes(agent.report.memory_total());
        runner.concurrency = static_cast<int>(agent.report.concurrency_limit());
        runner.isUsable = d->isUsable(id, agent);
        const auto member = d->membership.find(id);
        runner.isLeaving = agent.report.leaving() || (member && member->state == MemberState::Leaving);
        runner.downFor = runner.isUsable ? Duration() : d->loop.now() - agent.lastUsableAt;
        for (const auto &resident : agent.report.residents()) {
            runner.residents.push_back({ArtifactName(resident.artifact()), Bytes(resident.bytes()), resident.loading()});
        }
        list.push_back(std::move(runner));
    }
    return list;
}

auto Fleet::holderReports() const -> std::map<TargetId, HolderReport>
{
    std::map<TargetId, HolderReport> reports;
    for (const auto &[id, agent] : d->knownAgents) {
        if (!agent.isRunner || !d->isUsable(id, agent)) {
            continue;
        }
        HolderReport report {RowVersion(agent.report.plan_version()), {}};
        for (const auto &resident : agent.report.residents()) {
            if (resident.pinned() && !resident.loading()) {
                report.resident.emplace(resident.artifact());
            }
        }
        reports[TargetId(id)] = std::move(report);
    }
    return reports;
}

auto Fleet::ranksFirst(const std::string &subject) const -> bool
{
    auto entries = d->membership.live(HostRole::Entry);
    std::erase(entries, d->settings.self);
    entries.push_back(d->settings.self); // an entry always counts itself as live
    return rankMembers(subject, entries).front() == d->settings.self;
}

auto Fleet::isListTrusted() const -> bool
{
    return d->membership.isListTrusted();
}

auto Fleet::hasCopy(const ArtifactName &artifact) const -> bool
{
    return !d->router.holders({artifact}, d->loop.now()).empty();
}

auto Fleet::adopt(const Declarations &declarations) -> void
{
    d->declaredServices.clear();
    for (const auto &[id, target] : declarations.targets) {
        d->declaredServices[id] = target.service;
    }
    for (const auto &[id, agent] : d->knownAgents) {
        if (agent.service.isEmpty() && d->agents->isConnected(id)) {
            d->router.targetUp(TargetId(id), agent.zone, d->serviceOf(id, agent), d->loop.now());
        }
    }
}

auto Fleet::listReceived(const std::vector<ListedHost> &hosts) -> void
{
    d->membership.listReceived(hosts, d->loop.now());
    for (const auto role : {HostRole::Agent, HostRole::Entry}) {
        std::vector<ListedHost> wanted;
        for (const auto &member : d->membership.members(role)) {
            if (member.host.id != d->settings.self) {
                wanted.push_back(member.host);
            }
            if (member.state == MemberState::Leaving) {
                d->router.targetLeaving(TargetId(member.host.id));
            }
        }
        (role == HostRole::Agent ? d->agents : d->entries)->setHosts(wanted);
    }
}

auto Fleet::entryReported(const std::string &id, Revision revision) -> void
{
    d->entryRevisions[id] = revision;
}

auto Fleet::open(const TargetId &target) -> PeerStreamPtr
{
    return d->agents->open(target.text());
}

auto Fleet::sendTo(const std::string &id, const Wire::ControlFrame &frame) -> void
{
    d->agents->send(id, frame);
}

auto Fleet::sendAgents(const Wire::ControlFrame &frame) -> void
{
    d->agents->sendAll(frame);
}

auto Fleet::sendEntries(const Wire::ControlFrame &frame) -> void
{
    d->entries->sendAll(frame);
}

} // namespace KingCup
