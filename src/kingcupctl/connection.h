// Calls to the entries of the system. If an entry can't be reached, the next entry is tried.
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

    /// Calls the first entry that can be reached, starting with the entry that answered most recently. Each attempt has a time limit.
    template<typename Request, typename Reply>
    auto call(grpc::Status (OperatorStub::*method)(grpc::ClientContext *, const Request &, Reply *), const Request &request, Reply &reply) -> grpc::Status
    {
        return tryServers([&](OperatorStub &stub, grpc::ClientContext &context) {
            reply.Clear();
            return (stub.*method)(&context, request, &reply);
        });
    }

    /// Reads a watch stream until it ends, `limit` has passed (0: no limit) or `onStatus` returns false. With `until` the entry ends the
    /// stream once that revision is in force everywhere; 0: never.
    auto watch(std::uint64_t until, Duration limit, const std::function<bool(const kingcup::operators::StatusReply &)> &onStatus) -> grpc::Status;

private:
    using Attempt = std::function<grpc::Status(OperatorStub &, grpc::ClientContext &)>;
    auto tryServers(const Attempt &attempt) -> grpc::Status;

    struct Private;
    std::unique_ptr<Private> d;
};

/// Prints the error of a failed call to standard error and returns the exit code for it.
auto reportFailure(const grpc::Status &status) -> ExitCode;

} // namespace KingCup
