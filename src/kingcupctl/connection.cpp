#include "connection.h"

#include "settings/inifile.h"

#include <chrono>
#include <iostream>

namespace KingCup
{

namespace
{

/// Time limit of an attempt. An entry whose host is down doesn't answer at all, so the next entry is tried after this time.
constexpr auto AttemptTimeout = std::chrono::seconds(10);
constexpr int MaxReplyBytes = 64 << 20;

auto credentials(const TlsFiles &files) -> std::shared_ptr<grpc::ChannelCredentials>
{
    if (!files.isEnabled()) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = readTextFile(files.authority).value_or("");
    options.pem_private_key = readTextFile(files.key).value_or("");
    options.pem_cert_chain = readTextFile(files.certificate).value_or("");
    return grpc::SslCredentials(options);
}

} // namespace

struct Connection::Private {
    std::vector<std::unique_ptr<OperatorStub>> stubs;
    std::size_t current = 0; ///< index of the stub to call first: the server that answered most recently
};

Connection::Connection(const Arguments &arguments)
    : d(std::make_unique<Private>())
{
    grpc::ChannelArguments options;
    options.SetMaxReceiveMessageSize(MaxReplyBytes);
    options.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    d->stubs.reserve(arguments.servers.size());
    for (const auto &server : arguments.servers) {
        const auto channel = grpc::CreateCustomChannel(toString(server), credentials(arguments.tls), options);
        d->stubs.push_back(kingcup::operators::Operators::NewStub(channel));
    }
}

Connection::~Connection() = default;

auto Connection::tryServers(const Attempt &attempt) -> grpc::Status
{
    grpc::Status status(grpc::StatusCode::UNAVAILABLE, "no server was named; use --server IP:PORT");
    for (std::size_t tries = 0; tries < d->stubs.size(); ++tries) {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + AttemptTimeout);
        status = attempt(*d->stubs[d->current], context);
        const bool isUnreachable = status.error_code() == grpc::StatusCode::UNAVAILABLE || status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
        if (!isUnreachable) {
            break;
        }
        d->current = (d->current + 1) % d->stubs.size();
    }
    return status;
}

auto Connection::watch(std::uint64_t until, Duration limit, const std::function<bool(const kingcup::operators::StatusReply &)> &onStatus) -> grpc::Status
{
    return tryServers([&](OperatorStub &stub, grpc::ClientContext &context) {
        if (limit > Duration()) {
            context.set_deadline(std::chrono::system_clock::now() + std::chrono::microseconds(limit.inMicros()));
        } else {
            context.set_deadline(std::chrono::system_clock::time_point::max());
        }
        kingcup::operators::WatchRequest request;
        request.set_until_revision(until);
        const auto reader = stub.Watch(&context, request);
        kingcup::operators::StatusReply reply;
        while (reader->Read(&reply)) {
            if (!onStatus(reply)) {
                context.TryCancel();
            }
        }
        return reader->Finish();
    });
}

auto reportFailure(const grpc::Status &status) -> ExitCode
{
    std::cerr << "kingcupctl: " << status.error_message() << "\n";
    return status.error_code() == grpc::StatusCode::INVALID_ARGUMENT ? ExitCode::Refused : ExitCode::Unreachable;
}

} // namespace KingCup
