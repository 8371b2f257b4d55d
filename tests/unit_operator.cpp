#include "core/declarationcodec.h"
#include "net/eventloop.h"
#include "operator/operatorcodec.h"
#include "settings/declarationfile.h"
#include "settings/inifile.h"
#include "tests/certificates.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <grpcpp/grpcpp.h>
#include <kingcup/operator.grpc.pb.h>

using namespace KingCup;
namespace Proto = kingcup::operators;

namespace
{

constexpr auto Limit = Duration::seconds(20);

auto smallSet() -> Declarations
{
    return parseDeclarations("small.ini",
                             "[service advisory]\n"
                             "[service ledger]\nkind = plain\nnon-idempotent = POST /debits\n"
                             "[model sun]\nservice = advisory\ncurrent = 1\n"
                             "[version sun@1]\nsize-gb = 14\n"
                             "[adapter austin]\nbase = sun@1\nsize-gb = 0.3\n"
                             "[target runner-1]\nservice = advisory\nfencing = checked\n")
        .value;
}

/// An event loop with hooks that the tests control, the operators' server, and a client that calls it from another thread.
struct ServerFixture {
    EventLoop loop;
    AdoptedDeclarations current;
    SystemStatus status;
    std::vector<DeclarationsChange> applied;
    std::function<void(const ChangeAnswer &)> waiting; ///< answers the last change, if `answerAtOnce` is false
    bool answerAtOnce = true;
    std::unique_ptr<OperatorServer> server;
    std::unique_ptr<Proto::Operators::Stub> stub;

    explicit ServerFixture(const TlsFiles &tls = {})
    {
        OperatorHooks hooks;
        hooks.post = [this](std::function<void()> task) {
            loop.post(std::move(task));
        };
        hooks.apply = [this](const DeclarationsChange &change, std::function<void(const ChangeAnswer &)> answer) {
            applied.push_back(change);
            if (answerAtOnce) {
                answer({.outcome = ChangeOutcome::Accepted, .revision = change.expected.next(), .findings = {}, .message = ""});
            } else {
                waiting = std::move(answer);
            }
        };
        hooks.declarations = [this] {
            return current;
        };
        hooks.status = [this] {
            return status;
        };
        hooks.drain = [](const TargetId &target, bool undo, const std::function<void(const DrainAnswer &)> &answer) {
            answer({target.text() == "runner-1" && !undo, "as asked"});
        };
        hooks.explain = [](const std::string &subject) {
            return std::vector<RecentDecision> {{Duration::millis(5), "routing", subject, "chose target=runner-1"}};
        };
        std::string error;
        server.reset(kingcupCreateOperatorServer({.listen = {}, .tls = tls, .watchPeriod = Duration::millis(5)}, hooks, error));
        REQUIRE(error.empty());
        connect(grpc::InsecureChannelCredentials());
    }

    auto connect(const std::shared_ptr<grpc::ChannelCredentials> &credentials) -> void
    {
        stub = Proto::Operators::NewStub(grpc::CreateChannel("127.0.0.1:" + std::to_string(server->port()), credentials));
    }

    /// Runs a blocking call on another thread while the loop runs.
    auto whileRunning(const std::function<grpc::Status()> &call) -> grpc::Status
    {
        std::atomic<bool> done = false;
        auto result = std::async(std::launch::async, [&] {
            auto outcome = call();
            done = true;
            loop.post([] {}); // runUntil() checks its condition only after an event
            return outcome;
        });
        REQUIRE(loop.runUntil([&] { return done.load(); }, Limit));
        return result.get();
    }

    template<typename Request, typename Reply>
    auto call(grpc::Status (Proto::Operators::Stub::*method)(grpc::ClientContext *, const Request &, Reply *), const Request &request, Reply &reply)
        -> grpc::Status
    {
        return whileRunning([&] {
            grpc::ClientContext context;
            return (stub.get()->*method)(&context, request, &reply);
        });
    }
};

/// Client credentials of an operator with these files.
auto tlsCredentials(const TlsFiles &files) -> std::shared_ptr<grpc::ChannelCredentials>
{
    const auto read = [](const std::string &path) {
        return path.empty() ? std::string() : readTextFile(path).value();
    };
    return grpc::SslCredentials({read(files.authority), read(files.key), read(files.certificate)});
}

auto applyRequest() -> Proto::ApplyRequest
{
    Proto::ApplyRequest request;
    request.set_change_id("change-1");
    request.set_expected_revision(7);
    *request.mutable_set() = toProto(smallSet());
    return request;
}

} // namespace

