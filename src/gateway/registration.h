// Where gateways find each other: each writes a row with its address into the store, and all follow those rows.
#pragma once

#include "core/membership.h"
#include "gateway/storeclient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

struct RegistrationSettings {
    std::string id;
    ZoneName zone;
    Endpoint peerEndpoint; ///< where it listens for the others
    std::uint64_t incarnation = 0;
    double processorShare = 1; ///< cores that are this gateway's own
};

struct RegistrationHooks {
    std::function<void(const std::vector<ListedHost> &hosts)> onGatewaysChanged; ///< all that are registered, this one included
};

class Registration
{
public:
    Registration(EventLoop &loop, StoreClient &store, EventLog &log, RegistrationSettings settings, RegistrationHooks hooks);
    ~Registration();

    /// Rows of gateways that changed, or are gone.
    auto applyRows(const std::vector<StoredRow> &rows) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
