// The recent decisions of a process with their reasons, for `kingcupctl explain`. Bounded: the oldest go first.
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
    std::string subject; ///< a request id, an artifact or a target
    std::string text; ///< key=value fields with the reason
};

class DecisionLog
{
public:
    explicit DecisionLog(std::size_t most = 4096);

    /// Newest first, those whose subject or text names `subject`; all if it is empty.
    auto find(const std::string &subject, std::size_t most) const -> std::vector<LoggedDecision>;

    auto add(LoggedDecision decision) -> void;

private:
    std::size_t m_capacity;
    std::deque<LoggedDecision> m_decisions;
};

} // namespace KingCup
