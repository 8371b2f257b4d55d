// Crowds of clients that don't behave neither end nor block an entry or the agents behind it, whatever they send: the memory of each process stays below that
// of its host, its descriptors below their limit, and ordinary requests are answered while the crowd is there and after it has left.
#include "tests/crowd.h"
#include "tests/harness_cluster.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr std::size_t HostMemory = 256'000'000; ///< what a daemon may use
constexpr std::size_t MemoryAfterwards = HostMemory / 2;
constexpr int HostDescriptors = 1024;
constexpr int FewDescriptors = 256;
constexpr std::uint64_t MaxBody = 8U << 20U; ///< the default of entries
constexpr int TargetsAnswer = 422; ///< of the stand-in, to a body that it doesn't understand

/// Entries with one agent behind them, and lowered limits.
class CrowdedCluster
{
public:
    explicit CrowdedCluster(int entries = 1, int maxDescriptors = HostDescriptors)
        : m_cluster({.entries = entries,
                     .runners = 0,
                     .ledgers = 1,
                     .settings = "[limits]\nmemory-mb = " + std::to_string(HostMemory / 1'000'000) + "\n",
                     .maxDescriptors = maxDescriptors})
        , m_maxDescriptors(maxDescriptors)
    {
        m_cluster.bringUp();
    }

    auto port(int entry = 1) const -> int
    {
        return m_cluster.callersPort(entry);
    }
    /// Request line and headers of a proper request. Its answer is held for a second, so that requests at the target overlap.
    static auto lines(const std::string &method = "POST", const std::string &path = "/services/ledger/notes?hold-ms=1000") -> std::string
    {
        return method + " " + path + " HTTP/1.1\r\nHost: entry.example\r\n";
    }
    auto answersOrdinaryRequest() -> bool
    {
        return m_cluster.call(1, {.path = "/services/ledger/balance/asha"})->outcome() == "delivered";
    }
    /// To be called while the crowd is there.
    auto checkBounds() -> void
    {
        checkProcesses();
        m_cluster.waitFor("an ordinary request beside the crowd", [&] { return answersOrdinaryRequest(); });
    }
    /// To be called once the crowd has left.
    auto checkRecovery() -> void
    {
        m_cluster.waitFor("an ordinary request after the crowd", [&] { return answersOrdinaryRequest(); });
        for (const auto &id : processes()) {
            m_cluster.waitFor("the memory of " + id + " to be given back", [&] { return m_cluster.process(id).memory() < MemoryAfterwards; });
        }
        checkProcesses();
    }
    auto endure(int clients, const CrowdRequest &request) -> void
    {
        {
            Crowd crowd(port(), clients, request);
            crowd.run();
            checkBounds();
        }
        checkRecovery();
    }

private:
    auto processes() const -> std::vector<std::string>
    {
        auto ids = m_cluster.ids("entry-");
        ids.emplace_back("ledger-1");
        return ids;
    }
    auto checkProcesses() -> void
    {
        for (const auto &id : processes()) {
            INFO(id);
            auto &process = m_cluster.process(id);
            REQUIRE_FALSE(process.exitCode().has_value());
            CHECK(process.peakMemory() < HostMemory);
            CHECK(process.openDescriptors() <= m_maxDescriptors);
        }
    }

    Cluster m_cluster;
    int m_maxDescriptors;
};

} // namespace

TEST_CASE("announced bodies that stop one byte short don't exhaust an entry's memory")
{
    CrowdedCluster cluster;
    cluster.endure(100, announcedRequest(CrowdedCluster::lines(), MaxBody, 1));
}

TEST_CASE("chunked bodies that stop just short of their end don't exhaust an entry's memory")
{
    CrowdedCluster cluster;
    const auto chunk = GENERATE(as<std::size_t> {}, 1, MaxBody);
    cluster.endure(chunk == 1 ? 20 : 100, chunkedRequest(CrowdedCluster::lines(), MaxBody, chunk, 6));
}

TEST_CASE("chunked bodies far over the limit don't exhaust an entry's memory, and their clients read why they are refused")
{
    CrowdedCluster cluster;
    {
        Crowd crowd(cluster.port(), 50, chunkedRequest(CrowdedCluster::lines(), MaxBody * 4, 65536));
        crowd.run();
        CHECK(crowd.answered(413) + crowd.answered(503) + crowd.answered(408) == 50);
        cluster.checkBounds();
    }
    cluster.checkRecovery();
}

TEST_CASE("clients of an entry that announce a body over the limit, and send it, read why it is refused")
{
    CrowdedCluster cluster;
    {
        Crowd crowd(cluster.port(), 50, announcedRequest(CrowdedCluster::lines(), MaxBody * 4));
        crowd.run();
        CHECK(crowd.answered(413) == 50);
        cluster.checkBounds();
    }
    cluster.checkRecovery();
}

TEST_CASE("large whole bodies at once don't exhaust an entry's memory, and none is refused for good")
{
    CrowdedCluster cluster;
    {
        Crowd crowd(cluster.port(), 100, announcedRequest(CrowdedCluster::lines(), MaxBody));
        crowd.run();
        CHECK(crowd.answered(413) == 0);
        CHECK(crowd.unanswered() == 0);
        cluster.checkBounds();
    }
    cluster.checkRecovery();
}

TEST_CASE("one legal body is served by an entry in calm, however it is sent")
{
    CrowdedCluster cluster;
    const auto lines = CrowdedCluster::lines();
    for (const auto &request : {announcedRequest(lines, MaxBody), chunkedRequest(lines, MaxBody, MaxBody), chunkedRequest(lines, MaxBody, 1)}) {
        Crowd crowd(cluster.port(), 1, request);
        crowd.run();
        CHECK(crowd.answered(TargetsAnswer) == 1);
    }
    cluster.checkBounds();
    cluster.checkRecovery();
}

TEST_CASE("heads of thousands of tiny headers don't exhaust an entry's memory")
{
    CrowdedCluster cluster;
    const bool isComplete = GENERATE(false, true);
    cluster.endure(100, {CrowdedCluster::lines("GET") + tinyHeaders() + (isComplete ? "\r\n" : ""), "", 0, "", 0});
}

TEST_CASE("connections beyond the descriptors of an entry leave some for ordinary requests")
{
    CrowdedCluster cluster(1, FewDescriptors);
    const std::string sent
        = GENERATE(as<std::string> {}, "", "GET /services/led", "POST /services/ledger/debits HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n");
    cluster.endure(400, {sent, "", 0, "", 0});
}

TEST_CASE("large bodies that several entries pass on at once don't exhaust an agent's memory")
{
    CrowdedCluster cluster(4);
    {
        std::vector<int> ports;
        ports.reserve(80);
        for (int i = 0; i < 80; ++i) {
            ports.push_back(cluster.port(1 + i % 4));
        }
        Crowd crowd(ports, announcedRequest(CrowdedCluster::lines(), MaxBody));
        crowd.run();
        cluster.checkBounds();
    }
    cluster.checkRecovery();
}
