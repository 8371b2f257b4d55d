// How many sends beyond the first of each request may go out. When targets fail, every request would be sent again and the sound ones would
// get twice their load; so what goes out again is held to a share of the requests, over all entries together.
//
// Each entry takes its part: the share of its own requests, and its part of the fixed allowance. Requests of the last window count, not of
// the one that is open: what is promised by requests still to come must not be spent. Pure.
#pragma once

#include "core/units.h"

#include <cstddef>
#include <deque>

namespace KingCup
{

struct SharedRetryBudgetOptions {
    Duration window = Duration::seconds(10);
    double ratio = 0.2; ///< of the requests
    double allowance = 50; ///< per window, all entries together
    double safetyFactor = 0.8; ///< of the budget that is used: entries' windows don't begin together, and some of them may be unknown here
};

class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetOptions options = {});

    auto remaining(TimePoint now) const -> double; ///< sends that may still go out again

    auto setOptions(const SharedRetryBudgetOptions &options) -> void;
    auto setGatewayCount(int live) -> void; ///< that share the allowance, this one included
    auto requestSent(TimePoint now) -> void; ///< the first send of a request
    auto requestResent(TimePoint now) -> void;

private:
    auto countIn(const std::deque<TimePoint> &moments, TimePoint now) const -> double;
    auto trim(TimePoint now) -> void;

    SharedRetryBudgetOptions m_options;
    int m_gateways = 1;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_resends;
};

} // namespace KingCup
