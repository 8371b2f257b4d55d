// Pending prefill of one target, as the process that sent it counts it: what a request sent there now would wait for. Pure.
//
// An engine takes up waiting prompts by their urgency, but it doesn't interrupt the one in prefill: behind a prompt of forty thousand tokens a short one
// waits for a second, however urgent it is. So what is left of the prompt in prefill counts with the most urgent band.
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
using BandMillis = std::array<double, UrgencyBands>;

/// Of the bands that go before or with `band`.
auto pendingUpTo(const BandMillis &pending, UrgencyBand band) -> double;

class PrefillQueue
{
public:
    // Queries
    /// The prompt in prefill counts with the most urgent band.
    auto byBand(TimePoint now) const -> BandMillis;
    auto waiting(UrgencyBand band) const -> int; ///< sends without a first token, of the bands that go before or with `band`

    // Commands
    /// `millis`: what it takes where nothing else is prefilled. `othersIdle`: as far as known, no other process has a prompt in prefill or waiting there.
    auto add(SendId send, UrgencyBand band, double millis, bool othersIdle, TimePoint now) -> void;
    /// Prefilled, or cancelled; the next one by urgency, then by age, counts as in prefill.
    auto remove(SendId send, TimePoint now) -> void;

private:
    struct Read {
        SendId send;
        UrgencyBand band = UrgencyBand::Usual;
        double millis = 0;
        std::optional<TimePoint> since; ///< in prefill

        auto left(TimePoint now) const -> double;
    };
    std::vector<Read> m_prompts; ///< oldest first
};

/// Prefill sent to one target within the last moments, done by now or not. An engine prefills between the steps of its streams, and between two events of a
/// stream lie several steps: a handful of prompts that come together stall every stream there, though each of them is small.
class RecentPrefill
{
public:
    /// Milliseconds; `span` up to a second.
    auto within(Duration span, TimePoint now) const -> double;

    auto add(double millis, TimePoint now) -> void;

private:
    struct Read {
        TimePoint at;
        double millis = 0;
    };
    std::vector<Read> m_prompts; ///< oldest first
};

} // namespace KingCup
