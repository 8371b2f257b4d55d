// kingcup-bench: measures how long planning and routing take in one cell. Prints one line per case, in milliseconds or microseconds.
//
// `kingcup-bench [MODELS] [RUNNERS] [ROUNDS]`; 1,600 models, 700 runners and 120 rounds if not given.
#include "core/placement.h"
#include "core/routing.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <numeric>
#include <random>

namespace
{

using namespace KingCup;

constexpr int DefaultModels = 1600;
constexpr int DefaultRunners = 700;
constexpr int DefaultRounds = 120;
constexpr int Zones = 4;
constexpr double RequestsPerRunner = 18; ///< requests a second with one second of service time each: slightly less than half of a runner's concurrency
constexpr double Sizes[] = {6, 14, 16, 28}; ///< gigabytes
constexpr int BurstRounds = 30; ///< rounds until the burst moves to another model
constexpr double BurstFactor = 10;
constexpr int RoutingCalls = 100000;
const ServiceName Models("models");

auto millis(const std::function<void()> &work) -> double
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

auto print(const std::string &what, std::vector<double> times) -> void
{
    std::sort(times.begin(), times.end());
    const auto mean = std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
    std::cout << what << ": mean " << mean << " ms, median " << times[times.size() / 2] << " ms, most " << times.back() << " ms over " << times.size() << "\n";
}

/// A cell with Zipf-distributed demand and one burst that moves from model to model.
class Cell
{
public:
    Cell(int models, int runners)
        : m_random(1)
    {
        m_set.services[Models] = Service {.name = Models};
        for (int i = 0; i < models; ++i) {
            addModel("m" + std::to_string(i));
        }
        for (int i = 0; i < runners; ++i) {
            RunnerState runner {.id = TargetId("r" + std::to_string(i)), .zone = ZoneName("z" + std::to_string(i % Zones)), .service = Models};
            runner.memoryTotal = Bytes::gigabytes(80);
            runner.concurrency = 40;
            m_input.runners.push_back(runner);
        }
        m_input.declarations = &m_set;
        const double total = RequestsPerRunner * runners;
        double harmonic = 0;
        for (int i = 1; i <= models; ++i) {
            harmonic += 1.0 / i;
        }
        int rank = 1;
        for (const auto &[name, artifact] : m_set.artifacts) {
            m_base.push_back({name, total / harmonic / rank++, Duration::seconds(1)});
        }
    }

    auto input() -> PlacementInput &
    {
        return m_input;
    }

    auto setDemand(int round) -> void
    {
        m_input.demand = m_base;
        const auto burst = static_cast<std::size_t>(round / BurstRounds * 37 + 20) % m_base.size();
        m_input.demand[burst].perSecond *= BurstFactor;
    }

    auto applyPlans(const Plan &surge) -> void
    {
        for (auto &runner : m_input.runners) {
            runner.residents.clear();
            for (const auto *plan : {static_cast<const Plan *>(&m_input.floor), &surge}) {
                for (const auto &artifact : plan->artifactsOn(runner.id)) {
                    runner.residents.push_back({artifact, m_set.artifacts.at(artifact).size});
                }
            }
        }
    }

private:
    auto addModel(const std::string &name) -> void
    {
        const ArtifactName version(name + "@1");
        const auto size = Bytes::gigabytes(Sizes[m_random() % std::size(Sizes)]);
        m_set.artifacts[version] = Artifact {.name = version, .service = Models, .size = size};
        m_set.models[name] = Model {.name = name, .service = Models, .current = version, .versions = {version}};
    }

    std::mt19937 m_random;
    Declarations m_set;
    PlacementInput m_input;
    std::vector<ArtifactDemand> m_base;
};

auto measurePlanning(Cell &cell, int rounds) -> void
{
    auto &input = cell.input();
    cell.setDemand(0);
    FloorResult floor;
    print("first floor", {millis([&] { floor = planFloor(input, {}); })});
    std::cout << "  copies " << floor.plan.copies() << ", unplaced " << floor.unplaced.size() << "\n";
    input.floor = floor.plan;
    cell.applyPlans({});
    print("floor without change", {millis([&] { floor = planFloor(input, {}); })});
    SurgePlanner planner({});
    std::vector<double> times;
    std::size_t surge = 0;
    for (int round = 0; round < rounds; ++round) {
        cell.setDemand(round);
        cell.applyPlans(planner.surge());
        const auto before = planner.surge().copies();
        times.push_back(millis([&] { planner.plan(input, input.floor, TimePoint() + Duration::seconds(round)); }));
        surge += planner.surge().copies() - before;
    }
    print("surge round", times);
    std::cout << "  surge copies " << planner.surge().copies() << ", net additions " << surge << "\n";
}

auto measureRouting() -> void
{
    constexpr int Targets = 8; ///< on which the model is resident
    const ArtifactName model("m0@1");
    Router router({});
    for (int i = 0; i < Targets; ++i) {
        const TargetId id("r" + std::to_string(i));
        router.targetUp(id, ZoneName("z0"), Models, TimePoint());
        router.reportReceived(
            id, {.sequence = 1, .running = i, .concurrencyLimit = 64, .serviceTime = Duration::seconds(1), .residents = {model}}, TimePoint());
    }
    const auto time = millis([&] {
        for (int i = 0; i < RoutingCalls; ++i) {
            const RoutingRequest request {.id = RequestId("q" + std::to_string(i)), .artifacts = {model}, .deadline = TimePoint() + Duration::seconds(30)};
            const auto choice = router.choose(request, TimePoint());
            router.requestStarted(request, choice.target, TimePoint());
            router.requestEnded(request.id, choice.target, AttemptResult::Delivered, TimePoint());
        }
    });
    std::cout << "routing among " << Targets << " holders: " << time * 1000 / RoutingCalls << " us a request\n";
}

auto numberFrom(int argc, char **argv, int index, int fallback) -> int
{
    return argc > index ? std::atoi(argv[index]) : fallback; // NOLINT(cert-err34-c)
}

} // namespace

auto main(int argc, char **argv) -> int
{
    Cell cell(numberFrom(argc, argv, 1, DefaultModels), numberFrom(argc, argv, 2, DefaultRunners));
    measurePlanning(cell, numberFrom(argc, argv, 3, DefaultRounds));
    measureRouting();
    return 0;
}
