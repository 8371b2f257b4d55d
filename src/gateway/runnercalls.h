// Short HTTP calls to runners: orders and load reports. The answer is collected whole; each call ends within its timeout, answered or not.
#pragma once

#include "core/endpoint.h"
#include "core/units.h"
#include "gateway/pooledcall.h"
#include "gateway/protocol.h"
#include "net/eventloop.h"
#include "net/httppool.h"

#include <functional>
#include <string>

namespace KingCup
{

class RunnerCalls
{
public:
    /// `answer.status`: 0 if no complete answer arrived in time.
    using Done = std::function<void(const CollectedAnswer &answer)>;

    RunnerCalls(EventLoop &loop, HttpPool &pool, Duration timeout);

    auto start(const Endpoint &runner, EncodedCall text, const Done &done) -> void;

private:
    EventLoop &m_loop;
    HttpPool &m_pool;
    Duration m_timeout;
};

} // namespace KingCup
