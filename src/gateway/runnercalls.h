// Calls to runners whose whole, small answer is wanted: orders and load reports. Each ends within its time, answered or not.
#pragma once

#include "core/endpoint.h"
#include "core/units.h"
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
    /// `status`: 0 if there was no whole answer in time.
    using Done = std::function<void(int status, const std::string &body)>;

    RunnerCalls(EventLoop &loop, HttpPool &pool, Duration timeout);

    auto start(const Endpoint &runner, EncodedCall text, const Done &done) -> void;

private:
    EventLoop &m_loop;
    HttpPool &m_pool;
    Duration m_timeout;
};

} // namespace KingCup
