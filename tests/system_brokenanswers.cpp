// Broken answers of targets in trouble, at real processes of each role: answers without a length whose connection is reset while the request is being sent, a
// status that no answer has, and names of fields that hold a blank or a control byte.
#include "net/httpreader.h"
#include "tests/harness_cluster.h"
#include "tests/harness_gateways.h"
#include "tests/rawcaller.h"
#include "tests/rawrelay.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr int CallerTimeoutSeconds = 8;
constexpr std::size_t UploadBytes = 900U << 10U; ///< more than the kernel takes of a request that isn't read
constexpr std::size_t PromptBytes = 96U << 10U; ///< likewise, and little enough for an engine to be expected to read in time

struct BrokenAnswer {
    std::string name;
    RawScript script;
    bool isDuringUpload = false; ///< of the request's body, which is long then
};

const std::string Signed = "Attempt-Id: %\r\nServer-Stamp: s\r\n";

/// An answer that begins with these lines, after the whole request.
auto oddHead(const std::string &name, const std::string &lines, const std::string &rest) -> BrokenAnswer
{
    return {name, {.text = "HTTP/1.1 " + lines + "\r\n" + rest, .readsBody = true}};
}

auto oddName(const std::string &name, const std::string &rest) -> BrokenAnswer
{
    return oddHead("name '" + name + "'", "200 OK\r\n" + name + ": v", rest);
}

/// Heads that no answer has. `fields` are added to the head, `body` follows it.
auto oddHeads(const std::string &fields, const std::string &body) -> std::vector<BrokenAnswer>
{
    std::vector<BrokenAnswer> answers;
    const auto rest = Signed + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const std::string status : {"000", "000 OK"}) {
        answers.push_back(oddHead("status " + status, status, rest));
    }
    for (const std::string &name : {std::string("na me"),
                                    std::string("name "),
                                    std::string("na\tme"),
                                    std::string("na\x01me"),
                                    std::string("na\0me", 5),
                                    std::string("na\x7fme"),
                                    std::string("na\rme")}) {
        answers.push_back(oddName(name, rest));
    }
    // A reader that accepts the blank takes one byte for the body, another one the rest of the connection.
    answers.push_back(oddHead("length with a blank in its name", "200 OK\r\nContent-Length : 1", Signed + fields + "\r\n" + body));
    return answers;
}

/// A part of an answer without a length.
auto resets(const std::string &fields, const std::string &part) -> std::vector<BrokenAnswer>
{
    using std::chrono::milliseconds;
    const auto text = "HTTP/1.1 200 OK\r\n" + Signed + fields + "\r\n" + part;
    return {{"reset at once", {.text = text, .end = RawEnd::Reset}, true},
            {"reset after 20 ms", {.text = text, .endsAfter = milliseconds(20), .end = RawEnd::Reset}, true},
            {"closed with unread bytes", {.text = text, .endsAfter = milliseconds(50), .end = RawEnd::Close}, true},
            {"closed after some reading", {.text = text, .endsAfter = milliseconds(20), .end = RawEnd::CloseRead}, true},
            {"ended in order, reset a little later", {.text = text, .end = RawEnd::FinishThenReset}, true}};
}

/// Checks that what a client received is an answer of our own that says that the request failed. `mayBePart`: a part of the answer may have been passed on,
/// without an end or with one that says that it isn't whole.
auto checkFailure(const std::string &text, bool mayBePart) -> void
{
    constexpr std::size_t HeadBytes = 65536;
    HttpReader reader(HttpReader::Kind::Answer, HeadBytes);
    reader.feed(text);
    CHECK((reader.isComplete() || mayBePart));
    const bool saysSo = text.find(R"("outcome":"unknown")") != std::string::npos && text.find("[DONE]") == std::string::npos;
    CHECK((!reader.isComplete() || reader.head().status >= 500 || (mayBePart && saysSo)));
    CHECK((!reader.isComplete() || !findHeader(reader.head().headers, "Server-Stamp")));
    CHECK(findHeader(reader.head().headers, "kingcup-outcome").value_or("unknown") != "delivered");
}

