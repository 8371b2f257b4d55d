// Crowds of clients that don't behave neither end nor block a gateway, whatever they send or leave unread: its memory stays below that of the smallest host,
// its descriptors below their limit, and ordinary requests are answered while the crowd is there and after it has left.
#include "tests/crowd.h"
#include "tests/harness_gateways.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr std::size_t HostMemory = 120'000'000; ///< of the smallest host in use
constexpr std::size_t MemoryAfterwards = HostMemory / 2;
constexpr int HostDescriptors = 1024;
constexpr int FewDescriptors = 128;
constexpr std::uint64_t MaxBody = 4U << 20U;
constexpr std::size_t MaxHead = 16384;

/// One gateway with lowered limits. The limits for callers are those of the users' sites.
class CrowdedGateway
{
public:
    explicit CrowdedGateway(int maxDescriptors = HostDescriptors)
        : m_site({.gateways = 1, .runners = 1, .instances = 2, .memoryMegabytes = HostMemory / 1'000'000, .maxDescriptors = maxDescriptors})
        , m_maxDescriptors(maxDescriptors)
    {
        const Json limits {{"max_header_bytes", MaxHead}, {"max_body_bytes", MaxBody}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
        m_site.platform({{"part", "operator"}, {"change", "limits"}, {"limits", limits}});
        m_site.waitFor("the limits", [&] {
            const auto reply = m_site.call(1, {.path = "/read/x", .method = "POST", .body = std::string(100'000, 'x')});
            return reply->isWhole();
        });
    }

    auto site() -> Site &
    {
        return m_site;
    }
    auto port() const -> int
    {
        return m_site.port(1);
    }
    /// Request line and headers of a proper request.
    static auto lines(const std::string &method = "POST", const std::string &path = "/read/x") -> std::string
    {
        return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: 30000\r\n";
    }
    auto answersOrdinaryRequest() -> bool
    {
        return m_site.call(1, {.isNewConnection = true})->isWhole();
    }
    /// To be called while the crowd is there.
    auto checkBounds() -> void
    {
        auto &process = m_site.process("gw-1");
        REQUIRE_FALSE(process.exitCode().has_value());
        CHECK(process.peakMemory() < HostMemory);
        CHECK(process.openDescriptors() <= m_maxDescriptors);
        m_site.waitFor("an ordinary request beside the crowd", [&] { return answersOrdinaryRequest(); });
    }
    /// To be called once the crowd has left.
    auto checkRecovery() -> void
    {
        auto &process = m_site.process("gw-1");
        m_site.waitFor("an ordinary request after the crowd", [&] { return answersOrdinaryRequest(); });
        m_site.waitFor("the memory to be given back", [&] { return process.memory() < MemoryAfterwards; });
        CHECK(process.peakMemory() < HostMemory);
        REQUIRE_FALSE(process.exitCode().has_value());
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
    Site m_site;
    int m_maxDescriptors;
};

} // namespace

TEST_CASE("announced bodies that stop one byte short don't exhaust a gateway's memory")
{
    CrowdedGateway gateway;
    gateway.endure(100, announcedRequest(CrowdedGateway::lines(), MaxBody, 1));
}

TEST_CASE("bodies in one large chunk that stop one byte short don't exhaust a gateway's memory")
{
    CrowdedGateway gateway;
    gateway.endure(100, chunkedRequest(CrowdedGateway::lines(), MaxBody, MaxBody, 6));
}

TEST_CASE("bodies in chunks of one byte don't exhaust a gateway's memory")
{
    CrowdedGateway gateway;
    gateway.endure(40, chunkedRequest(CrowdedGateway::lines(), MaxBody, 1, 6));
}

TEST_CASE("chunked bodies far over the limit don't exhaust a gateway's memory")
{
    CrowdedGateway gateway;
    const auto chunk = GENERATE(as<std::size_t> {}, 16, 1U << 20U);
    gateway.endure(50, chunkedRequest(CrowdedGateway::lines(), MaxBody * 4, chunk, 6));
}

TEST_CASE("clients that announce a body over the limit, and send it, read why it is refused")
{
    CrowdedGateway gateway;
    {
        Crowd crowd(gateway.port(), 50, announcedRequest(CrowdedGateway::lines(), MaxBody * 8));
        crowd.run();
        CHECK(crowd.answered(413) == 50);
        gateway.checkBounds();
    }
    gateway.checkRecovery();
}

TEST_CASE("large whole bodies at once don't exhaust a gateway's memory, and none is refused for good")
{
    // A legal body that exceeds the memory bound isn't too large: its client may send it again.
    CrowdedGateway gateway;
    const bool isChunked = GENERATE(false, true);
    const auto lines = CrowdedGateway::lines();
    {
        Crowd crowd(gateway.port(), 100, isChunked ? chunkedRequest(lines, MaxBody, 65536) : announcedRequest(lines, MaxBody));
        crowd.run();
        CHECK(crowd.answered(200) > 0);
        CHECK(crowd.answered(413) == 0);
        CHECK(crowd.answered(200) + crowd.answered(503) + crowd.answered(408) + crowd.answered(429) == 100);
        gateway.checkBounds();
    }
    gateway.checkRecovery();
}

TEST_CASE("one legal body is served in calm, however it is sent")
{
    CrowdedGateway gateway;
    const auto lines = CrowdedGateway::lines();
    for (const auto &request : {announcedRequest(lines, MaxBody), chunkedRequest(lines, MaxBody, MaxBody), chunkedRequest(lines, MaxBody, 1)}) {
        Crowd crowd(gateway.port(), 1, request);
        crowd.run();
        CHECK(crowd.answered(200) == 1);
    }
    gateway.checkBounds();
    gateway.checkRecovery();
}

TEST_CASE("heads of thousands of tiny headers don't exhaust a gateway's memory")
{
    CrowdedGateway gateway;
    const bool isComplete = GENERATE(false, true);
    gateway.endure(100, {CrowdedGateway::lines("GET") + tinyHeaders() + (isComplete ? "\r\n" : ""), "", 0, "", 0});
}

TEST_CASE("bodies that go on byte by byte don't keep a gateway's memory")
{
    CrowdedGateway gateway;
    {
        Crowd crowd(gateway.port(), 40, announcedRequest(CrowdedGateway::lines(), MaxBody, 100));
        crowd.run();
        for (int i = 0; i < 8; ++i) {
            gateway.site().sleep(Duration::millis(500));
            crowd.sendOneMore();
        }
        gateway.checkBounds();
    }
    gateway.checkRecovery();
}

TEST_CASE("connections beyond the descriptors leave some for ordinary requests and for calls of a gateway's own")
{
    CrowdedGateway gateway(FewDescriptors);
    const std::string sent = GENERATE(as<std::string> {}, "", "GET /read/x HT", "POST /read/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 9\r\n\r\n");
    gateway.endure(300, {sent, "", 0, "", 0});
}

TEST_CASE("bodies sent ahead of the answer to an earlier request don't exhaust a gateway's memory")
{
    CrowdedGateway gateway;
    auto request = announcedRequest(CrowdedGateway::lines(), MaxBody, 1);
    const std::string stream = "Model: m1\r\nToken-Usage: 100,100\r\nPrompt-Prefix: ab:60\r\nContent-Length: 0\r\n\r\n";
    request.head = CrowdedGateway::lines("POST", "/chat/x") + stream + request.head;
    gateway.endure(100, request);
}

TEST_CASE("answers that nobody reads, beside bodies that stop short, don't exhaust a gateway's memory")
{
    CrowdedGateway gateway;
    gateway.site().platform({{"part", "runner"}, {"mode", "answer-bytes"}, {"bytes", 1U << 20U}});
    {
        const auto lines = CrowdedGateway::lines("GET");
        Crowd readers(gateway.port(), 50, {"", lines + "\r\n", 8 * (lines.size() + 2), "", 0}, Crowd::Reads::Nothing);
        Crowd senders(gateway.port(), 40, announcedRequest(CrowdedGateway::lines(), MaxBody, 1));
        readers.run();
        senders.run();
        gateway.site().platform({{"part", "runner"}, {"mode", "well"}});
        gateway.checkBounds();
    }
    gateway.checkRecovery();
}
