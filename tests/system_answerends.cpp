// Whether an answer reaches its caller as complete, for each way in which a target may frame and end it.
#include "net/httpreader.h"
#include "tests/harness_gateways.h"
#include "tests/rawcaller.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace KingCup;

namespace
{

constexpr int Events = 6; ///< of a whole stream
constexpr int CallerTimeoutSeconds = 8;

/// How a target answers; see fakes/platformrunner.h.
struct Form {
    std::string framing;
    std::string end;
    std::string lineEnd = "\n";
    int events = -1;
    std::string cut = "none";

    auto isCut() const -> bool
    {
        return cut != "none";
    }
    auto command() const -> Json
    {
        return {{"part", "runner"}, {"mode", "answer-as"}, {"framing", framing}, {"end", end}, {"lineEnd", lineEnd}, {"events", events}, {"cut", cut}};
    }
};

/// Whether the framing of the answer says that it ended, whatever its content is.
auto hasEndedByFraming(const Form &form) -> bool
{
    const bool isAllSent = form.events < 0 && !form.isCut();
    if (form.framing == "connection") {
        return form.end == "complete" || form.end == "close";
    }
    return form.end == "complete" || (form.framing == "length" && isAllSent);
}

/// A stream without any event whose answer ends with its connection looks the same whether it is empty or broken off.
auto isWholeStream(const Form &form) -> bool
{
    const bool isEmpty = form.events == 0 && !form.isCut();
    return hasEndedByFraming(form) && !form.isCut() && !(isEmpty && form.framing == "connection");
}

struct Received {
    bool isWhole = false; ///< status 200, and complete by its framing
    std::string body;
    std::string text;
};

/// The answer as a caller reads it that knows nothing of the content.
auto received(const RawAnswer &answer) -> Received
{
    constexpr std::size_t HeadBytes = 65536;
    Received result;
    result.text = answer.text;
    HttpReader reader(HttpReader::Kind::Answer, HeadBytes);
    reader.onBody = [&](std::string_view bytes) {
        result.body.append(bytes);
    };
    reader.feed(answer.text);
    const bool isComplete = reader.isComplete() || (reader.endsWithConnection() && answer.isClosed && !answer.isReset && reader.feedEnd());
    result.isWhole = isComplete && reader.head().status == 200;
    return result;
}

struct Caller {
    std::string path;
    std::string httpVersion;
    std::future<RawAnswer> answer;
};

auto request(Site &site, const std::string &path, const std::string &httpVersion) -> std::string
{
    const bool isStream = path.starts_with("/chat/") || path.starts_with("/tell/");
    auto text = (isStream || path.starts_with("/write/") ? "POST " : "GET ") + path + " HTTP/" + httpVersion
        + "\r\nHost: site.example\r\nConnection: close\r\nDeadline-Ms: 400\r\nContent-Length: 0\r\nAttempt-Id: " + site.freshAttempt() + "\r\n";
    if (isStream) {
        text += "Model: m1\r\nToken-Usage: 100," + std::to_string(Events) + "\r\n";
    }
    return text + "\r\n";
}

/// Sends a request on each route and in each HTTP version to the gateway.
auto callAll(Site &site, const std::vector<std::string> &routes) -> std::vector<Caller>
{
    static int cases = 0;
    std::vector<Caller> callers;
    for (const auto &route : routes) {
        for (const auto *httpVersion : {"1.1", "1.0"}) {
            // Paths differ, so that failures of one case don't count for the request of another.
            const auto path = route + std::to_string(++cases);
            callers.push_back({path, httpVersion, rawCall(site.port(1), request(site, path, httpVersion), RawAfter::Read, CallerTimeoutSeconds)});
        }
    }
    return callers;
}

/// All targets answer well again, and the gateway sends them requests.
auto restore(Site &site) -> void
{
    site.platform({{"part", "runner"}, {"mode", "well"}});
    site.waitFor("whole answers", [&] { return site.stream(1, "m1")->isWhole() && site.call(1, {.path = "/read/x"})->isWhole(); });
}

auto eventCount(const std::string &body, const std::string &lineEnd) -> int
{
    int count = 0;
    const auto blank = lineEnd + lineEnd;
    for (auto at = body.find(blank); at != std::string::npos; at = body.find(blank, at + blank.size())) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a stream that ends inside an event is never passed on as complete")
{
    // Guards against a caller that takes a stream of a crashed target for whole because its framing looks complete, or because it ends with its connection.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    for (const std::string framing : {"connection", "chunked", "length"}) {
        for (const std::string end : {"complete", "close", "reset", "silence"}) {
            for (const std::string lineEnd : {"\n", "\r\n"}) {
                for (const auto &[events, cut] :
                     std::vector<std::pair<int, std::string>> {{-1, "none"}, {0, "none"}, {0, "inside"}, {3, "inside"}, {3, "line-ends"}, {3, "none"}}) {
                    const Form form {framing, end, lineEnd, events, cut};
                    restore(site);
                    site.platform(form.command());
                    for (auto &caller : callAll(site, {"/chat/", "/tell/"})) {
                        const auto answer = received(caller.answer.get());
                        INFO(form.command().dump() << " HTTP/" << caller.httpVersion << " " << caller.path << "\n" << answer.text);
                        CHECK(answer.isWhole == isWholeStream(form));
                        if (answer.isWhole) {
                            CHECK(eventCount(answer.body, lineEnd) == (events < 0 ? Events : events));
                        }
                        if (caller.httpVersion == "1.0") {
                            CHECK(answer.text.find("chunked") == std::string::npos);
                        }
                    }
                }
            }
        }
    }
}

TEST_CASE("a plain answer is passed on as complete just when its framing says that it ended")
{
    // Guards against a plain answer that is reset, cut off or late, and reaches its caller as whole.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    for (const std::string framing : {"connection", "chunked", "length"}) {
        for (const std::string end : {"complete", "close", "reset", "silence"}) {
            for (const std::string cut : {"none", "inside"}) {
                const Form form {framing, end, "\n", -1, cut};
                restore(site);
                site.platform(form.command());
                for (auto &caller : callAll(site, {"/read/", "/write/"})) {
                    const auto answer = received(caller.answer.get());
                    INFO(form.command().dump() << " HTTP/" << caller.httpVersion << " " << caller.path << "\n" << answer.text);
                    CHECK(answer.isWhole == hasEndedByFraming(form));
                }
            }
        }
    }
}