/// Puts a relay between a gateway and one of its targets by a change of the target's row.
auto putBefore(Site &site, const std::string &target, const RawRelay &relay) -> void
{
    auto row = Json::parse(site.truth()["store"]["rows"]["servers"][target]["value"].get<std::string>());
    row["address"] = "127.0.0.1:" + std::to_string(relay.port());
    site.platform({{"part", "row"}, {"key", target}, {"value", row.dump()}});
}

auto rawRequest(Site &site, const std::string &path, std::size_t bodyBytes) -> std::string
{
    const bool isStream = path.starts_with("/chat/") || path.starts_with("/tell/");
    auto text = "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\nDeadline-Ms: 1000\r\nContent-Length: " + std::to_string(bodyBytes)
        + "\r\nAttempt-Id: " + site.freshAttempt() + "\r\n" + (isStream ? "Model: m1\r\nToken-Usage: 100,6\r\n\r\n" : "\r\n");
    return text.append(bodyBytes, 'b');
}

/// What a client of a gateway gets as long as a target of the route answers by the script.
auto checkRoute(Site &site, RawRelay &relay, const std::string &route, const BrokenAnswer &broken) -> void
{
    site.waitFor("whole answers", [&] { return site.stream(1, "m1")->isWhole() && site.call(1, {.path = "/read/x"})->isWhole(); });
    relay.setScript(broken.script);
    const int before = relay.answered();
    site.waitFor("the broken answer", [&] {
        const auto answer
            = rawCall(site.port(1), rawRequest(site, route + "x", broken.isDuringUpload ? UploadBytes : 1), RawAfter::Read, CallerTimeoutSeconds).get();
        INFO(route << " " << broken.name << "\n" << answer.text);
        checkFailure(answer.text, broken.isDuringUpload && (route == "/chat/" || route == "/tell/"));
        return relay.answered() > before;
    });
    relay.setScript(std::nullopt);
}

auto raiseBodyLimit(Site &site) -> void
{
    site.platform({{"part", "operator"}, {"change", "limits"}, {"limits", {{"max_body_bytes", 2 * UploadBytes}}}});
    site.waitFor("the limit", [&] {
        const auto request = rawRequest(site, "/read/x", UploadBytes);
        return rawCall(site.port(1), request, RawAfter::Read, CallerTimeoutSeconds).get().text.starts_with("HTTP/1.1 200");
    });
}

/// A gateway with a relay before its runner and one before its plain service.
struct GatewayInTrouble {
    Site site {{.gateways = 1, .runners = 1, .instances = 1, .models = 1}};
    RawRelay plain {portOf("p1"), [](const std::string &head) {
                        return head.starts_with("POST /read/") || head.starts_with("POST /write/");
                    }};
    RawRelay runner {portOf("r1"), [](const std::string &head) {
                         return head.starts_with("POST /chat/") || head.starts_with("POST /tell/");
                     }};

    GatewayInTrouble()
    {
        raiseBodyLimit(site);
        putBefore(site, "p1", plain);
        putBefore(site, "r1", runner);
    }
    auto portOf(const std::string &target) -> int
    {
        const auto row = Json::parse(site.truth()["store"]["rows"]["servers"][target]["value"].get<std::string>());
        const auto address = row["address"].get<std::string>();
        return std::stoi(address.substr(address.find(':') + 1));
    }
    auto check(const std::vector<BrokenAnswer> &plainAnswers, const std::vector<BrokenAnswer> &streams) -> void
    {
        for (const std::string route : {"/read/", "/write/"}) {
            for (const auto &broken : plainAnswers) {
                checkRoute(site, plain, route, broken);
            }
        }
        for (const std::string route : {"/chat/", "/tell/"}) {
            for (const auto &broken : streams) {
                checkRoute(site, runner, route, broken);
            }
        }
    }
};

