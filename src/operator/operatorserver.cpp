// The operators' gRPC service: rejects unary requests with unknown fields, calls the entry's hooks and sends the replies.
#include "operator/operatorapi.h"
#include "operator/operatorcalls.h"
#include "operator/operatorcodec.h"

#include <chrono>
#include <fstream>
#include <glog/logging.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>
#include <iterator>

namespace KingCup
{

namespace
{

constexpr int MaxRequestBytes = 16 << 20; ///< a set of 1,600 models with their adapters takes less than 1 MB
constexpr int MaxListedFields = 5;

auto listText(const std::vector<std::string> &names) -> std::string
{
    std::string text;
    for (std::size_t index = 0; index < names.size() && index < MaxListedFields; ++index) {
        text += (index > 0 ? ", " : "") + names[index];
    }
    return text;
}

class OperatorService : public OperatorProto::Operators::CallbackService
{
public:
    OperatorService(OperatorHooks hooks, Duration watchPeriod)
        : m_hooks(std::move(hooks))
        , m_watchPeriod(watchPeriod)
        , m_registry(std::make_shared<CallRegistry>())
    {
    }

    auto endAll() -> void
    {
        m_registry->endAll();
    }

    auto Apply(grpc::CallbackServerContext * /*context*/, const OperatorProto::ApplyRequest *request, OperatorProto::ChangeReply *reply)
        -> grpc::ServerUnaryReactor * override
    {
        return runOnLoop(*request, [this, reply](const auto &requestCopy, const std::shared_ptr<UnaryCall> &call) {
            auto set = fromProto(requestCopy.set());
            DeclarationsChange change {.id = ChangeId(requestCopy.change_id()),
                                       .expected = Revision(requestCopy.expected_revision()),
                                       .set = std::move(set.value),
                                       .author = requestCopy.author()};
            apply(change, std::move(set.findings), reply, call);
        });
    }

    auto Change(grpc::CallbackServerContext * /*context*/, const OperatorProto::ChangeRequest *request, OperatorProto::ChangeReply *reply)
        -> grpc::ServerUnaryReactor * override
    {
        return runOnLoop(*request, [this, reply](const auto &requestCopy, const std::shared_ptr<UnaryCall> &call) {
            auto current = m_hooks.declarations();
            DeclarationsChange change {.id = ChangeId(requestCopy.change_id()),
                                       .expected = Revision(requestCopy.expected_revision()),
                                       .set = std::move(current.set),
                                       .author = requestCopy.author()};
            // The change may have a different effect on a set that its author hasn't seen. The store would refuse it anyway.
            if (current.revision != change.expected) {
                const ChangeAnswer answer {
                    .outcome = ChangeOutcome::Conflict, .revision = current.revision, .findings = {}, .message = "another revision came first"};
                finish(change.id, answer, reply, call);
                return;
            }
            auto findings = mergeChange(requestCopy, change.set);
            apply(change, std::move(findings), reply, call);
        });
    }

    auto Get(grpc::CallbackServerContext * /*context*/, const OperatorProto::GetRequest *request, OperatorProto::GetReply *reply)
        -> grpc::ServerUnaryReactor * override
    {
        return runOnLoop(*request, [this, reply](const auto & /*question*/, const std::shared_ptr<UnaryCall> &call) {
            const auto current = m_hooks.declarations();
            call->answer([&] {
                reply->set_revision(current.revision.value());
                *reply->mutable_set() = toProto(current.set);
            });
        });
    }

    auto Status(grpc::CallbackServerContext * /*context*/, const OperatorProto::StatusRequest *request, OperatorProto::StatusReply *reply)
        -> grpc::ServerUnaryReactor * override
    {
        return runOnLoop(*request, [this, reply](const auto & /*question*/, const std::shared_ptr<UnaryCall> &call) {
            const auto status = m_hooks.status();
            call->answer([&] { *reply = toProto(status); });
        });
    }

    auto Drain(grpc::CallbackServerContext * /*context*/, const OperatorProto::DrainRequest *request, OperatorProto::DrainReply *reply)
        -> grpc::ServerUnaryReactor * override
    {
        return runOnLoop(*request, [this, reply](const auto &requestCopy, const std::shared_ptr<UnaryCall> &call) {
            LOG(INFO) << "operator: drain target=" << requestCopy.target() << " undo=" << requestCopy.undo();
            m_hooks.drain(TargetId(requestCopy.target()), requestCopy.undo(), [call, reply](const DrainAnswer &answer) {
                call->answer([&] {
                    reply->set_accepted(answer.isAccepted);
                    reply->set_message(answer.message);
                });
            });
        });
    }

    auto Explain(grpc::CallbackServerContext * /*context*/, const OperatorProto::ExplainRequest *request, OperatorProto::ExplainReply *reply)
        -> grpc::ServerUnaryReactor * override
    {
        return runOnLoop(*request, [this, reply](const auto &requestCopy, const std::shared_ptr<UnaryCall> &call) {
            const auto decisions = m_hooks.explain(requestCopy.subject());
            call->answer([&] { *reply = toProto(decisions); });
        });
    }

