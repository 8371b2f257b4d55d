#include "net/eventloop.h"

#include <atomic>
#include <csignal>
#include <ctime>
#include <deque>
#include <glog/logging.h>
#include <libwebsockets.h>
#include <mutex>
#include <sys/resource.h>
#include <thread>
#include <utility>

namespace KingCup
{

namespace
{

/// libwebsockets sizes tables by the limit on open files. The system's limit may be a million, which would waste memory.
constexpr rlim_t MaxDescriptors = 8192;
constexpr unsigned ServiceBufferBytes = 16384;
/// All headers of one request or answer together; requests with more are refused.
constexpr unsigned short MaxHeaderBytes = 16384;

auto forwardLwsLog(int level, const char *line) -> void
{
    if ((level & LLL_ERR) != 0) {
        VLOG(1) << "net: libwebsockets: " << line;
    }
}

} // namespace

namespace
{

/// State that a loop shares with its timers, which may outlive it.
struct LoopState {
    bool alive = true;
    bool watched = false; // runUntil() is active and checks its condition after each event
};

} // namespace

// [SECTION] Timer

struct Timer::Private {
    lws_sorted_usec_list_t entry {}; // must be the first member: libwebsockets passes a pointer to it to fire(), which casts it to Private
    lws_context *context = nullptr;
    EventLoop::Task task;
    Duration period; // 0: once
    bool active = false;
    std::shared_ptr<LoopState> loopState;

    static auto fire(lws_sorted_usec_list_t *entry) -> void;
    auto schedule(Duration delay) -> void
    {
        active = true;
        lws_sul_schedule(context, 0, &entry, &Private::fire, delay.inMicros());
    }
};

auto Timer::Private::fire(lws_sorted_usec_list_t *entry) -> void
{
    auto *self = reinterpret_cast<Private *>(entry);
    self->active = false;
    if (self->period > Duration()) {
        self->schedule(self->period);
    }
    // The task may destroy this timer and with it the stored function, so a copy is run.
    const auto task = self->task;
    const auto loopState = self->loopState;
    auto *context = self->context;
    task();
    if (loopState->watched) {
        // libwebsockets goes on to wait for the next event in the same call. Without this wake-up, runUntil() would check its
        // condition only after that event, up to 30 s later.
        lws_cancel_service(context);
    }
}

Timer::Timer() = default;
Timer::Timer(Timer &&) noexcept = default;

Timer::~Timer()
{
    cancel();
}

auto Timer::operator=(Timer &&other) noexcept -> Timer &
{
    if (this != &other) {
        cancel();
        d = std::move(other.d);
    }
    return *this;
}

auto Timer::isActive() const -> bool
{
    return d && d->active;
}

auto Timer::cancel() -> void
{
    if (d && d->active && d->loopState->alive) {
        lws_sul_cancel(&d->entry);
    }
    d.reset(); // also destroys the task, which may own the timer's owner
}

// [SECTION] EventLoop

struct EventLoop::Private {
    lws_context *context = nullptr;
    std::atomic<bool> stopping = false;
    std::mutex mutex; // guards `tasks`, the only state that other threads access
    std::deque<Task> tasks;
    std::shared_ptr<LoopState> loopState = std::make_shared<LoopState>();
    std::size_t polledDescriptors = 0;

    auto runTasks() -> void
    {
        std::deque<Task> ready;
        {
            const std::lock_guard lock(mutex);
            ready.swap(tasks);
        }
        for (auto &task : ready) {
            task();
        }
    }
    auto hasTasks() -> bool
    {
        const std::lock_guard lock(mutex);
        return !tasks.empty();
    }
    auto step() -> void
    {
        // Tasks run last, so that runUntil() checks its condition right after them and not only after the next event.
        if (!stopping) {
            lws_service(context, hasTasks() ? -1 : 0);
        }
        runTasks();
    }
};

namespace
{

/// Lowers this process's limit on open files. If libwebsockets were given a lower limit of its own instead, it would find each
/// descriptor by a linear search through the whole table, at every event.
auto limitDescriptors() -> void
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur > MaxDescriptors) {
        limit.rlim_cur = MaxDescriptors;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

EventLoop::EventLoop()
    : d(std::make_unique<Private>())
{
    std::signal(SIGPIPE, SIG_IGN);
    limitDescriptors();
    lws_set_log_level(LLL_ERR, &forwardLwsLog);
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.pt_serv_buf_size = ServiceBufferBytes;
    info.max_http_header_data = MaxHeaderBytes;
    d->context = lws_create_context(&info);
    CHECK(d->context != nullptr) << "net: libwebsockets could not start; is the limit on open files too low?";
}

EventLoop::~EventLoop()
{
    d->loopState->alive = false;
    lws_context_destroy(d->context);
}

auto EventLoop::run() -> void
{
    while (!d->stopping) {
        d->step();
    }
}

auto EventLoop::runUntil(const std::function<bool()> &done, Duration limit) -> bool
{
    bool late = false;
    const bool outer = std::exchange(d->loopState->watched, true);
    const auto timer = after(limit, [&] { late = true; });
    bool held = done();
    while (!held && !d->stopping && !late) {
        d->step();
        held = done();
    }
    d->loopState->watched = outer;
    return held;
}

auto EventLoop::stop() -> void
{
    d->stopping = true;
    lws_cancel_service(d->context);
}

auto EventLoop::post(Task task) -> void
{
    bool first = false;
    {
        const std::lock_guard lock(d->mutex);
        first = d->tasks.empty();
        d->tasks.push_back(std::move(task));
    }
    if (first) {
        lws_cancel_service(d->context);
    }
}

auto EventLoop::after(Duration delay, Task task) -> Timer
{
    Timer timer;
    timer.d = std::make_unique<Timer::Private>();
    timer.d->context = d->context;
    timer.d->loopState = d->loopState;
    timer.d->task = std::move(task);
    timer.d->schedule(delay > Duration() ? delay : Duration::micros(1));
    return timer;
}

auto EventLoop::every(Duration period, Task task) -> Timer
{
    auto timer = after(period, std::move(task));
    timer.d->period = period;
    return timer;
}

auto EventLoop::now() const -> TimePoint
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time); // advances while a host is suspended, as leases and deadlines must
    constexpr std::int64_t MicrosPerSecond = 1000000;
    constexpr std::int64_t NanosPerMicro = 1000;
    return TimePoint::fromMicros(time.tv_sec * MicrosPerSecond + time.tv_nsec / NanosPerMicro);
}

auto EventLoop::context() const -> lws_context *
{
    return d->context;
}

auto EventLoop::polledDescriptors() const -> std::size_t
{
    return d->polledDescriptors;
}

auto EventLoop::countPolled(int change) -> void
{
    d->polledDescriptors += static_cast<std::size_t>(change);
}

auto onSignals(EventLoop &loop, std::function<void()> onStop, std::function<void()> onReload) -> void
{
    // Signals are received by a thread that waits for them: unlike a signal handler, it may take locks.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (onReload) {
        sigaddset(&signals, SIGHUP);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([&loop, signals, onStop = std::move(onStop), onReload = std::move(onReload)] {
        int signal = 0;
        while (sigwait(&signals, &signal) == 0) {
            loop.post(signal == SIGHUP ? onReload : onStop);
        }
    }).detach();
}

} // namespace KingCup
