// A simulated table service in virtual time that loses requests and answers, and lets writes take effect late.
#pragma once

#include "core/table.h"
#include "core/units.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace KingCup
{

/// Runs scheduled events in virtual time, in the order of their times.
class SimClock
{
public:
    auto now() const -> TimePoint
    {
        return m_now;
    }
    auto at(TimePoint when, std::function<void()> action) -> void
    {
        m_events.emplace(std::max(when, m_now), std::move(action));
    }
    auto after(Duration delay, std::function<void()> action) -> void
    {
        at(m_now + delay, std::move(action));
    }
    /// Runs one event. Returns false if none is due until `until`; then that becomes the current time.
    auto step(TimePoint until) -> bool
    {
        if (m_events.empty() || m_events.begin()->first > until) {
            m_now = std::max(m_now, until);
            return false;
        }
        auto event = m_events.extract(m_events.begin());
        m_now = std::max(m_now, event.key());
        event.mapped()();
        return true;
    }
    auto runUntil(TimePoint until) -> void
    {
        while (step(until)) { }
    }

private:
    TimePoint m_now = TimePoint::fromMicros(1'000'000);
    std::multimap<TimePoint, std::function<void()>> m_events;
};

/// Probabilities are per write or read.
struct SimTableFaults {
    double lostRequest = 0.0; ///< never arrives, no answer
    double lostAnswer = 0.0; ///< takes effect, no answer
    double late = 0.0; ///< no answer, takes effect up to `maxDelay` later
    double refused = 0.0; ///< answered as refused, without effect
    Duration maxDelay = Duration::seconds(3);
    Duration latency = Duration::millis(10); ///< upper limit, each way
    Duration timeout = Duration::millis(100); ///< without an answer, after which the client reports the call as lost
};

class SimTable
{
public:
    SimTable(SimClock &clock, std::mt19937_64 &random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    SimTableFaults faults;
    bool down = false; ///< refuses everything
    std::size_t writes = 0; ///< rows written
    std::size_t transactions = 0; ///< committed
    std::map<std::string, TableRow> rows;

    auto transact(const std::vector<TableOp> &ops, const std::function<void(const TransactResult &)> &done) -> void
    {
        if (down || chance(faults.refused)) {
            const bool throttled = !down && chance(0.5);
            return answer([done, throttled] { done({.outcome = TransactOutcome::Refused, .throttled = throttled}); });
        }
        if (chance(faults.lostRequest)) {
            return lose(done);
        }
        if (chance(faults.late)) {
            m_clock.after(randomUpTo(faults.maxDelay), [this, ops] { apply(ops); });
            return lose(done);
        }
        if (chance(faults.lostAnswer)) {
            m_clock.after(randomUpTo(faults.latency), [this, ops] { apply(ops); });
            return lose(done);
        }
        m_clock.after(randomUpTo(faults.latency), [this, ops, done] {
            const auto result = apply(ops);
            answer([done, result] { done(result); });
        });
    }

    auto read(const std::vector<std::string> &keys, const std::function<void(const std::optional<std::vector<TableRow>> &)> &done) -> void
    {
        if (down || chance(faults.refused) || chance(faults.lostRequest) || chance(faults.lostAnswer)) {
            m_clock.after(faults.timeout, [done] { done(std::nullopt); });
            return;
        }
        m_clock.after(randomUpTo(faults.latency), [this, keys, done] {
            std::vector<TableRow> found;
            for (const auto &key : keys) {
                if (rows.contains(key)) {
                    found.push_back(rows[key]);
                }
            }
            answer([done, found] { done(found); });
        });
    }

    auto apply(const std::vector<TableOp> &ops) -> TransactResult
    {
        TransactResult result {.outcome = TransactOutcome::Committed};
        for (const auto &op : ops) {
            const auto found = rows.find(op.key);
            const auto version = found == rows.end() ? RowVersion() : found->second.version;
            if (version != op.expect) {
                result.outcome = TransactOutcome::Conflict;
                result.conflicts.emplace_back(op.key, version);
            }
        }
        if (result.outcome == TransactOutcome::Conflict) {
            return result;
        }
        result.version = RowVersion(++m_version);
        ++transactions;
        for (const auto &op : ops) {
            write(op, result.version);
        }
        return result;
    }

private:
    auto write(const TableOp &op, RowVersion version) -> void
    {
        if (op.kind == TableOp::Kind::Put) {
            rows[op.key] = TableRow {op.key, version, op.value};
        } else if (op.kind == TableOp::Kind::Delete) {
            rows.erase(op.key);
        }
        writes += op.kind == TableOp::Kind::Check ? 0 : 1;
    }
    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    auto randomUpTo(Duration longest) -> Duration
    {
        return Duration::micros(std::uniform_int_distribution<std::int64_t>(0, longest.inMicros())(m_random));
    }
    auto answer(std::function<void()> done) -> void
    {
        m_clock.after(randomUpTo(faults.latency), std::move(done));
    }
    auto lose(const std::function<void(const TransactResult &)> &done) -> void
    {
        m_clock.after(faults.timeout, [done] { done({.outcome = TransactOutcome::Lost}); });
    }

    SimClock &m_clock;
    std::mt19937_64 &m_random;
    std::uint64_t m_version = 0;
};

} // namespace KingCup
