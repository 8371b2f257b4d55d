#include "operator/operatorcalls.h"

#include <chrono>

namespace KingCup
{

namespace
{

auto closingStatus() -> grpc::Status
{
    return {grpc::StatusCode::UNAVAILABLE, "this entry is stopping; ask another one"};
}

auto cancelledStatus() -> grpc::Status
{
    return {grpc::StatusCode::CANCELLED, "cancelled by the operator"};
}

} // namespace

auto CallRegistry::add(const std::shared_ptr<OpenCall> &call) -> bool
{
    const std::lock_guard lock(m_mutex);
    if (m_closed) {
        return false;
    }
    m_calls.insert(call);
    return true;
}

auto CallRegistry::remove(const std::shared_ptr<OpenCall> &call) -> void
{
    const std::lock_guard lock(m_mutex);
    m_calls.erase(call);
}

auto CallRegistry::endAll() -> void
{
    std::set<std::shared_ptr<OpenCall>> calls;
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        calls = m_calls;
    }
    for (const auto &call : calls) {
        call->end(closingStatus());
    }
}

auto CallRegistry::isClosed() const -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_closed;
}

UnaryCall::UnaryCall(std::shared_ptr<CallRegistry> registry)
    : m_registry(std::move(registry))
{
}

auto UnaryCall::open(const std::shared_ptr<CallRegistry> &registry) -> std::shared_ptr<UnaryCall>
{
    auto call = std::make_shared<UnaryCall>(registry);
    call->m_self = call;
    if (!registry->add(call)) {
        call->end(closingStatus());
    }
    return call;
}

auto UnaryCall::isEnded() const -> bool
{
    return m_ended;
}

auto UnaryCall::answer(const std::function<void()> &fill) -> void
{
    if (!m_ended.exchange(true)) {
        fill();
        Finish(grpc::Status::OK);
    }
}

auto UnaryCall::end(const grpc::Status &status) -> void
{
    if (!m_ended.exchange(true)) {
        Finish(status);
    }
}

auto UnaryCall::OnDone() -> void
{
    const auto last = std::move(m_self);
    m_registry->remove(last);
}

auto UnaryCall::OnCancel() -> void
{
    end(cancelledStatus());
}

WatchCall::WatchCall(std::shared_ptr<CallRegistry> registry, OperatorHooks hooks, Duration period, Revision until)
    : m_registry(std::move(registry))
    , m_hooks(std::move(hooks))
    , m_period(period)
    , m_until(until)
{
}

auto WatchCall::start() -> void
{
    m_self = shared_from_this();
    if (m_registry->add(shared_from_this())) {
        requestStatus();
    } else {
        end(closingStatus());
    }
}

auto WatchCall::requestStatus() -> void
{
    m_hooks.post([self = shared_from_this()] {
        if (!self->m_registry->isClosed()) {
            self->onStatus(self->m_hooks.status());
        }
    });
}

auto WatchCall::onStatus(const SystemStatus &status) -> void
{
    const auto reply = toProto(status);
    auto text = reply.SerializeAsString();
    const std::lock_guard lock(m_mutex);
    if (m_ended || m_endAfterWrite) {
        return;
    }
    if (text == m_lastSent) {
        scheduleStatusRequest();
        return;
    }
    m_reply = reply;
    m_lastSent = std::move(text);
    m_writing = true;
    StartWrite(&m_reply);
}

auto WatchCall::scheduleStatusRequest() -> void
{
    const auto when = std::chrono::system_clock::now() + std::chrono::microseconds(m_period.inMicros());
    m_alarm.Set(when, [self = shared_from_this()](bool reached) {
        if (reached) {
            self->requestStatus();
        }
    });
}

auto WatchCall::OnWriteDone(bool ok) -> void
{
    const auto self = shared_from_this(); // Finish() may release the last other reference while m_mutex is still locked
    const std::lock_guard lock(m_mutex);
    m_writing = false;
    if (m_endAfterWrite) {
        endLocked(m_endStatus);
    } else if (!ok) {
        endLocked(cancelledStatus());
    } else if (m_until.value() != 0 && m_reply.in_force() >= m_until.value()) {
        endLocked(grpc::Status::OK);
    } else {
        scheduleStatusRequest();
    }
}

auto WatchCall::end(const grpc::Status &status) -> void
{
    const auto self = shared_from_this();
    const std::lock_guard lock(m_mutex);
    if (m_writing) {
        m_endAfterWrite = true;
        m_endStatus = status;
    } else {
        endLocked(status);
    }
}

auto WatchCall::endLocked(const grpc::Status &status) -> void
{
    if (!m_ended) {
        m_ended = true;
        m_alarm.Cancel();
        Finish(status);
    }
}

auto WatchCall::OnDone() -> void
{
    const auto last = std::move(m_self);
    m_registry->remove(last);
}

auto WatchCall::OnCancel() -> void
{
    end(cancelledStatus());
}

} // namespace KingCup
