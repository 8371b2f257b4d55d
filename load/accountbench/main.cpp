// kingcup-accountbench: measures the time and memory that client accounts cost a gateway, without network. Prints one line per case.
//
// `kingcup-accountbench [ACCOUNTS] [KEYS] [GATEWAYS]`; 1,000 accounts, 100,000 keys and 450 gateways if not given.
#include "core/accountaccess.h"

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <malloc.h>

namespace
{

using namespace KingCup;

constexpr int DefaultAccounts = 1000;
constexpr int DefaultKeys = 100000;
constexpr int DefaultGateways = 450;
constexpr int Decisions = 200000;
constexpr int ReportRounds = 20;
constexpr double Rate = 300000; ///< tokens a second of each account
constexpr std::int64_t RequestTokens = 9000;

auto seconds(const std::function<void()> &work) -> double
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

auto heapBytes() -> std::size_t
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

auto keyName(int number) -> std::string
{
    return "key-of-some-length-" + std::to_string(number);
}

auto at(double second) -> TimePoint
{
    return TimePoint() + Duration::seconds(100 + second);
}

auto makeAccounts(int accounts, int keys) -> std::vector<ClientAccount>
{
    std::vector<ClientAccount> list(static_cast<std::size_t>(accounts));
    for (int i = 0; i < accounts; ++i) {
        auto &account = list[static_cast<std::size_t>(i)];
        account.name = AccountName("account-" + std::to_string(i));
        account.limit = {.unit = UsageUnit::Tokens, .perSecond = Rate, .burst = Rate, .defaultTokens = 200};
    }
    for (int i = 0; i < keys; ++i) {
        list[static_cast<std::size_t>(i % accounts)].keys.push_back(digestOf(keyName(i)));
    }
    return list;
}

auto argument(int argc, char **argv, int index, int fallback) -> int
{
    return argc > index ? std::atoi(argv[index]) : fallback;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const int accounts = argument(argc, argv, 1, DefaultAccounts);
    const int keys = argument(argc, argv, 2, DefaultKeys);
    const int gateways = argument(argc, argv, 3, DefaultGateways);
    constexpr double Millis = 1e3;
    constexpr double Micros = 1e6;

    const auto before = heapBytes();
    auto traffic = std::make_shared<Traffic>();
    AccountAccess access(at(0));
    const auto adoption = seconds([&] {
        traffic->accounts = AccountTable(makeAccounts(accounts, keys));
        access.adopt(traffic, at(0));
    });
    std::cout << "adopting " << keys << " keys of " << accounts << " accounts: " << adoption * Millis << " ms, " << (heapBytes() - before) / 1024 << " KB\n";

    std::vector<std::string> headers;
    headers.reserve(static_cast<std::size_t>(keys));
    for (int i = 0; i < keys; ++i) {
        headers.push_back("Bearer " + keyName(i));
    }
    const auto deciding = seconds([&] {
        for (int i = 0; i < Decisions; ++i) {
            access.decide(headers[static_cast<std::size_t>(i) * 7919 % headers.size()], RequestTokens, at(2 + i * 1e-4));
        }
    });
    std::cout << "one decision: " << deciding / Decisions * Micros << " us\n";

    const auto usageBefore = heapBytes();
    const auto merging = seconds([&] {
        for (int round = 1; round <= ReportRounds; ++round) {
            for (int gateway = 0; gateway < gateways; ++gateway) {
                UsageReport report {"gateway-" + std::to_string(gateway), EntryId("start"), true, {}};
                for (const auto &account : traffic->accounts.accounts()) {
                    report.accounts.push_back({accountHash(account.name), round * RequestTokens, 0});
                }
                access.usage().merge(report, at(30 + round));
            }
        }
    });
    std::cout << "merging one gateway's report on all accounts: " << merging / ReportRounds / gateways * Millis << " ms, " << (heapBytes() - usageBefore) / 1024
              << " KB for " << gateways << " gateways\n";
    return 0;
}
