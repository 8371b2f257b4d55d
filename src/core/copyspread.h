// How the work of models spreads over the runners that hold them, if each request goes to the emptiest runner with its model. Pure.
//
// Counted evenly over a model's copies, a runner that is busy with another model seems to carry its part, and one that is idle seems taken: the plan then
// adds copies where nobody waits, and none where everybody does.
//
// Index of sections (search for [SECTION]):
//   Loss         what is late or lost as runners fill up
//   CopySpread   the state
#pragma once

#include <cstddef>
#include <vector>

namespace KingCup
{

// [SECTION] Loss

/// The work of a runner that is late or lost, by the work that is asked of it. It goes on growing as steeply where hardly anything is on time any more:
/// levelled off there, nothing would be gained by the first of several copies that a model needs.
struct LossCurve {
    double halfLost = 0.7; ///< where half of it is
    double steepness = 2.5; ///< streams stall behind the prompts of others long before a runner is full

    auto lostWork(double work) const -> double;
};

// [SECTION] CopySpread

/// Models and runners by number.
class CopySpread
{
public:
    CopySpread(std::size_t models, std::size_t runners);

    // Queries
    auto work(std::size_t model) const -> double;
    auto copies(std::size_t model) const -> std::size_t;
    auto holds(std::size_t model, std::size_t runner) const -> bool;
    auto load(std::size_t runner) const -> double; ///< work there; 1 fills its time
    auto share(std::size_t model, std::size_t runner) const -> double; ///< of that, the model's
    auto lowestLoad(std::size_t model) const -> double; ///< load of the emptiest runner with the model; 0 without a copy
    auto lostWork(const LossCurve &curve) const -> double; ///< work that is late or lost on runners; what has no copy isn't counted

    // Commands. After some of them call rebalance().
    auto setWork(std::size_t model, double work) -> void;
    auto add(std::size_t model, std::size_t runner) -> void;
    auto remove(std::size_t model, std::size_t runner) -> void;
    auto rebalance() -> void; ///< spreads the work anew

private:
    struct Copy {
        std::size_t runner = 0;
        double work = 0;
    };
    auto spread(std::size_t model) -> void;

    std::vector<double> m_work; ///< by model
    std::vector<std::vector<Copy>> m_copies; ///< by model
    std::vector<double> m_loads; ///< by runner
    std::vector<std::size_t> m_order; ///< models with work, those with the fewest copies first
};

} // namespace KingCup