/// An entry and two agents, with a relay between each agent and its target.
struct AgentsInTrouble {
    std::map<std::string, std::unique_ptr<RawRelay>> relays; ///< by agent
    Cluster cluster {{.entries = 1, .runners = 1, .ledgers = 1, .standIn = [this](const std::string &agent, int targetPort) {
                          const auto isWork = [](const std::string &head) {
                              return head.find("\r\nx-attempt-id: ") != std::string::npos;
                          };
                          return relays.emplace(agent, std::make_unique<RawRelay>(targetPort, isWork)).first->second->port();
                      }}};

    AgentsInTrouble()
    {
        cluster.bringUp();
    }
    auto request(const std::string &kind, bool isUpload) -> std::string
    {
        std::string path = "/services/ledger/x";
        std::string body(isUpload ? UploadBytes : 1, 'b');
        if (kind == "streamed" || kind == "unstreamed") {
            path = "/v1/completions";
            const std::string prompt(isUpload ? PromptBytes : 1, 'b');
            body = Json {{"model", "sun"}, {"prompt", prompt}, {"max_tokens", 6}, {"stream", kind == "streamed"}}.dump();
        } else if (kind == "run once") {
            path = "/services/ledger/debits";
        }
        return "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\nContent-Type: application/json\r\nIdempotency-Key: key-"
            + std::to_string(++requests) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    /// What a client of the entry gets as long as the agent's target answers by the script.
    auto check(const std::string &agent, const std::string &kind, const BrokenAnswer &broken) -> void
    {
        cluster.waitFor("whole answers", [&] {
            return cluster.complete(1, "sun", "again", 2)->outcome() == "delivered"
                && cluster.call(1, {.path = "/services/ledger/balance/asha"})->outcome() == "delivered";
        });
        auto &relay = *relays.at(agent);
        relay.setScript(broken.script);
        const int before = relay.answered();
        cluster.waitFor("the broken answer", [&] {
            const auto answer = rawCall(cluster.callersPort(1), request(kind, broken.isDuringUpload), RawAfter::Read, CallerTimeoutSeconds).get();
            INFO(kind << " " << broken.name << "\n" << answer.text);
            checkFailure(answer.text, broken.isDuringUpload && kind == "streamed");
            return relay.answered() > before;
        });
        relay.setScript(std::nullopt);
    }
    auto check(const std::vector<BrokenAnswer> &plainAnswers, const std::vector<BrokenAnswer> &completions, const std::vector<BrokenAnswer> &streams) -> void
    {
        for (const std::string kind : {"repeatable", "run once"}) {
            for (const auto &broken : plainAnswers) {
                check("ledger-1", kind, broken);
            }
        }
        for (const auto &broken : completions) {
            check("runner-1", "unstreamed", broken);
        }
        for (const auto &broken : streams) {
            check("runner-1", "streamed", broken);
        }
        checkInvariants(cluster);
    }

    int requests = 0;
};

const std::string StreamType = "Content-Type: text/event-stream\r\n";
const std::string Event = "data: part of it\n\n";

} // namespace

TEST_CASE("a client of a gateway gets no part of an answer whose connection is reset during the upload as a whole one")
{
    // Guards against a 200 that its target broke off, framed as whole.
    GatewayInTrouble gateway;
    gateway.check(resets("", "part of it"), resets(StreamType, Event));
}

TEST_CASE("a client of a gateway gets no answer with a status or a name that no answer has")
{
    // Guards against such a line that is passed on, and against a body that isn't the target's.
    GatewayInTrouble gateway;
    gateway.check(oddHeads("", "body"), oddHeads(StreamType, Event));
}

TEST_CASE("a client of an entry gets no part of an answer whose connection is reset during the upload as a whole one")
{
    // Guards against a 200 that an engine or a plain service broke off, framed as whole or recorded as the answer of a request that runs once.
    AgentsInTrouble agents;
    agents.check(resets("", "part of it"), resets("", "part of it"), resets(StreamType, Event));
}

TEST_CASE("a client of an entry gets no answer with a status or a name that no answer has")
{
    // Guards against such a line that is passed on, and against a body that isn't the target's.
    AgentsInTrouble agents;
    agents.check(oddHeads("", "body"), oddHeads("", "body"), oddHeads(StreamType, Event));
}
