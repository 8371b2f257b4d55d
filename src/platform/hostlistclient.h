// The platform's list of hosts, polled. It lags and may be wrong; what it says is only handed on.
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
    Duration period = Duration::seconds(1); ///< between two polls; up to half as long again, by jitter
};

class HostListClient
{
public:
    /// Sees the list after each answer, whether it changed or not.
    using ListHook = std::function<void(const std::vector<ListedHost> &hosts)>;

    /// Polls from now until destroyed.
    HostListClient(EventLoop &loop, HttpClient &client, HostListOptions options, ListHook onList);
    ~HostListClient();

    auto hosts() const -> const std::vector<ListedHost> &; ///< of the last answer
    auto hasList() const -> bool; ///< there has been an answer
    auto age() const -> Duration; ///< since the last answer, or since the start

    struct Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace KingCup