TEST_CASE("a set converted to messages and back is unchanged, including its source locations")
{
    const auto set = smallSet();
    const auto back = fromProto(toProto(set));
    REQUIRE(back.isValid());
    REQUIRE(isSameSet(back.value, set));
    REQUIRE(back.value.artifacts.at(ArtifactName("austin")).location == set.artifacts.at(ArtifactName("austin")).location);
    REQUIRE(back.value.models.at("sun").versions == set.models.at("sun").versions);
}

TEST_CASE("an operator's set reaches the entry and is answered with its revision")
{
    ServerFixture fixture;
    Proto::ChangeReply reply;
    REQUIRE(fixture.call(&Proto::Operators::Stub::Apply, applyRequest(), reply).ok());
    REQUIRE(reply.outcome() == Proto::CHANGE_OUTCOME_ACCEPTED);
    REQUIRE(reply.revision() == 8);
    REQUIRE(reply.change_id() == "change-1");
    REQUIRE(fixture.applied.size() == 1);
    REQUIRE(isSameSet(fixture.applied[0].set, smallSet()));
    REQUIRE(fixture.applied[0].expected == Revision(7));
}

TEST_CASE("a request with a field that the entry doesn't know is refused whole")
{
    // A newer tool sends a field that this entry doesn't know. If the field were ignored, the change would be accepted without it.
    ServerFixture fixture;
    auto request = applyRequest();
    auto *service = request.mutable_set()->mutable_services(0);
    service->GetReflection()->MutableUnknownFields(service)->AddVarint(99, 1);
    Proto::ChangeReply reply;
    const auto status = fixture.call(&Proto::Operators::Stub::Apply, request, reply);
    REQUIRE(status.error_code() == grpc::StatusCode::INVALID_ARGUMENT);
    REQUIRE(status.error_message() == "this entry doesn't know: field 99 of Service; nothing was changed");
    REQUIRE(fixture.applied.empty());
}

TEST_CASE("a request with an enumeration value that the entry doesn't know is refused")
{
    ServerFixture fixture;
    auto request = applyRequest();
    request.mutable_set()->mutable_services(0)->set_priority(static_cast<Proto::Priority>(17));
    Proto::ChangeReply reply;
    REQUIRE(fixture.call(&Proto::Operators::Stub::Apply, request, reply).error_code() == grpc::StatusCode::INVALID_ARGUMENT);
    REQUIRE(fixture.applied.empty());
}

TEST_CASE("a duplicate name in a request is a finding with its source location")
{
    ServerFixture fixture;
    auto request = applyRequest();
    auto *duplicate = request.mutable_set()->add_models();
    *duplicate = request.set().models(0);
    duplicate->mutable_place()->set_file("other.ini");
    duplicate->mutable_place()->set_line(4);
    Proto::ChangeReply reply;
    REQUIRE(fixture.call(&Proto::Operators::Stub::Apply, request, reply).ok());
    REQUIRE(reply.outcome() == Proto::CHANGE_OUTCOME_REFUSED);
    REQUIRE(toString(fromProto(reply.findings(0))) == "other.ini:4: model sun is declared twice");
    REQUIRE(fixture.applied.empty());
}

TEST_CASE("a change of one entity is merged into the set that it is based on")
{
    ServerFixture fixture;
    fixture.current = {Revision(7), smallSet()};
    Proto::ChangeRequest request;
    request.set_change_id("change-2");
    request.set_expected_revision(7);
    request.set_remove_adapter("austin");
    Proto::ChangeReply reply;
    REQUIRE(fixture.call(&Proto::Operators::Stub::Change, request, reply).ok());
    REQUIRE(reply.outcome() == Proto::CHANGE_OUTCOME_ACCEPTED);
    REQUIRE_FALSE(fixture.applied.at(0).set.artifacts.contains(ArtifactName("austin")));
    REQUIRE(fixture.applied.at(0).set.artifacts.contains(ArtifactName("sun@1")));

    request.set_remove_adapter("nobody");
    REQUIRE(fixture.call(&Proto::Operators::Stub::Change, request, reply).ok());
    REQUIRE(reply.outcome() == Proto::CHANGE_OUTCOME_REFUSED);

    request.set_expected_revision(6);
    REQUIRE(fixture.call(&Proto::Operators::Stub::Change, request, reply).ok());
    REQUIRE(reply.outcome() == Proto::CHANGE_OUTCOME_CONFLICT);
    REQUIRE(reply.revision() == 7);
}

