// The prompts that one target has yet to read, as the process that sent them counts them: what a request sent there now would wait for. Pure.
//
// An engine takes up waiting prompts by their urgency, but it doesn't lay aside the one that it is reading: behind a prompt of forty thousand
// tokens a short one waits for a second, however urgent it is. Counted with its own band only, the long one seemed not to be there, and short
// urgent prompts went to just that runner and began late though no estimate predicted it.
// So the prompt that is being read counts as the most urgent one, with what is left of it.
#pragma once

#include "core/ids.h"
#include "core/traffic.h"
#include "core/units.h"

#include <array>
#include <optional>
#include <vector>

namespace KingCup
{

/// Milliseconds of reading, by band.
using BandMillis = std::array<double, UrgencyBands>;

/// Of the bands that go before or with `band`.
auto upTo(const BandMillis &unread, UrgencyBand band) -> double;

class PrefillQueue
{
public:
    // Queries
    /// What is left to be read. The prompt that is being read counts with the most urgent band.
    auto byBand(TimePoint now) const -> BandMillis;
    auto waiting(UrgencyBand band) const -> int; ///< sends without a first token, of the bands that go before or with `band`

    // Commands
    /// `millis`: what it takes where nothing else is read. `isNext`: as far as known, no other process's prompt is read there or waits.
    auto add(SendId send, UrgencyBand band, double millis, bool isNext, TimePoint now) -> void;
    /// Read, or given up; the next one by urgency, then by age, is taken to be taken up.
    auto remove(SendId send, TimePoint now) -> void;

private:
    struct Read {
        SendId send;
        UrgencyBand band = UrgencyBand::Usual;
        double millis = 0;
        std::optional<TimePoint> since; ///< being read

        auto left(TimePoint now) const -> double;
    };
    std::vector<Read> m_reads; ///< oldest first
};

/// What one target was given to read within the last moments, read by now or not. An engine reads prompts between the steps of its streams, and between
/// two events of a stream lie several steps: a handful of prompts that come together stall every stream there for longer than is aimed at, each of
/// them small and read at once. Sent where little was to be read of late, they come one by one everywhere.
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
    std::vector<Read> m_reads; ///< oldest first
};

} // namespace KingCup
