// The recent decisions of a process with their reasons, for `kingcupctl explain`. Bounded: the oldest are dropped first.
#pragma once

#include "core/units.h"

#include <deque>
#include <string>
#include <vector>

namespace KingCup
{

struct LoggedDecision {
    TimePoint at;
    std::string part; ///< "routing", "placement", ...
    std::string subject; ///< id of a request, or name of an artifact or target
    std::string text; ///< key=value fields with the reason
};

class DecisionLog
{
public:
    explicit DecisionLog(std::size_t capacity = 4096);

    /// The decisions whose subject is `subject` or whose text contains it, newest first; all decisions if `subject` is empty.
    auto find(const std::string &subject, std::size_t maxResults) const -> std::vector<LoggedDecision>;

    auto add(LoggedDecision decision) -> void;

private:
    std::size_t m_capacity;
    std::deque<LoggedDecision> m_decisions;
};

} // namespace KingCup
