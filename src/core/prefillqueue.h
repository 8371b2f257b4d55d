// Estimates the pending prefill of one target from what this gateway has sent there: how long a request sent now would wait. No I/O.
//
// An engine starts waiting prompts by urgency, but doesn't interrupt the prompt in prefill: behind a prompt of 40000 tokens, a short prompt waits
// for a second even if it is the most urgent. So the rest of the prompt in prefill counts towards the most urgent band.
#pragma once

#include "core/ids.h"
#include "core/traffic.h"
#include "core/units.h"

#include <array>
#include <optional>
#include <vector>

namespace KingCup
{

/// Milliseconds of prefill, by band.
using BandMillis = std::array<double, UrgencyBandCount>;

/// Sum of `band` and all more urgent bands.
auto pendingUpTo(const BandMillis &pending, UrgencyBand band) -> double;

class PrefillQueue
{
public:
    // Queries
    /// Pending prefill; the prompt in prefill counts towards the most urgent band.
    auto byBand(TimePoint now) const -> BandMillis;
    auto waiting(UrgencyBand band) const -> int; ///< sends without a first token (including the prompt in prefill), in `band` and all more urgent bands

    // Commands
    /// `millis`: prefill time if nothing else is prefilled. `othersIdle`: no other gateway is known to have a prompt in prefill or waiting at the target. If
    /// so, and no prompt of this gateway is pending there, the prompt counts as in prefill at once.
    auto add(SendId send, UrgencyBand band, double millis, bool othersIdle, TimePoint now) -> void;
    /// The prompt has been prefilled, or its request was cancelled. If no other prompt is in prefill, the next one by urgency, then by age, counts as in
    /// prefill.
    auto remove(SendId send, TimePoint now) -> void;

private:
    struct PendingPrompt {
        SendId send;
        UrgencyBand band = UrgencyBand::Normal;
        double millis = 0;
        std::optional<TimePoint> since; ///< start of its prefill; nullopt: still waiting

        auto left(TimePoint now) const -> double;
    };
    std::vector<PendingPrompt> m_prompts; ///< oldest first
};

/// Prefill sent to one target within the last second, finished or not. An engine prefills between the decode steps of its streams, and several steps lie
/// between two events of a stream: a handful of prompts that arrive together stalls every stream of the target, even if each prompt is short.
class RecentPrefill
{
public:
    /// Milliseconds of prefill sent within the last `span`, which is at most a second.
    auto within(Duration span, TimePoint now) const -> double;

    auto add(double millis, TimePoint now) -> void;

private:
    struct SentPrompt {
        TimePoint at;
        double millis = 0;
    };
    std::vector<SentPrompt> m_prompts; ///< oldest first
};

} // namespace KingCup
