// Answers of targets that end within their head, at real processes of each role: no caller gets an answer that looks complete.
#include "net/httpreader.h"
#include "tests/harness_cluster.h"
#include "tests/harness_gateways.h"
#include "tests/rawcaller.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

constexpr int CallerTimeoutSeconds = 8;

auto rawRequest(Site &site, const std::string &path) -> std::string
{
    const bool isStream = path.starts_with("/chat/") || path.starts_with("/tell/");
    auto text = (path.starts_with("/read/") ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\nDeadline-Ms: 400\r\n"
        + "Content-Length: 0\r\nAttempt-Id: " + site.freshAttempt() + "\r\n";
    return text + (isStream ? "Model: m1\r\nToken-Usage: 100,6\r\n\r\n" : "\r\n");
}

} // namespace

TEST_CASE("an answer that ends within its head reaches no caller of a gateway as a success")
{
    // Guards against a 200 with an empty or short body, framed as whole, when a target stops in the middle of its answer's head.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    int calls = 0;
    std::vector<Json> cuts;
    for (int bytes = 0; bytes < 240; bytes += 9) {
        cuts.push_back({{"headBytes", bytes}});
    }
    for (int lines = 1; lines < 8; ++lines) {
        cuts.push_back({{"headLines", lines}});
    }
    const std::vector<std::string> framings {"length", "chunked", "connection"};
    for (const auto &cut : cuts) {
        for (const std::string end : {"close", "reset"}) {
            auto command = cut;
            const auto &framing = framings[static_cast<std::size_t>(calls / 4) % framings.size()];
            command.update({{"part", "runner"}, {"mode", "answer-as"}, {"framing", framing}, {"end", end}, {"interim", calls / 8 % 2 == 1}});
            // The connections that these calls leave idle are used for the next ones.
            site.platform({{"part", "runner"}, {"mode", "well"}});
            site.waitFor("whole answers", [&] { return site.stream(1, "m1")->isWhole() && site.call(1, {.path = "/read/x"})->isWhole(); });
            site.platform(command);
            std::vector<std::future<RawAnswer>> answers;
            for (const std::string route : {"/read/", "/write/", "/chat/", "/tell/"}) {
                answers.push_back(rawCall(site.port(1), rawRequest(site, route + std::to_string(++calls)), RawAfter::Read, CallerTimeoutSeconds));
            }
            for (auto &pending : answers) {
                const auto answer = pending.get();
                INFO(command.dump() << "\n" << answer.text);
                constexpr std::size_t HeadBytes = 65536;
                HttpReader reader(HttpReader::Kind::Answer, HeadBytes);
                reader.feed(answer.text);
                CHECK((!reader.isComplete() || reader.head().status >= 500));
                CHECK(answer.text.find("HTTP/1.1 200") == std::string::npos);
            }
        }
    }
    site.platform({{"part", "runner"}, {"mode", "well"}});
    site.waitFor("whole answers", [&] { return site.stream(1, "m1")->isWhole(); });
}

TEST_CASE("an answer that ends within its head reaches no caller of an entry as a success")
{
    // Guards against a 200 with an empty or short body, framed as whole, when an engine or a plain service stops in the middle of its answer's head.
    Cluster cluster({.entries = 1, .runners = 1, .ledgers = 1, .proxiesTargets = true});
    cluster.bringUp();
    const auto balance = cluster.call(1, {.path = "/services/ledger/balance/asha"})->body;
    const HttpHeaders shortBudget {{"kingcup-time-budget-ms", "600"}};
    int cutAnswers = 0;
    for (int bytes = 0; bytes < 130; bytes += 8) {
        for (const auto *link : {"target:runner-1", "target:ledger-1"}) {
            cluster.fault({{"part", "link"}, {"name", link}, {"mode", "cut-answer"}, {"bytes", bytes}});
        }
        const auto streamed = cluster.beginCompletion(1, "sun", "question", 6, true, shortBudget);
        const auto whole = cluster.beginCompletion(1, "sun", "question", 6, false, shortBudget);
        const auto read = cluster.begin(1, {.path = "/services/ledger/balance/asha", .headers = shortBudget});
        for (const auto &call : {streamed, whole, read}) {
            cluster.waitFor("the call ends", [&] { return call->done; });
            INFO(bytes << " bytes, status " << call->status << " " << call->body);
            const bool isWhole = call == read ? call->body == balance : call->text() == expectedText("sun@1", "question", 6);
            CHECK((call->end != CallEnd::Complete || call->status != 200 || call->outcome() != "delivered" || isWhole));
            CHECK((call->end != CallEnd::Complete || call->status >= 400 || isWhole || call->outcome() == "unknown"));
            cutAnswers += isWhole ? 0 : 1;
        }
        cluster.fault({{"part", "link"}, {"mode", "heal"}});
        cluster.waitFor("whole answers", [&] {
            return cluster.complete(1, "sun", "again", 2)->outcome() == "delivered"
                && cluster.call(1, {.path = "/services/ledger/balance/asha"})->body == balance;
        });
    }
    CHECK(cutAnswers > 20);
    checkInvariants(cluster);
}
