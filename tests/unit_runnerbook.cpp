// Random orders of two lease holders to one runner that follows the platform's pages: orders without an answer that take effect late, lost answers, reports and
// rows with old contents. Whatever the book allows must fit into the runner.
#include "core/runnerbook.h"
#include "tests/sim_table.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>

using namespace KingCup;

namespace
{

constexpr int Models = 8;
constexpr int Adapters = 6; ///< of each model
constexpr int ModelsThatFit = 3;
constexpr int AdapterSlots = 4;
constexpr int Accepted = 202;
constexpr int Unchanged = 200;
constexpr int Refused = 409;

auto engine() -> EngineDeclaration
{
    EngineDeclaration declared;
    declared.memory = Bytes(100 * ModelsThatFit + 5);
    declared.adapterSlots = AdapterSlots;
    std::vector<ModelDeclaration> models;
    models.reserve(Models);
    for (int i = 0; i < Models; ++i) {
        models.push_back({.name = "m" + std::to_string(i), .weights = Bytes(100), .adapters = Adapters});
    }
    declared.setModels(models);
    return declared;
}

struct SimRunner {
    SimClock &clock;
    std::mt19937_64 &random;
    bool acceptsAdaptersWhileUnloading; ///< the pages don't say whether a runner does
    std::map<std::string, std::set<std::string>> models;
    std::set<std::string> adaptersLoading; ///< MODEL/ADAPTER
    bool isLoading = false;
    bool isUnloading = false;
    std::size_t slotsUnloading = 0; ///< of adapters of a model that is being unloaded
    std::uint64_t orders = 0;
    int beyondCapacity = 0; ///< accepted orders for which there was no memory or no slot
    std::deque<std::pair<TimePoint, RunnerReport>> history;

    auto uniform(double from, double to) const -> double
    {
        return std::uniform_real_distribution<double>(from, to)(random);
    }
    auto changed() -> void
    {
        RunnerReport report;
        for (const auto &[name, adapters] : models) {
            report.models.push_back({name, 0, {adapters.begin(), adapters.end()}});
        }
        report.adaptersLoading.assign(adaptersLoading.begin(), adaptersLoading.end());
        report.isBusy = isLoading || isUnloading;
        report.ordersTaken = orders;
        history.emplace_back(clock.now(), report);
    }
    auto reportOf(Duration age) const -> RunnerReport
    {
        auto report = history.front().second;
        for (const auto &[at, content] : history) {
            report = at <= clock.now() - age ? content : report;
        }
        return report;
    }
    auto usedSlots() const -> std::size_t
    {
        auto used = adaptersLoading.size() + slotsUnloading;
        for (const auto &[name, adapters] : models) {
            used += adapters.size();
        }
        return used;
    }
    auto perform(const RunnerOrder &order, std::uint64_t expected) -> int
    {
        const bool isBlocked = isLoading || (isUnloading && (order.adapter.empty() || !acceptsAdaptersWhileUnloading));
        if (expected != orders || isBlocked) {
            return Refused;
        }
        return order.adapter.empty() ? performOnModel(order) : performOnAdapter(order);
    }
    auto accept() -> int
    {
        ++orders;
        changed();
        return Accepted;
    }
    auto performOnModel(const RunnerOrder &order) -> int
    {
        if (order.isLoad == models.contains(order.model)) {
            return Unchanged;
        }
        if (order.isLoad) {
            beyondCapacity += models.size() >= ModelsThatFit ? 1 : 0;
            isLoading = true;
            clock.after(Duration::seconds(uniform(0.3, 2)), [this, name = order.model] {
                models[name];
                isLoading = false;
                changed();
            });
            return accept();
        }
        slotsUnloading = models.at(order.model).size();
        models.erase(order.model);
        std::erase_if(adaptersLoading, [&](const std::string &adapter) { return adapter.starts_with(order.model + "/"); });
        endUnloadLater([] {});
        return accept();
    }
    auto performOnAdapter(const RunnerOrder &order) -> int
    {
        const auto found = models.find(order.model);
        if (found == models.end()) {
            return Refused;
        }
        const auto name = order.model + "/" + order.adapter;
        if (order.isLoad) {
            if (found->second.contains(order.adapter) || adaptersLoading.contains(name)) {
                return Unchanged;
            }
            beyondCapacity += usedSlots() >= AdapterSlots ? 1 : 0;
            adaptersLoading.insert(name);
            clock.after(Duration::seconds(uniform(0.005, 0.1)), [this, name, order] {
                if (adaptersLoading.erase(name) > 0) {
                    models[order.model].insert(order.adapter);
                    changed();
                }
            });
            return accept();
        }
        if (!found->second.contains(order.adapter)) {
            return Unchanged;
        }
        if (uniform(0, 1) < 0.3) { // in use
            endUnloadLater([this, order] {
                if (models.contains(order.model)) {
                    models.at(order.model).erase(order.adapter);
                }
            });
            return accept();
        }
        found->second.erase(order.adapter);
        accept();
        return Unchanged;
    }
    auto endUnloadLater(const std::function<void()> &action) -> void
    {
        isUnloading = true;
        clock.after(Duration::seconds(uniform(0, 1) < 0.6 ? 0.002 : uniform(0.01, 3)), [this, action] {
            action();
            isUnloading = false;
            slotsUnloading = 0;
            changed();
        });
    }
};

struct SimHolders {
    SimClock clock;
    std::mt19937_64 random;
    SimRunner runner;
    EngineDeclaration declared = engine();
    std::array<RunnerBook, 2> books;
    std::size_t holder = 0;
    TargetDescription row;
    double lateShare = 0;
    double lostShare = 0;