TEST_CASE("an answer on a route for streams that isn't a stream of events is passed on unchanged")
{
    // Guards against a document that is cut at its last blank line, or taken for broken off because it has none.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    for (const std::string framing : {"connection", "chunked", "length"}) {
        const Form form {framing, "complete", "\n", 3, "inside"};
        auto command = form.command();
        command["contentType"] = "application/json";
        restore(site);
        site.platform(command);
        for (auto &caller : callAll(site, {"/chat/", "/tell/"})) {
            const auto answer = received(caller.answer.get());
            INFO(command.dump() << " HTTP/" << caller.httpVersion << " " << caller.path << "\n" << answer.text);
            CHECK(answer.isWhole);
            CHECK(eventCount(answer.body, "\n") == 3);
            CHECK_FALSE(answer.body.ends_with("\n"));
        }
    }
}

TEST_CASE("a resumable stream that ends inside an event goes on at another target")
{
    // Guards against a stream whose answer looks complete and that is broken off although another target could resume it.
    Site site({.gateways = 1, .runners = 2, .instances = 1, .models = 1});
    for (const std::string framing : {"connection", "chunked", "length"}) {
        for (const std::string cut : {"inside", "line-ends"}) {
            const Form form {framing, "complete", "\n", 3, cut};
            restore(site);
            const auto first = site.freshAttempt();
            site.call(1, {.path = "/tell/" + first, .method = "POST", .attempt = first, .model = "m1"});
            const std::string preferred = site.truth()["runners"]["r1"]["runs"].contains(first) ? "r1" : "r2";
            auto command = form.command();
            command["id"] = preferred;
            site.platform(command);
            int brokenStreams = 0;
            for (int i = 0; i < 20 && brokenStreams < 2; ++i) {
                const auto attempt = site.freshAttempt();
                const auto reply = site.call(1, {.path = "/tell/" + attempt, .method = "POST", .attempt = attempt, .model = "m1", .events = Events});
                INFO(command.dump() << "\n" << reply->body);
                CHECK(reply->isWhole());
                CHECK(reply->events().size() == Events);
                brokenStreams += site.truth()["runners"][preferred]["runs"].contains(attempt) ? 1 : 0;
            }
            CHECK(brokenStreams > 0);
        }
    }
}

TEST_CASE("an HTTP/1.0 caller whose gateway is killed in the middle of an answer sees a reset")
{
    // Guards against an answer that ends with its connection and looks complete because the operating system closes the connections of a killed process.
    Site site({.gateways = 1, .runners = 1, .instances = 1, .models = 1});
    auto answer = rawCall(site.port(1),
                          "POST /chat/x HTTP/1.0\r\nHost: site.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\nAttempt-Id: killed\r\n"
                          "Model: m1\r\nToken-Usage: 100,200\r\n\r\n",
                          RawAfter::Read,
                          CallerTimeoutSeconds);
    site.waitFor("the run", [&] { return site.runsOf("killed") == 1; });
    site.sleep(Duration::millis(150));
    site.process("gw-1").send(SIGKILL);
    const auto seen = answer.get();
    INFO(seen.text);
    CHECK(eventCount(seen.text, "\n") > 0);
    CHECK_FALSE(received(seen).isWhole);
}
