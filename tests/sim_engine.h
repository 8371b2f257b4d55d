// A simulated engine in virtual time that loses orders, lets them take effect late, and crashes. It tracks what its memory really holds.
#pragma once

#include "core/ledger.h"
#include "tests/sim_table.h"

namespace KingCup
{

/// Probabilities are per order, status or fence raise.
struct SimEngineFaults {
    double lostOrder = 0.0; ///< no answer, no effect
    double lateOrder = 0.0; ///< no answer, takes effect up to `maxDelay` after sending
    double lostAnswer = 0.0; ///< of orders, statuses and fences
    double acceptedLate = 0.0; ///< answered as accepted, takes effect up to `maxDelay` after sending
    Duration maxDelay = Duration::seconds(10);
    Duration latency = Duration::millis(50);
    Duration loadTime = Duration::seconds(2);
    Duration restartTime = Duration::seconds(15);
    double refused = 0.0;
};

class SimEngine
{
public:
    SimEngine(SimClock &clock, std::mt19937_64 &random, bool checksFence, Bytes memoryTotal)
        : m_clock(clock)
        , m_random(random)
        , m_checksFence(checksFence)
        , m_total(memoryTotal)
    {
    }

    SimEngineFaults faults;
    Bytes highestUse; ///< highest memory use so far
    std::size_t loads = 0;
    std::map<ArtifactName, std::size_t> duplicateLoads; ///< loads of an artifact that was resident or loading already
    std::vector<EngineArtifact> resident;
    std::vector<EngineArtifact> loading;

    auto used() const -> Bytes
    {
        Bytes sum;
        for (const auto *list : {&resident, &loading}) {
            for (const auto &entry : *list) {
                sum += entry.bytes;
            }
        }
        return sum;
    }
    auto crash() -> void
    {
        ++m_generation;
        resident.clear();
        loading.clear();
        m_fence = Fence();
        m_downUntil = m_clock.now() + faults.restartTime;
    }
    auto order(const EngineOrder &order, const std::function<void(OrderAnswer)> &done) -> void
    {
        if (chance(faults.refused)) {
            m_clock.after(faults.latency, [done] { done(OrderAnswer::Refused); });
            return;
        }
        const bool lost = chance(faults.lostOrder);
        const bool late = chance(faults.lateOrder);
        const bool acceptedLate = chance(faults.acceptedLate);
        const bool answerLost = lost || late || chance(faults.lostAnswer);
        if (!lost) {
            const auto delay = late || acceptedLate ? randomUpTo(faults.maxDelay) : randomUpTo(faults.latency);
            m_clock.after(delay, [this, order, done, answerLost, acceptedLate] {
                const bool taken = apply(order);
                if (!answerLost && !acceptedLate) {
                    done(taken ? OrderAnswer::Accepted : OrderAnswer::Refused);
                }
            });
        }
        if (answerLost) {
            m_clock.after(Duration::seconds(2), [done] { done(OrderAnswer::Lost); });
        } else if (acceptedLate) {
            m_clock.after(randomUpTo(faults.latency), [done] { done(OrderAnswer::Accepted); });
        }
    }
    auto raiseFence(Fence fence, const std::function<void(Fence)> &done) -> void
    {
        if (chance(faults.lostAnswer)) {
            return;
        }
        m_clock.after(randomUpTo(faults.latency), [this, fence, done] {
            if (isDown()) {
                return;
            }
            m_fence = std::max(m_fence, fence);
            m_clock.after(randomUpTo(faults.latency), [done, now = m_fence] { done(now); });
        });
    }
    auto status(const std::function<void(const EngineStatus &)> &done) -> void
    {
        if (chance(faults.lostAnswer)) {
            return;
        }
        m_clock.after(randomUpTo(faults.latency), [this, done] {
            if (isDown()) {
                return;
            }
            const EngineStatus truth {.generation = m_generation, .fence = m_fence, .memoryTotal = m_total, .resident = resident, .loading = loading};
            m_clock.after(randomUpTo(faults.latency), [done, truth] { done(truth); });
        });
    }

private:
    auto isDown() const -> bool
    {
        return m_clock.now() < m_downUntil;
    }
    auto apply(const EngineOrder &order) -> bool
    {
        if (isDown() || (m_checksFence && order.fence < m_fence)) {
            return false;
        }
        if (order.kind == OrderKind::Unload) {
            std::erase_if(resident, [&](const auto &entry) { return entry.artifact == order.artifact; });
            return true;
        }
        const auto same = [&](const auto &entry) {
            return entry.artifact == order.artifact;
        };
        const bool there = std::any_of(resident.begin(), resident.end(), same) || std::any_of(loading.begin(), loading.end(), same);
        duplicateLoads[order.artifact] += there ? 1 : 0;
        ++loads;
        loading.push_back({order.artifact, order.bytes, order.id});
        highestUse = std::max(highestUse, used());
        m_clock.after(faults.loadTime, [this, order, generation = m_generation] { finishLoad(order, generation); });
        return true;
    }
    auto finishLoad(const EngineOrder &order, std::uint64_t generation) -> void
    {
        if (generation != m_generation) {
            return;
        }
        std::erase_if(loading, [&](const auto &entry) { return entry.order == order.id; });
        resident.push_back({order.artifact, order.bytes, {}});
    }
    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    auto randomUpTo(Duration longest) -> Duration
    {
        return Duration::micros(std::uniform_int_distribution<std::int64_t>(0, longest.inMicros())(m_random));
    }

    SimClock &m_clock;
    std::mt19937_64 &m_random;
    bool m_checksFence;
    Bytes m_total;
    std::uint64_t m_generation = 1;
    Fence m_fence;
    TimePoint m_downUntil;
};

} // namespace KingCup