    SimHolders(std::uint64_t seed, bool acceptsAdaptersWhileUnloading)
        : random(seed)
        , runner {clock, random, acceptsAdaptersWhileUnloading}
    {
        lateShare = runner.uniform(0, 0.5);
        lostShare = runner.uniform(0, 0.2);
        runner.models = {{"m0", {}}, {"m1", {"a1"}}};
        runner.changed();
        row.incarnation = {TargetId("runner"), 1};
        for (auto &book : books) {
            book.descriptionReceived(row, clock.now());
        }
        tick();
    }
    auto tick() -> void
    {
        auto &book = books.at(holder);
        book.advance(clock.now());
        if (book.needsReport(clock.now())) {
            requestReport(book);
        } else if (runner.uniform(0, 1) < 0.6) {
            sendOrder(book);
        }
        if (runner.uniform(0, 1) < 0.004) {
            books.at(holder).invalidate(clock.now());
            holder = 1 - holder;
            books.at(holder).takenOver(clock.now());
        }
        if (runner.uniform(0, 1) < 0.05) {
            row.models = runner.reportOf(Duration::seconds(runner.uniform(0, 1.5))).models;
            books.at(holder).descriptionReceived(row, clock.now());
        }
        clock.after(Duration::seconds(runner.uniform(0.005, 0.05)), [this] { tick(); });
    }
    auto requestReport(RunnerBook &book) -> void
    {
        book.reportRequested(clock.now());
        clock.after(Duration::seconds(runner.uniform(0.004, 0.07)),
                    [this, &book] { book.reported(runner.reportOf(Duration::seconds(runner.uniform(0.1, 0.35))), clock.now()); });
    }
    auto sendOrder(RunnerBook &book) -> void
    {
        RunnerOrder order {runner.uniform(0, 1) < 0.6, "m" + std::to_string(random() % Models), ""};
        if (runner.uniform(0, 1) < 0.6) {
            order.adapter = "a" + std::to_string(random() % Adapters + 1);
        }
        if (!book.mayOrder(order, declared, clock.now())) {
            return;
        }
        const auto expected = book.ordersTaken();
        book.ordered(order, Duration::millis(order.adapter.empty() ? 600 : 12), clock.now());
        const auto isEnded = std::make_shared<bool>(false);
        clock.after(Duration::millis(250), [this, &book, isEnded] {
            if (!std::exchange(*isEnded, true)) {
                book.unanswered(clock.now());
            }
        });
        const double fate = runner.uniform(0, 1);
        const bool isLate = fate < lateShare;
        const bool isAnswered = fate >= lateShare + lostShare;
        clock.after(Duration::seconds(isLate ? runner.uniform(2, 12) : runner.uniform(0.001, 0.02)), [this, &book, order, expected, isAnswered, isEnded] {
            const int status = runner.perform(order, expected);
            if (isAnswered) {
                clock.after(Duration::millis(10), [this, &book, status, isEnded] { answered(book, status, *isEnded); });
            }
        });
    }
    auto answered(RunnerBook &book, int status, bool &isEnded) -> void
    {
        if (std::exchange(isEnded, true)) {
            return;
        }
        if (status == Refused) {
            book.refusedAsBusy(clock.now());
        } else {
            book.accepted(status == Unchanged, clock.now());
        }
    }
};

} // namespace

TEST_CASE("no order that a book allows exceeds the runner's memory or adapter slots")
{
    // Guards against memory and slots that count as free before an unload has ended, and against late orders that meet another state than the one they were
    // for.
    for (const bool acceptsAdaptersWhileUnloading : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            SimHolders holders(seed, acceptsAdaptersWhileUnloading);
            holders.clock.runUntil(TimePoint() + Duration::seconds(300));
            CAPTURE(acceptsAdaptersWhileUnloading, seed);
            REQUIRE(holders.runner.orders > 100);
            CHECK(holders.runner.beyondCapacity == 0);
        }
    }
}
