// Open gRPC calls of operators: each answered once, by the entry's loop, by a cancelled caller or by the end of the server.
//
// Index of sections (search for [SECTION]):
//   CallRegistry   the open calls of one server
//   UnaryCall      one question, one answer
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
    /// Ends the call with this status, unless it has ended already. Any thread.
    virtual auto end(const grpc::Status &status) -> void = 0;
};

/// gRPC's shutdown waits for every open call; one whose answer the stopped loop will never give would hang the process.
class CallRegistry
{
public:
    /// False once endAll() was called.
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
    /// Fills the reply and sends it; does nothing if the call has ended, as its reply is gone then.
    auto answer(const std::function<void()> &fill) -> void;
    auto end(const grpc::Status &status) -> void override;

    auto OnDone() -> void override; // NOLINT(readability-identifier-naming): gRPC's name
    auto OnCancel() -> void override; // NOLINT(readability-identifier-naming)

private:
    std::shared_ptr<CallRegistry> m_registry;
    std::shared_ptr<UnaryCall> m_self; ///< gRPC holds a bare pointer until OnDone()
    std::atomic<bool> m_ended {false};
};

// [SECTION] WatchCall

class WatchCall : public grpc::ServerWriteReactor<OperatorProto::StatusReply>, public OpenCall, public std::enable_shared_from_this<WatchCall>
{
public:
    WatchCall(std::shared_ptr<CallRegistry> registry, OperatorHooks hooks, Duration period, Revision until);

    /// Asks for the status now, and again after each period.
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
    std::shared_ptr<WatchCall> m_self; ///< gRPC holds a bare pointer until OnDone()
    OperatorHooks m_hooks;
    Duration m_period;
    Revision m_until;
    grpc::Alarm m_alarm;

    std::mutex m_mutex; ///< guards what follows
    OperatorProto::StatusReply m_reply;
    std::string m_lastSent;
    bool m_writing = false;
    bool m_ended = false;
    bool m_endAfterWrite = false; ///< while a write is under way: end after it
    grpc::Status m_endStatus;
};

} // namespace KingCup
