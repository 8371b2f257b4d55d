// Discovery of the other gateways: each gateway writes a row with its address into the store, and all follow these rows.
#pragma once

#include "core/membership.h"
#include "gateway/storeclient.h"
#include "net/eventlog.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

struct RegistrationSettings {
    std::string id;
    ZoneName zone;
    Endpoint peerEndpoint; ///< address on which this gateway listens for other gateways
    std::uint64_t incarnation = 0;
    double processorShare = 1; ///< processor cores of the host that are reserved for this gateway
};

struct RegistrationHooks {
    std::function<void(const std::vector<ListedHost> &hosts)> onGatewaysChanged; ///< all registered gateways, this one included
};

class Registration
{
public:
    Registration(EventLoop &loop, StoreClient &store, EventLog &log, RegistrationSettings settings, RegistrationHooks hooks);
    ~Registration();

    /// Applies rows of gateways that were changed or removed. Writes this gateway's own row if it is missing or outdated.
    auto applyRows(const std::vector<StoredRow> &rows) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
