// Retry budget: limits resends, that is, each send of a request after the first one. When targets fail, every request would be sent again and the healthy
// targets would get twice their load. So resends are limited to a share of the requests, over all gateways together.
//
// Each gateway applies its part of the limit: the share of its own requests plus an equal part of the fixed allowance. Only requests of the window
// just passed count, so that a gateway can't spend the budget of requests still to come. No I/O.
#pragma once

#include "core/units.h"

#include <cstddef>
#include <deque>

namespace KingCup
{

struct SharedRetryBudgetOptions {
    Duration window = Duration::seconds(10);
    double ratio = 0.2; ///< resends per request
    double allowance = 50; ///< additional resends per window, for all gateways together
    double safetyFactor = 0.8; ///< share of the budget that is used, since gateways' windows aren't aligned and some gateways may be unknown here
};

class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetOptions options = {});

    auto remaining(TimePoint now) const -> double; ///< resends that are still allowed

    auto setOptions(const SharedRetryBudgetOptions &options) -> void;
    auto setGatewayCount(int live) -> void; ///< live gateways that share the allowance, including this one
    auto requestSent(TimePoint now) -> void; ///< the first send of a request
    auto requestResent(TimePoint now) -> void; ///< every further send

private:
    auto countIn(const std::deque<TimePoint> &moments, TimePoint now) const -> double;
    auto trim(TimePoint now) -> void;

    SharedRetryBudgetOptions m_options;
    int m_gateways = 1;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_resends;
};

} // namespace KingCup
