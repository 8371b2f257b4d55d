// Calls entries of the system, one after the other until one answers.
#pragma once

#include "arguments.h"

#include <functional>
#include <grpcpp/grpcpp.h>
#include <kingcup/operator.grpc.pb.h>
#include <memory>

namespace KingCup
{

using OperatorStub = kingcup::operators::Operators::Stub;

class Connection
{
public:
    explicit Connection(const Arguments &arguments);
    ~Connection();

    /// Makes a call at the first entry that can be reached. `deadline` limits each try.
    template<typename Request, typename Reply>
    auto call(grpc::Status (OperatorStub::*method)(grpc::ClientContext *, const Request &, Reply *), const Request &request, Reply &reply) -> grpc::Status
    {
        return tryServers([&](OperatorStub &stub, grpc::ClientContext &context) {
            reply.Clear();
            return (stub.*method)(&context, request, &reply);
        });
    }

    /// Reads a watch stream until it ends or `onStatus` answers false.
    auto watch(std::uint64_t until, Duration limit, const std::function<bool(const kingcup::operators::StatusReply &)> &onStatus) -> grpc::Status;

private:
    using Attempt = std::function<grpc::Status(OperatorStub &, grpc::ClientContext &)>;
    auto tryServers(const Attempt &attempt) -> grpc::Status;

    struct Private;
    std::unique_ptr<Private> d;
};

/// What a failed call means for the exit code, and a line on standard error.
auto reportFailure(const grpc::Status &status) -> ExitCode;

} // namespace KingCup
