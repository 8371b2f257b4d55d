// Open gRPC calls of operators. Each is ended exactly once: by an answer from the entry's loop, by the client's cancellation or by
// the server's shutdown.
//
// Index of sections (search for [SECTION]):
//   CallRegistry   the open calls of one server
//   UnaryCall      one request, one reply
//   WatchCall      a stream of status messages
#pragma once

#include "operator/operatorapi.h"
#include "operator/operatorcodec.h"

#include <atomic>
#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>
#include <kingcup/operator.grpc.pb.h>
#include <memory>
#include <mutex>
#include <set>

namespace KingCup
{

// [SECTION] CallRegistry

class OpenCall
{
public:
    virtual ~OpenCall() = default;
    /// Ends the call with this status, unless it has already ended. Thread-safe.
    virtual auto end(const grpc::Status &status) -> void = 0;
};

/// The open calls of a server, to be ended at shutdown. gRPC's shutdown waits for every open call, and the stopped event loop
/// answers none any more, so an open call would hang the process.
class CallRegistry
{
public:
    /// Returns false, and doesn't add the call, once endAll() has been called.
    auto add(const std::shared_ptr<OpenCall> &call) -> bool;
    auto remove(const std::shared_ptr<OpenCall> &call) -> void;
    auto endAll() -> void;
    auto isClosed() const -> bool;

private:
    mutable std::mutex m_mutex;
    std::set<std::shared_ptr<OpenCall>> m_calls;
    bool m_closed = false;
};

// [SECTION] UnaryCall

class UnaryCall : public grpc::ServerUnaryReactor, public OpenCall, public std::enable_shared_from_this<UnaryCall>
{
public:
    static auto open(const std::shared_ptr<CallRegistry> &registry) -> std::shared_ptr<UnaryCall>;
    explicit UnaryCall(std::shared_ptr<CallRegistry> registry);

    auto isEnded() const -> bool;
    /// Calls `fill` to write the reply and sends it. Does nothing if the call has ended, since gRPC may have freed the reply.
    auto answer(const std::function<void()> &fill) -> void;
    auto end(const grpc::Status &status) -> void override;

    auto OnDone() -> void override; // NOLINT(readability-identifier-naming): gRPC's name
    auto OnCancel() -> void override; // NOLINT(readability-identifier-naming)

private:
    std::shared_ptr<CallRegistry> m_registry;
    std::shared_ptr<UnaryCall> m_self; ///< keeps the call alive until OnDone(): gRPC holds only a raw pointer
    std::atomic<bool> m_ended {false};
};

// [SECTION] WatchCall

class WatchCall : public grpc::ServerWriteReactor<OperatorProto::StatusReply>, public OpenCall, public std::enable_shared_from_this<WatchCall>
{
public:
    WatchCall(std::shared_ptr<CallRegistry> registry, OperatorHooks hooks, Duration period, Revision until);

    /// Requests the status now and then once per period; sends it whenever it has changed.
    auto start() -> void;
    auto end(const grpc::Status &status) -> void override;

    auto OnWriteDone(bool ok) -> void override; // NOLINT(readability-identifier-naming)
    auto OnDone() -> void override; // NOLINT(readability-identifier-naming)
    auto OnCancel() -> void override; // NOLINT(readability-identifier-naming)

private:
    auto requestStatus() -> void;
    auto onStatus(const SystemStatus &status) -> void;
    auto scheduleStatusRequest() -> void;
    auto endLocked(const grpc::Status &status) -> void;

    std::shared_ptr<CallRegistry> m_registry;
    std::shared_ptr<WatchCall> m_self; ///< keeps the call alive until OnDone(): gRPC holds only a raw pointer
    OperatorHooks m_hooks;
    Duration m_period;
    Revision m_until;
    grpc::Alarm m_alarm;

    std::mutex m_mutex; ///< guards the members below
    OperatorProto::StatusReply m_reply;
    std::string m_lastSent;
    bool m_writing = false;
    bool m_ended = false;
    bool m_endAfterWrite = false; ///< end() was called during a write: finish the call once the write is done
    grpc::Status m_endStatus;
};

} // namespace KingCup
