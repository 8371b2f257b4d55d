// Estimates how the work of models spreads over the runners that hold them, assuming that each request goes to the least loaded runner with its model. Work
// is measured in runners: 1 keeps one runner busy all the time. No I/O.
//
// Dividing a model's work evenly among its replicas would be wrong: a runner that is busy with another model would seem to take an equal part, and an idle
// one would seem loaded. The plan would then add replicas where no requests wait, and none where they do.
//
// Index of sections (search for [SECTION]):
//   Loss         work that is late or lost, by the load of a runner
//   CopySpread   work of the models by runner
#pragma once

#include <cstddef>
#include <vector>

namespace KingCup
{

// [SECTION] Loss

/// Work of a runner that is late or lost, as a function of the runner's load. Beyond its steepest point the curve continues as a straight line: if it levelled
/// off at loads where hardly any request is on time, adding the first of several replicas that an overloaded model needs would seem to gain nothing.
struct LossCurve {
    double halfLost = 0.7; ///< load at which half of the work is lost
    double steepness = 2.5; ///< low, because streams are delayed by the prompts of other requests long before a runner is full

    auto lostWork(double work) const -> double;
};

// [SECTION] CopySpread

/// Models and runners are addressed by index.
class CopySpread
{
public:
    CopySpread(std::size_t models, std::size_t runners);

    // Queries
    auto work(std::size_t model) const -> double;
    auto copies(std::size_t model) const -> std::size_t;
    auto holds(std::size_t model, std::size_t runner) const -> bool;
    auto load(std::size_t runner) const -> double; ///< work on the runner, and its share that isn't available; 1 keeps it busy all the time
    auto share(std::size_t model, std::size_t runner) const -> double; ///< the model's part of load(runner)
    auto lowestLoad(std::size_t model) const -> double; ///< load of the least loaded runner with the model; 0 without a replica
    auto lostWork(const LossCurve &curve) const -> double; ///< work that is late or lost on all runners; models without a replica aren't counted

    // Commands. Call rebalance() after a series of changes.
    auto setWork(std::size_t model, double work) -> void;
    auto setUnavailable(std::size_t runner, double share) -> void; ///< a share of the runner's time that no request may use; call it before rebalance()
    auto add(std::size_t model, std::size_t runner) -> void;
    auto remove(std::size_t model, std::size_t runner) -> void;
    auto rebalance() -> void; ///< spreads the work of all models again

private:
    struct Copy {
        std::size_t runner = 0;
        double work = 0;
    };
    auto spread(std::size_t model) -> void;

    std::vector<double> m_work; ///< by model
    std::vector<std::vector<Copy>> m_copies; ///< by model
    std::vector<double> m_loads; ///< by runner
    std::vector<std::size_t> m_order; ///< models with work and replicas, those with the fewest replicas first
};

} // namespace KingCup
