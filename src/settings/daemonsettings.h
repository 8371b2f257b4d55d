// Settings of kingcupd: one INI file per process, read once at the start.
//
// Every key's type, unit, range and default stands once, in the table of daemonsettings.cpp. `--print-settings`, the page
// docs/SETTINGS.md and the checks are made from that table.
//
// Index of sections (search for [SECTION]):
//   Values    what the file says, by section
//   Reading   from a file or text, with all findings
//   Table     the keys, for whoever describes them
#pragma once

#include "core/endpoint.h"
#include "core/finding.h"
#include "core/ids.h"
#include "core/units.h"

#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

// [SECTION] Values

/// A gateway is an entry that reaches targets directly, without agents.
enum class ProcessRole { Entry, Agent, Gateway };
/// A runner drives an accelerator; a plain target is an instance of a plain service.
enum class TargetKind { Runner, Plain };
/// How floor and surge copies are planned; the last two are baselines for measurements.
enum class PlacementPolicy { Objective, Static, OnDemand };
/// How an entry chooses a target; the last two are baselines for measurements.
enum class RoutingPolicy { Objective, RoundRobin, LeastLoaded };

struct ProcessSettings {
    ProcessRole role {};
    std::string id; ///< of the entry or the target
    ZoneName zone;
    std::string operatorModule; ///< path of the operators' module; empty: beside the executable
};

struct ListenSettings {
    Endpoint callers; ///< entries
    Endpoint peers; ///< both roles; an agent's is also the lock of its slot
    std::optional<Endpoint> operators; ///< entries; gRPC
    std::optional<Endpoint> metrics; ///< agents and gateways; entries serve metrics on the callers' port
    std::optional<Endpoint> ready; ///< gateways: answers whether this process takes new connections
};

struct PlatformSettings {
    Endpoint table;
    Endpoint objects;
    Endpoint hosts;
    Endpoint store; ///< gateways: rows, watched and changed under conditions
};

/// What the deployment allows a gateway, and how soon it must act.
struct GatewaySettings {
    double retryRatio = 0; ///< sends beyond the first, as a share of the requests
    Duration retryWindow;
    double retryAllowance = 0; ///< such sends in a window, over all gateways together, beyond the share
    Duration lease; ///< of the one gateway that gives orders to runners
    Duration stopLimit; ///< from the request to stop until the process must be gone
    int loadWindowSeconds = 0; ///< over which loads from the weight store are counted
    double loadOvershoot = 0; ///< factor on the loads allowed in that window
    double processorShare = 0; ///< cores of the host that are this process's own
    Duration revocationLimit; ///< within which a revoked key must be out of force on every gateway, also on one that is cut off; 0: no limit

    auto operator==(const GatewaySettings &) const -> bool = default;
};

struct TargetSettings {
    Endpoint engine; ///< of the runner's engine or the plain service
    TargetKind kind {};
    ServiceName service; ///< that a plain target serves; empty: as declared
};

struct TlsSettings {
    TlsFiles files;
    bool callers = false;
    bool peers = false;
    bool operators = false;
};

struct LimitSettings {
    std::size_t maxBody = 0; ///< bytes of a caller's request
    int maxConnections = 0; ///< of callers
    int maxQueue = 0; ///< requests waiting in one entry
    std::size_t streamBuffer = 0; ///< bytes kept for one stream before its source is held back
    Duration requestBudget; ///< where neither caller nor service names one
    Duration headerTimeout; ///< a caller that sends its request slower is cut off
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
    Duration heartbeat; ///< between pings on a control stream
    Duration suspectAfter; ///< of silence on a control stream
    Duration report; ///< between load reports of an agent
    Duration hostsPoll;
    Duration configPoll;
    Duration planPeriod;
    Duration drainLimit; ///< after which a planned stop gives up and says what it cut off
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

/// Reads a settings file. Keys that are missing have their defaults; unknown ones are findings.
auto loadDaemonSettings(const std::string &path) -> Checked<DaemonSettings>;

/// As loadDaemonSettings(), from text; `path` is only used in findings.
auto parseDaemonSettings(const std::string &path, const std::string &text) -> Checked<DaemonSettings>;

// [SECTION] Table

/// One key as an operator sees it.
struct SettingDescription {
    std::string section;
    std::string key;
    std::string type; ///< "integer", "endpoint", "name", ...
    std::string unit; ///< empty if it has none
    std::string range; ///< as text, e.g. "1 to 65536" or "entry, agent"
    std::string defaultValue; ///< the default; empty if there is none
    std::string meaning; ///< one sentence
};

/// All keys, in the order in which they are shown.
auto settingDescriptions() -> std::vector<SettingDescription>;

/// A commented settings file with every key at its default.
auto commentedSettings() -> std::string;

/// docs/SETTINGS.md.
auto settingsPage() -> std::string;

} // namespace KingCup
