// Polls the platform's list of hosts. The list lags and may be wrong; this client passes it on without judging it.
#pragma once

#include "core/membership.h"
#include "platform/platformcaller.h"

#include <functional>
#include <memory>
#include <vector>

namespace KingCup
{

struct HostListOptions {
    PlatformOptions platform;
    Duration period = Duration::seconds(1); ///< between two polls; jitter lengthens it by up to 50 %
};

class HostListClient
{
public:
    /// Called with the list after each valid answer, even if the list hasn't changed.
    using ListHook = std::function<void(const std::vector<ListedHost> &hosts)>;

    /// Polls from now until destroyed.
    HostListClient(EventLoop &loop, HttpClient &client, HostListOptions options, ListHook onList);
    ~HostListClient();

    auto hosts() const -> const std::vector<ListedHost> &; ///< from the last valid answer
    auto hasList() const -> bool; ///< there has been a valid answer
    auto age() const -> Duration; ///< time since the last valid answer, or since construction if there has been none

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
