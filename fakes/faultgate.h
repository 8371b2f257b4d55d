// Outages of a store: decides for each request whether it is refused, held, delayed, or loses its answer.
//
// A fault is told from outside as JSON: {"mode":M,"prefix":P,"op":"read"|"write"|"any","count":N,"rate":R,"ms":T}.
// It applies to requests of which a key starts with `prefix`, to the next `count` of them (0: until healed), each with probability `rate`.
#pragma once

#include "answers.h"
#include "simclock.h"

#include <functional>
#include <string>
#include <vector>

namespace KingCup
{

enum class FaultMode {
    Refuse, ///< 503 without effect
    Throttle, ///< 429 without effect
    Hang, ///< neither effect nor answer, until healed; then the connection is cut
    DropAnswer, ///< the effect takes place, then the connection is cut
    LateEffect, ///< the connection is cut at once, the effect comes `ms` later
    Slow, ///< effect and answer come `ms` later
};

struct StoreFault {
    FaultMode mode = FaultMode::Refuse;
    std::string prefix; ///< of the keys it applies to
    bool reads = true;
    bool writes = true;
    int remaining = 0; ///< 0: no end
    double rate = 1.0;
    Duration delay;
};

/// What the request does: its keys, whether it writes, and the effect that answers `exchange` when it has taken place.
struct StoreRequest {
    ExchangePtr exchange;
    std::vector<std::string> keys;
    bool writes = false;
    std::function<void(const ExchangePtr &)> effect;
};

class FaultGate
{
public:
    explicit FaultGate(SimClock &clock);

    /// Adds a fault; mode "ok" heals all. False if the mode is unknown.
    auto apply(const Json &command) -> bool;
    /// Runs the request's effect after `latency`, or does what the first matching fault says.
    auto handle(StoreRequest request, Duration latency) -> void;
    auto applied() const -> std::uint64_t; ///< requests that a fault was applied to

private:
    auto heal() -> void;
    auto matchFault(const StoreRequest &request) -> std::optional<StoreFault>;

    SimClock &m_clock;
    std::vector<StoreFault> m_faults;
    std::vector<ExchangePtr> m_hanging;
    std::uint64_t m_applied = 0;
};

} // namespace KingCup
