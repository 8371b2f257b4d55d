#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace KingCup
{

namespace
{

constexpr auto Bin = Duration::millis(100); ///< the request rate is constant within a bin

class ScheduleMaker
{
public:
    ScheduleMaker(const Workload &workload, std::size_t names)
        : m_workload(workload)
        , m_random(workload.seed)
        , m_end(workload.warmup + workload.duration)
        , m_weights(names)
    {
        drawPopularity();
        drawBursts();
        m_phase = std::uniform_real_distribution<double>(0, 2 * std::numbers::pi)(m_random);
    }

    auto make() -> Schedule
    {
        for (Duration at; at < m_end; at = at + Bin) {
            fillBin(at);
        }
        auto &list = m_schedule.arrivals;
        std::stable_sort(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.at < right.at; });
        std::uint64_t number = 0;
        for (auto &arrival : list) {
            arrival.number = number++;
        }
        return std::move(m_schedule);
    }

private:
    auto drawPopularity() -> void
    {
        std::vector<std::size_t> ranks(m_weights.size());
        std::iota(ranks.begin(), ranks.end(), 0);
        std::shuffle(ranks.begin(), ranks.end(), m_random);
        double sum = 0;
        for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
            m_weights[ranks[rank]] = 1.0 / std::pow(static_cast<double>(rank + 1), m_workload.zipf);
            sum += m_weights[ranks[rank]];
        }
        for (auto &weight : m_weights) {
            weight /= sum;
        }
        m_byRank = ranks;
    }

    auto drawBursts() -> void
    {
        const auto &bursts = m_workload.bursts;
        if (m_weights.empty()) {
            return;
        }
        const auto candidates
            = bursts.candidateNames == 0 ? m_byRank.size() : std::min<std::size_t>(static_cast<std::size_t>(bursts.candidateNames), m_byRank.size());
        std::uniform_int_distribution<std::size_t> name(0, candidates - 1);
        std::uniform_real_distribution<double> seconds(bursts.shortest.inSeconds(), bursts.longest.inSeconds());
        for (int slot = 0; slot < bursts.concurrent; ++slot) {
            Duration from;
            while (from < m_end) {
                const auto to = from + Duration::seconds(seconds(m_random));
                m_schedule.bursts.push_back({m_byRank[name(m_random)], from, to});
                from = to;
            }
        }
    }

    auto weightsAt(Duration at) const -> std::vector<double>
    {
        auto weights = m_weights;
        for (const auto &burst : m_schedule.bursts) {
            if (burst.from <= at && at < burst.to) {
                weights[burst.name] = m_weights[burst.name] * m_workload.bursts.factor;
            }
        }
        return weights;
    }

    auto dayFactor(Duration at) const -> double
    {
        if (m_workload.dayPeriod.inMicros() == 0) {
            return 1;
        }
        const double turn = at.inSeconds() / m_workload.dayPeriod.inSeconds();
        return 1 + m_workload.dayAmplitude * std::sin(2 * std::numbers::pi * turn + m_phase);
    }

    auto fillBin(Duration at) -> void
    {
        const auto weights = weightsAt(at);
        const double modelFactor = std::accumulate(weights.begin(), weights.end(), 0.0);
        std::discrete_distribution<std::size_t> drawName(weights.begin(), weights.end());
        std::uniform_int_distribution<std::int64_t> within(0, Bin.inMicros() - 1);
        std::uniform_real_distribution<double> share(0, 1);
        for (std::size_t index = 0; index < m_workload.classes.size(); ++index) {
            const auto &requestClass = m_workload.classes[index];
            const double expected = requestClass.perSecond * m_workload.rate * dayFactor(at) * (requestClass.isModel ? modelFactor : 1) * Bin.inSeconds();
            const int count = expected > 0 ? std::poisson_distribution<int>(expected)(m_random) : 0;
            for (int i = 0; i < count; ++i) {
                Arrival arrival {.at = at + Duration::micros(within(m_random)), .classIndex = index};
                arrival.name = requestClass.isModel ? drawName(m_random) : 0;
                arrival.mayResend = share(m_random) < m_workload.resendShare;
                arrival.crashesEngine = requestClass.isModel && share(m_random) < m_workload.crashShare;
                m_schedule.arrivals.push_back(arrival);
            }
        }
    }

    const Workload &m_workload;
    std::mt19937_64 m_random;
    Duration m_end;
    std::vector<double> m_weights;
    std::vector<std::size_t> m_byRank;
    double m_phase = 0;
    Schedule m_schedule;
};

} // namespace

auto makeSchedule(const Workload &workload, std::size_t names) -> Schedule
{
    return ScheduleMaker(workload, names).make();
}

} // namespace KingCup
