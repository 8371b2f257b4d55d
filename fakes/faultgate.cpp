#include "faultgate.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr auto RetryHint = Duration::millis(500);

auto modeFromString(const std::string &text) -> std::optional<FaultMode>
{
    if (text == "refuse") {
        return FaultMode::Refuse;
    }
    if (text == "throttle") {
        return FaultMode::Throttle;
    }
    if (text == "hang") {
        return FaultMode::Hang;
    }
    if (text == "drop-answer") {
        return FaultMode::DropAnswer;
    }
    if (text == "late-effect") {
        return FaultMode::LateEffect;
    }
    if (text == "slow") {
        return FaultMode::Slow;
    }
    return std::nullopt;
}

/// An exchange without a connection: an effect that answers it takes place, but the answer is lost.
auto detachedExchange(const ExchangePtr &exchange) -> ExchangePtr
{
    return std::make_shared<HttpExchange>(exchange->request());
}

} // namespace

FaultGate::FaultGate(SimClock &clock)
    : m_clock(clock)
{
}

auto FaultGate::apply(const Json &command) -> bool
{
    const auto name = command.value("mode", std::string());
    if (name == "ok") {
        heal();
        return true;
    }
    const auto mode = modeFromString(name);
    if (!mode) {
        return false;
    }
    const auto op = command.value("op", std::string("any"));
    m_faults.push_back(StoreFault {.mode = *mode,
                                   .prefix = command.value("prefix", std::string()),
                                   .reads = op != "write",
                                   .writes = op != "read",
                                   .remaining = command.value("count", 0),
                                   .rate = command.value("rate", 1.0),
                                   .delay = Duration::millis(command.value("ms", 0))});
    return true;
}

auto FaultGate::heal() -> void
{
    m_faults.clear();
    for (const auto &exchange : m_hanging) {
        exchange->abort();
    }
    m_hanging.clear();
}

auto FaultGate::applied() const -> std::uint64_t
{
    return m_applied;
}

auto FaultGate::matchFault(const StoreRequest &request) -> std::optional<StoreFault>
{
    for (auto fault = m_faults.begin(); fault != m_faults.end(); ++fault) {
        const bool hasKey = fault->prefix.empty()
            || std::any_of(request.keys.begin(), request.keys.end(), [&](const auto &key) { return key.compare(0, fault->prefix.size(), fault->prefix) == 0; });
        const bool hasOp = request.writes ? fault->writes : fault->reads;
        if (!hasKey || !hasOp || m_clock.random() >= fault->rate) {
            continue;
        }
        ++m_applied;
        const auto picked = *fault;
        if (fault->remaining > 0 && --fault->remaining == 0) {
            m_faults.erase(fault);
        }
        return picked;
    }
    return std::nullopt;
}

auto FaultGate::handle(StoreRequest request, Duration latency) -> void
{
    const auto fault = matchFault(request);
    auto run = [effect = std::move(request.effect)](const ExchangePtr &exchange) {
        effect(exchange);
    };
    const auto exchange = request.exchange;
    if (!fault) {
        m_clock.after(latency, [run, exchange] { run(exchange); });
        return;
    }
    switch (fault->mode) {
    case FaultMode::Refuse:
        answerRetry(exchange, Status::Unavailable, "unavailable", RetryHint);
        return;
    case FaultMode::Throttle:
        answerRetry(exchange, Status::TooManyRequests, "throttled", RetryHint);
        return;
    case FaultMode::Hang:
        m_hanging.push_back(exchange);
        return;
    case FaultMode::DropAnswer:
        m_clock.after(latency, [run, exchange] {
            run(detachedExchange(exchange));
            exchange->abort();
        });
        return;
    case FaultMode::LateEffect:
        exchange->abort();
        m_clock.after(fault->delay, [run, exchange] { run(detachedExchange(exchange)); });
        return;
    case FaultMode::Slow:
        m_clock.after(latency + fault->delay, [run, exchange] { run(exchange); });
        return;
    }
}

} // namespace KingCup
