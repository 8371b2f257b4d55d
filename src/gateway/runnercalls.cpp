#include "gateway/runnercalls.h"

#include <memory>
#include <utility>

namespace KingCup
{

namespace
{

constexpr std::size_t MaxReportBody = 1U << 20U; ///< a report lists some hundred models, adapters and runs

struct RunnerCall : CollectedAnswer {
    std::shared_ptr<PooledHandle> handle;
    Timer timer;
};

} // namespace

RunnerCalls::RunnerCalls(EventLoop &loop, HttpPool &pool, Duration timeout)
    : m_loop(loop)
    , m_pool(pool)
    , m_timeout(timeout)
{
}

auto RunnerCalls::start(const Endpoint &runner, EncodedCall text, const Done &done) -> void
{
    auto state = std::make_shared<RunnerCall>();
    auto pooled = collectingCall(runner, std::move(text), state, MaxReportBody);
    pooled.onEnd = [state, done](const PooledEnd &end) {
        state->timer.cancel();
        state->handle = nullptr;
        done(end.end == CallEnd::Complete ? *state : CollectedAnswer());
    };
    state->timer = m_loop.after(m_timeout, [state, done] {
        if (const auto handle = std::exchange(state->handle, nullptr)) {
            handle->cancel();
        }
        done({});
    });
    state->handle = m_pool.start(std::move(pooled));
}

} // namespace KingCup
