// Injected faults of a store: decides for each request whether it is refused, held, delayed, or loses its answer.
//
// A fault is commanded as JSON: {"mode":M,"prefix":P,"op":"read"|"write"|"any","count":N,"rate":R,"ms":T}.
// It applies to the next `count` requests (0: until healed) that have a key starting with `prefix`, each with probability `rate`.
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
    LateEffect, ///< the connection is cut at once, the effect takes place `ms` later
    Slow, ///< effect and answer are delayed by `ms`
};

struct StoreFault {
    FaultMode mode = FaultMode::Refuse;
    std::string prefix; ///< of the keys that the fault applies to
    bool reads = true;
    bool writes = true;
    int remaining = 0; ///< requests still to be affected; 0: no limit
    double rate = 1.0;
    Duration delay;
};

/// A request to the store: its keys, whether it writes, and the effect, which answers the exchange passed to it.
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

    /// Adds a fault; mode "ok" removes all faults. False if the mode is unknown.
    auto apply(const Json &command) -> bool;
    /// Runs the request's effect after `latency`, or applies the first matching fault.
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
