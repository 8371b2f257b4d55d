#include "core/storewatchers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace KingCup;

namespace
{

constexpr int Gateways = 103;

auto at(double seconds) -> TimePoint
{
    return TimePoint() + Duration::seconds(seconds);
}

/// Gateways in the order of their ranking, each with its own state; `reaches` tells which of them can reach the store.
struct Fleet {
    std::vector<StoreWatchers> watchers = std::vector<StoreWatchers>(Gateways);
    std::vector<bool> reaches = std::vector<bool>(Gateways, true);

    auto watching(TimePoint now) const -> int
    {
        int count = 0;
        for (int rank = 0; rank < Gateways; ++rank) {
            count += rank < watchers[static_cast<std::size_t>(rank)].desiredWatchers(now) ? 1 : 0;
        }
        return count;
    }
    auto isStoreReachable(TimePoint now) const -> bool
    {
        for (std::size_t rank = 0; rank < reaches.size(); ++rank) {
            if (reaches[rank] && static_cast<int>(rank) < watchers[rank].desiredWatchers(now)) {
                return true;
            }
        }
        return false;
    }
    auto advance(TimePoint now) -> void
    {
        const bool isReachableNow = isStoreReachable(now);
        for (auto &one : watchers) {
            one.advance(isReachableNow, now);
        }
    }
};

} // namespace

TEST_CASE("store outage: a bounded number of gateways retries, independent of the size of the deployment")
{
    // If all 103 gateways retried while the store was unavailable, some hundred calls a second, each of which has a price, would hit a store that is
    // recovering.
    Fleet fleet;
    fleet.advance(at(0));
    CHECK(fleet.watching(at(0)) == StoreWatcherOptions().baseCount);
    std::fill(fleet.reaches.begin(), fleet.reaches.end(), false);
    for (int tick = 0; tick < 300; ++tick) {
        fleet.advance(at(tick * 0.1));
        REQUIRE(fleet.watching(at(tick * 0.1)) <= StoreWatcherOptions().maxCount);
    }
    std::fill(fleet.reaches.begin(), fleet.reaches.end(), true);
    fleet.advance(at(30));
    CHECK(fleet.watching(at(30)) == StoreWatcherOptions().baseCount);
}

TEST_CASE("the store refuses single hosts: another gateway reaches it within a second and a half")
{
    for (const std::size_t refused : {1U, 3U, 6U, 11U}) {
        Fleet fleet;
        fleet.advance(at(0));
        std::fill_n(fleet.reaches.begin(), refused, false);
        double now = 0.1;
        for (; !fleet.isStoreReachable(at(now)) && now < 10; now += 0.1) {
            fleet.advance(at(now));
        }
        CHECK(now <= 1.5);
    }
}

TEST_CASE("the store refuses the hosts of all gateways that rank first: the others try in turn")
{
    // Guards against a deployment that never finds out which of its gateways reach the store, since always the same ones try.
    for (const int refused : {12, 40, 90}) {
        StoreWatchers watchers;
        watchers.advance(true, at(0));
        watchers.advance(false, at(1));
        std::set<int> tried;
        int atOnce = 0;
        double now = 1;
        for (; (tried.empty() || *tried.rbegin() < refused) && now < 20; now += 0.1) {
            int trying = 0;
            for (int ahead = 0; ahead < Gateways; ++ahead) {
                if (watchers.isDesired(ahead, Gateways, at(now))) {
                    tried.insert(ahead);
                    ++trying;
                }
            }
            atOnce = std::max(atOnce, trying);
        }
        CAPTURE(refused);
        CHECK(atOnce <= StoreWatcherOptions().maxCount);
        CHECK(now <= 2 + 0.4 * refused / 6.0 + 0.2);
    }
}

TEST_CASE("mass restart: of many gateways a few read the store's tables, the others get them from those")
{
    // When 301 gateways started at the same time and each read the rows of 2,998 targets, the bytes read cost more than anything else, and no gateway served
    // for 8 s.
    const StoreWatchers watchers;
    int reading = 0;
    for (int ahead = 0; ahead < 301; ++ahead) {
        reading += watchers.initialSource(301, ahead) == TableSource::Store ? 1 : 0;
    }
    CHECK(reading == StoreWatcherOptions().maxCount);
    for (int ahead = 0; ahead < 30; ++ahead) {
        CHECK(watchers.initialSource(30, ahead) == TableSource::Store);
    }
}
