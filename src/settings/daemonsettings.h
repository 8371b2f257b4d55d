// Settings of kingcupd: one INI file per process, read at the start. A running gateway also applies later changes of [gateway] and of
// the store's endpoint.
//
// The table in daemonsettings.cpp defines each key's type, unit, range and default. `--print-settings`, docs/SETTINGS.md
// and the validation of settings files are all generated from it.
//
// Index of sections (search for [SECTION]):
//   Values    the settings, one struct per section of the file
//   Reading   parses a file or a text and reports all findings
//   Table     descriptions of all keys, for documentation
#pragma once

#include "core/endpoint.h"
#include "core/finding.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Values

/// Entries and gateways serve callers. An entry reaches targets through agents, a gateway reaches them directly.
enum class ProcessRole { Entry, Agent, Gateway };
/// A runner is a model engine with an accelerator; a plain target is an instance of a plain service.
enum class TargetKind { Runner, Plain };
/// How floor and surge replicas are planned; the last two are baselines for measurements.
enum class PlacementPolicy { Objective, Static, OnDemand };
/// How an entry chooses a target; the last two are baselines for measurements.
enum class RoutingPolicy { Objective, RoundRobin, LeastLoaded };

struct ProcessSettings {
    ProcessRole role {};
    std::string id; ///< of the entry or gateway; for an agent, of its target
    ZoneName zone;
    std::string operatorModule; ///< path of the operators' gRPC module; empty: kingcup-operator.so beside the executable
};

struct ListenSettings {
    Endpoint callers; ///< entries and gateways: HTTP
    Endpoint peers; ///< all roles: other processes; holding an agent's port keeps a second agent from serving the same target
    std::optional<Endpoint> operators; ///< entries: gRPC; absent: none
    std::optional<Endpoint> metrics; ///< agents and gateways: HTTP; entries serve metrics on the callers' port
    std::optional<Endpoint> ready; ///< gateways: HTTP readiness check, 200 while this process accepts new connections
};

struct PlatformSettings {
    Endpoint table; ///< transactional table service
    Endpoint objects; ///< object store
    Endpoint hosts; ///< list of live and leaving hosts
    Endpoint store; ///< gateways: persistent rows with watches and conditional writes
};

/// Limits and deadlines of a gateway.
struct GatewaySettings {
    double retryRatio = 0; ///< allowed resends, as a fraction of the requests
    Duration retryWindow; ///< over which that fraction is taken
    double retryAllowance = 0; ///< resends per window beyond that fraction, of all gateways together
    /// Requests whose targets are all full wait at arbiters if accounts have token limits. The same at all gateways.
    bool hasSlotPermits = false;
    Duration lease; ///< duration of the lease whose holder may give orders to runners
    Duration stopLimit; ///< from the request to stop until the process is killed
    int loadWindowSeconds = 0; ///< window over which loads from the weight store are counted
    double loadOvershoot = 0; ///< factor on the loads that the weight store allows in that window
    double processorShare = 0; ///< cores of the host that are reserved for this process
    Duration revocationLimit; ///< time within which every gateway rejects a revoked key, even a gateway cut off from the store; 0: no limit for such a gateway

    auto operator==(const GatewaySettings &) const -> bool = default;
};

struct TargetSettings {
    Endpoint engine; ///< address of the runner's engine or of the plain service
    TargetKind kind {};
    ServiceName service; ///< service of the target; empty: as declared
};

struct TlsSettings {
    TlsFiles files;
    bool callers = false;
    bool peers = false;
    bool operators = false;
};

struct LimitSettings {
    std::size_t maxBody = 0; ///< bytes of a caller's request body
    std::uint64_t memory = 0; ///< bytes that this process may use; 0: those of the host
    std::size_t maxDescriptors = 0; ///< open files that this process may have; 0: as its limit says
    int maxConnections = 0; ///< concurrent connections of callers
    int maxQueue = 0; ///< requests waiting in one entry
    std::size_t streamBuffer = 0; ///< bytes buffered for one stream before backpressure is applied to its source
    Duration requestBudget; ///< time budget of a request if neither the caller nor the service sets one
    Duration headerTimeout; ///< entries: time between two pieces of a request after which its caller is disconnected
    int maxDecisions = 0; ///< recent decisions kept for `kingcupctl explain`
};

struct PolicySettings {
    PlacementPolicy placement {};
    RoutingPolicy routing {};
};

struct LogSettings {
    std::string directory; ///< empty: standard error
    int verbosity = 0;
};

struct TimingSettings {
    Duration heartbeat; ///< interval of liveness checks on the control streams; a peer that has been silent for 1.5 intervals is pinged
    Duration suspectAfter; ///< time without messages on a control stream after which the remote side gets no new work
    Duration report; ///< agents: interval of load reports
    Duration hostsPoll; ///< interval of reads of the host list
    Duration configPoll; ///< entries: interval of reads of the change log's head row
    Duration planPeriod; ///< entries: interval of placement decisions
    Duration drainLimit; ///< after which a planned stop ends the remaining requests and logs them
};

struct DaemonSettings {
    ProcessSettings process;
    ListenSettings listen;
    PlatformSettings platform;
    TargetSettings target;
    TlsSettings tls;
    LimitSettings limits;
    PolicySettings policy;
    LogSettings log;
    TimingSettings timing;
    GatewaySettings gateway;
};

// [SECTION] Reading

/// Reads a settings file. Missing keys get their defaults; unknown keys and missing keys without a default that the role needs
/// are findings, as are TLS files that can't be read.
auto loadDaemonSettings(const std::string &path) -> Checked<DaemonSettings>;

/// Parses the text of a settings file, without checking whether the TLS files can be read. `path` is only used in findings.
auto parseDaemonSettings(const std::string &path, const std::string &text) -> Checked<DaemonSettings>;

// [SECTION] Table

/// Documentation of one key.
struct SettingDescription {
    std::string section;
    std::string key;
    std::string type; ///< "integer", "endpoint", "name", ...
    std::string unit; ///< empty if it has none
    std::string range; ///< as text, e.g. "1 to 65536" or "entry, agent"
    std::string defaultValue; ///< empty if there is none
    std::string meaning; ///< one sentence
};

/// All keys, in the order of the documentation.
auto settingDescriptions() -> std::vector<SettingDescription>;

/// A settings file with a comment on each key and all defaults; keys without a default are commented out.
auto commentedSettings() -> std::string;

/// The text of docs/SETTINGS.md.
auto settingsPage() -> std::string;

} // namespace KingCup
