// kingcup-pathcost: measures the cost of the path through an entry and an agent compared with calling the target directly: added latency, and CPU
// time for each request. Direct and indirect rounds alternate in one run, so that both run under the same conditions of the machine.
//
//   kingcup-pathcost DIRECT-IP:PORT DIRECT-PATH ENTRY-IP:PORT ENTRY-PATH REQUESTS CALLERS [PID...]
//
// Closed loop: each caller sends its next request when the previous one is answered. PID: a process whose CPU time is counted.
#include "net/http.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{

using namespace KingCup;

constexpr int Rounds = 10; // of each path
constexpr int MinArguments = 7;
constexpr double Median = 0.5;
constexpr double Tail = 0.99;
constexpr double MicrosPerMilli = 1000;

struct CallPath {
    Endpoint server;
    std::string path;
    std::vector<double> millis; // latency of each request
    int failed = 0;
    double cpuSeconds = 0;
    double seconds = 0;
};

auto cpuSecondsOf(const std::vector<std::string> &pids) -> double
{
    constexpr int FieldsBeforeTimes = 11; // after the process name: state ... cmajflt
    double ticks = 0;
    for (const auto &pid : pids) {
        std::ifstream file("/proc/" + pid + "/stat");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        std::istringstream fields(text.substr(text.rfind(')') + 1));
        std::string skipped;
        for (int i = 0; i < FieldsBeforeTimes; ++i) {
            fields >> skipped;
        }
        double user = 0;
        double system = 0;
        fields >> user >> system;
        ticks += user + system;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class Round
{
public:
    Round(EventLoop &loop, HttpClient &client, CallPath &callPath, int requests)
        : m_loop(loop)
        , m_client(client)
        , m_callPath(callPath)
        , m_toSend(requests)
        , m_open(requests)
    {
    }
    auto run(int callers) -> void
    {
        const auto start = m_loop.now();
        for (int i = 0; i < callers; ++i) {
            next();
        }
        m_loop.runUntil([&] { return m_open == 0; }, Duration::seconds(600));
        m_callPath.seconds += (m_loop.now() - start).inSeconds();
    }

private:
    auto next() -> void
    {
        if (m_toSend == 0) {
            return;
        }
        --m_toSend;
        const auto start = m_loop.now();
        HttpCall call {.server = m_callPath.server, .path = m_callPath.path};
        startShortCall(m_client, std::move(call), [this, start](const HttpAnswer &answer) {
            --m_open;
            m_callPath.millis.push_back(static_cast<double>((m_loop.now() - start).inMicros()) / MicrosPerMilli);
            m_callPath.failed += answer.end == CallEnd::Complete && answer.status == 200 ? 0 : 1;
            next();
        });
    }

    EventLoop &m_loop;
    HttpClient &m_client;
    CallPath &m_callPath;
    int m_toSend;
    int m_open;
};

auto quantile(std::vector<double> values, double share) -> double
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

auto print(const char *name, const CallPath &callPath) -> void
{
    const auto count = static_cast<double>(callPath.millis.size());
    std::printf("%-8s requests=%.0f failed=%d p50=%.3f ms p99=%.3f ms rate=%.0f/s cpu=%.1f us/request\n",
                name,
                count,
                callPath.failed,
                quantile(callPath.millis, Median),
                quantile(callPath.millis, Tail),
                count / callPath.seconds,
                callPath.cpuSeconds / count * 1e6);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const std::vector<std::string> arguments(argv, argv + argc);
    if (argc < MinArguments) {
        std::cerr << "usage: kingcup-pathcost DIRECT-IP:PORT DIRECT-PATH ENTRY-IP:PORT ENTRY-PATH REQUESTS CALLERS [PID...]\n";
        return 2;
    }
    CallPath direct {endpointFromString(arguments[1]), arguments[2], {}};
    CallPath indirect {endpointFromString(arguments[3]), arguments[4], {}};
    const int requests = std::stoi(arguments[5]) / Rounds;
    const int callers = std::stoi(arguments[6]);
    const std::vector<std::string> pids(arguments.begin() + MinArguments, arguments.end());
    EventLoop loop;
    HttpClient client(loop);
    for (int round = 0; round < Rounds; ++round) {
        for (auto *callPath : {&direct, &indirect}) {
            const double before = cpuSecondsOf(pids);
            Round(loop, client, *callPath, requests).run(callers);
            callPath->cpuSeconds += cpuSecondsOf(pids) - before;
        }
    }
    print("direct", direct);
    print("path", indirect);
    std::printf("added    p50=%.3f ms p99=%.3f ms; %.0f requests a second for each core of entry and agent together\n",
                quantile(indirect.millis, Median) - quantile(direct.millis, Median),
                quantile(indirect.millis, Tail) - quantile(direct.millis, Tail),
                static_cast<double>(indirect.millis.size()) / std::max(indirect.cpuSeconds, 1e-9));
    return indirect.failed == 0 ? 0 : 1;
}