TEST_CASE("get, drain and explain return the entry's answers")
{
    ServerFixture fixture;
    fixture.current = {Revision(7), smallSet()};
    Proto::GetReply got;
    REQUIRE(fixture.call(&Proto::Operators::Stub::Get, Proto::GetRequest(), got).ok());
    REQUIRE(got.revision() == 7);
    REQUIRE(isSameSet(fromProto(got.set()).value, smallSet()));
    Proto::DrainRequest drain;
    drain.set_target("runner-1");
    Proto::DrainReply drained;
    REQUIRE(fixture.call(&Proto::Operators::Stub::Drain, drain, drained).ok());
    REQUIRE(drained.accepted());
    Proto::ExplainRequest explain;
    explain.set_subject("request-1");
    Proto::ExplainReply explained;
    REQUIRE(fixture.call(&Proto::Operators::Stub::Explain, explain, explained).ok());
    REQUIRE(explained.decisions(0).subject() == "request-1");
}

TEST_CASE("a watch shows each change of the status and ends once the revision is in force")
{
    ServerFixture fixture;
    fixture.status.revision = Revision(8);
    fixture.status.inForce = Revision(7);
    auto timer = fixture.loop.after(Duration::millis(50), [&] { fixture.status.inForce = Revision(8); });
    std::vector<std::uint64_t> seen;
    const auto status = fixture.whileRunning([&] {
        grpc::ClientContext context;
        Proto::WatchRequest request;
        request.set_until_revision(8);
        const auto reader = fixture.stub->Watch(&context, request);
        Proto::StatusReply reply;
        while (reader->Read(&reply)) {
            seen.push_back(reply.in_force());
        }
        return reader->Finish();
    });
    REQUIRE(status.ok());
    REQUIRE(seen == std::vector<std::uint64_t> {7, 8});
}

TEST_CASE("an entry that stops ends the calls that wait for the store")
{
    // An entry is stopped while a change waits for the store's answer. If the call stayed open, the planned stop would hang. It must not be
    // answered as refused either, since the change may have been applied.
    ServerFixture fixture;
    fixture.answerAtOnce = false;
    auto result = std::async(std::launch::async, [&] {
        grpc::ClientContext context;
        Proto::ChangeReply reply;
        return fixture.stub->Apply(&context, applyRequest(), &reply);
    });
    REQUIRE(fixture.loop.runUntil([&] { return fixture.waiting != nullptr; }, Limit));
    fixture.server->shutdown();
    REQUIRE(result.get().error_code() == grpc::StatusCode::UNAVAILABLE);
    fixture.waiting({.outcome = ChangeOutcome::Accepted, .revision = Revision(8), .findings = {}, .message = ""});
}

TEST_CASE("with TLS only operators whose certificate the authority signed are accepted")
{
    // The operators' port is reachable from other hosts, and a client that is accepted can remove every service.
    TestAuthority authority;
    TestAuthority otherAuthority;
    ServerFixture fixture(authority.issue("entry"));
    Proto::GetReply reply;
    const auto plain = fixture.call(&Proto::Operators::Stub::Get, Proto::GetRequest(), reply);
    REQUIRE(plain.error_code() == grpc::StatusCode::UNAVAILABLE);

    auto files = authority.issue("operator");
    fixture.connect(tlsCredentials(files));
    REQUIRE(fixture.call(&Proto::Operators::Stub::Get, Proto::GetRequest(), reply).ok());

    fixture.connect(tlsCredentials({"", "", files.authority}));
    REQUIRE(fixture.call(&Proto::Operators::Stub::Get, Proto::GetRequest(), reply).error_code() == grpc::StatusCode::UNAVAILABLE);

    auto untrusted = otherAuthority.issue("operator");
    untrusted.authority = files.authority;
    fixture.connect(tlsCredentials(untrusted));
    REQUIRE(fixture.call(&Proto::Operators::Stub::Get, Proto::GetRequest(), reply).error_code() == grpc::StatusCode::UNAVAILABLE);
}

TEST_CASE("a second server on the same port is refused")
{
    ServerFixture fixture;
    std::string error;
    const OperatorHooks hooks;
    REQUIRE(kingcupCreateOperatorServer({.listen = {"127.0.0.1", fixture.server->port()}, .tls = {}}, hooks, error) == nullptr);
    REQUIRE_FALSE(error.empty());
}