    auto Watch(grpc::CallbackServerContext * /*context*/, const OperatorProto::WatchRequest *request)
        -> grpc::ServerWriteReactor<OperatorProto::StatusReply> * override
    {
        auto call = std::make_shared<WatchCall>(m_registry, m_hooks, m_watchPeriod, Revision(request->until_revision()));
        call->start();
        return call.get();
    }

private:
    /// Refuses a request with fields or values that this entry doesn't know. Otherwise runs `task` on the entry's loop with a copy
    /// of the request, because gRPC frees the original as soon as the operator cancels the call.
    template<typename Request, typename Task>
    auto runOnLoop(const Request &request, Task task) -> grpc::ServerUnaryReactor *
    {
        auto call = UnaryCall::open(m_registry);
        const auto unknown = unknownFields(request);
        if (!unknown.empty()) {
            LOG(WARNING) << "operator: refused request reason=unknown-field names=\"" << listText(unknown) << "\"";
            call->end({grpc::StatusCode::INVALID_ARGUMENT, "this entry doesn't know: " + listText(unknown) + "; nothing was changed"});
            return call.get();
        }
        m_hooks.post([call, task = std::move(task), requestCopy = request] {
            if (!call->isEnded()) {
                task(requestCopy, call);
            }
        });
        return call.get();
    }

    auto apply(const DeclarationsChange &change, Findings findings, OperatorProto::ChangeReply *reply, const std::shared_ptr<UnaryCall> &call) -> void
    {
        if (change.id.isEmpty()) {
            findings.push_back({{}, "the request has no change id"});
        }
        if (!findings.empty()) {
            const ChangeAnswer answer {.outcome = ChangeOutcome::Refused, .revision = {}, .findings = std::move(findings), .message = "the set was refused"};
            finish(change.id, answer, reply, call);
            return;
        }
        m_hooks.apply(change, [id = change.id, reply, call](const ChangeAnswer &answer) { finish(id, answer, reply, call); });
    }

    static auto finish(const ChangeId &id, const ChangeAnswer &answer, OperatorProto::ChangeReply *reply, const std::shared_ptr<UnaryCall> &call) -> void
    {
        call->answer([&] {
            *reply = toProto(answer);
            reply->set_change_id(id.text());
            LOG(INFO) << "operator: answered change id=" << id << " outcome=" << OperatorProto::ChangeOutcome_Name(reply->outcome())
                      << " revision=" << answer.revision << " findings=" << answer.findings.size();
        });
    }

    OperatorHooks m_hooks;
    Duration m_watchPeriod;
    std::shared_ptr<CallRegistry> m_registry;
};

/// Mutual TLS. The files are checked for changes every 10 seconds, so that certificates can be renewed without a restart.
auto tlsCredentials(const TlsFiles &files) -> std::shared_ptr<grpc::ServerCredentials>
{
    constexpr unsigned SecondsBetweenReads = 10;
    namespace tls = grpc::experimental;
    const auto provider = std::make_shared<tls::FileWatcherCertificateProvider>(files.key, files.certificate, files.authority, SecondsBetweenReads);
    tls::TlsServerCredentialsOptions options(provider);
    options.watch_identity_key_cert_pairs();
    options.watch_root_certs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return tls::TlsServerCredentials(options);
}

class GrpcOperatorServer : public OperatorServer
{
public:
    GrpcOperatorServer(const OperatorOptions &options, const OperatorHooks &hooks)
        : m_service(hooks, options.watchPeriod)
    {
        grpc::ServerBuilder builder;
        const auto credentials = options.tls.isEnabled() ? tlsCredentials(options.tls) : grpc::InsecureServerCredentials();
        builder.AddListeningPort(toString(options.listen), credentials, &m_port);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0); // a second process on this port must fail instead of sharing it
        builder.SetMaxReceiveMessageSize(MaxRequestBytes);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
    }
    ~GrpcOperatorServer() override
    {
        GrpcOperatorServer::shutdown();
    }

    auto isListening() const -> bool
    {
        return m_server != nullptr && m_port != 0;
    }

    auto port() const -> int override
    {
        return m_port;
    }

    auto shutdown() -> void override
    {
        if (m_server == nullptr) {
            return;
        }
        constexpr auto Grace = std::chrono::milliseconds(500);
        m_service.endAll();
        m_server->Shutdown(std::chrono::system_clock::now() + Grace);
        m_server.reset();
    }

private:
    int m_port = 0;
    OperatorService m_service;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace

} // namespace KingCup

extern "C" auto kingcupCreateOperatorServer(const KingCup::OperatorOptions &options, const KingCup::OperatorHooks &hooks, std::string &error)
    -> KingCup::OperatorServer *
{
    auto server = std::make_unique<KingCup::GrpcOperatorServer>(options, hooks);
    if (!server->isListening()) {
        error = "can't listen for operators on " + toString(options.listen);
        return nullptr;
    }
    return server.release();
}
