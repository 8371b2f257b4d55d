// What one gateway knows of requests that crash targets, as the simulated gateways of sim_crashfleet.h use it.
#pragma once

#include "core/crashrepeats.h"
#include "core/ids.h"
#include "core/targetinfo.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace KingCup
{

/// A message from one gateway to another.
struct SimCrashMessage {
    std::uint64_t request = 0;
    int breaks = 0;
};

/// What a gateway finds out when it connects to the address of a target.
enum class SimTargetSign { Alive, Replaced, NoConnection };

struct SimCrashHooks {
    std::function<void(const SimCrashMessage &message)> sendAll;
    std::function<void(const std::string &to, const SimCrashMessage &message)> send;
    std::function<void(const TargetIncarnation &target, std::function<void(SimTargetSign sign)> done)> check;
};

enum class SimDecision { Run, Wait, Reject };

class SimCrashNode
{
public:
    SimCrashNode(std::string /*id*/, SimCrashHooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    auto decide(std::uint64_t request, TimePoint now) -> SimDecision
    {
        return m_crashes.isBarred(request, now) ? SimDecision::Reject : SimDecision::Run;
    }
    auto sent(SendId run, std::uint64_t request, const TargetIncarnation & /*target*/, TimePoint now) -> void
    {
        m_runs[run] = {request, now};
    }
    auto received(SendId /*run*/, TimePoint /*now*/) -> void
    {
    }
    auto succeeded(SendId run, TimePoint /*now*/) -> void
    {
        m_crashes.succeeded(m_runs[run].request);
        m_runs.erase(run);
    }
    auto broke(SendId run, TimePoint now) -> void
    {
        const auto ended = m_runs[run];
        m_runs.erase(run);
        if (m_crashes.targetBrokeOff(ended.request, ended.sentAt, now) == BreakVerdict::Counted) {
            m_hooks.sendAll({ended.request, m_crashes.breaks(ended.request)});
        }
    }
    auto gaveUp(SendId run, TimePoint /*now*/) -> void
    {
        m_runs.erase(run);
    }
    auto receive(const std::string & /*from*/, const SimCrashMessage &message, TimePoint now) -> void
    {
        m_crashes.reported(message.request, message.breaks, now);
    }
    auto setPeers(const std::set<std::string> & /*live*/) -> void
    {
    }
    auto advance(TimePoint now) -> void
    {
        m_crashes.expire(now);
    }
    auto greeting(TimePoint /*now*/) -> std::optional<SimCrashMessage>
    {
        return std::nullopt;
    }
    auto checksum(TimePoint /*now*/) -> std::uint64_t
    {
        return 0;
    }
    auto checksumReceived(const std::string & /*from*/, std::uint64_t /*checksum*/, TimePoint /*now*/) -> void
    {
    }

private:
    struct Run {
        std::uint64_t request = 0;
        TimePoint sentAt;
    };
    SimCrashHooks m_hooks;
    CrashRepeats m_crashes;
    std::map<SendId, Run> m_runs;
};

} // namespace KingCup
