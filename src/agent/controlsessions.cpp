#include "agent/controlsessions.h"

#include <glog/logging.h>
#include <set>

namespace KingCup
{

namespace
{

/// Changes within this time go out together.
constexpr auto ReportDelay = Duration::millis(10);
/// An entry that takes no reports isn't sent more: they would pile up.
constexpr std::size_t MaxPendingBytes = 1U << 20U;

} // namespace

struct ControlSessions::Private {
    EventLoop &loop;
    ControlHooks hooks;
    std::set<PeerStreamPtr> streams;
    Timer period;
    Timer soon;
    std::uint64_t sequence = 0;

    Private(EventLoop &ownerLoop, ControlHooks controlHooks)
        : loop(ownerLoop)
        , hooks(std::move(controlHooks))
    {
    }
    auto onFrame(const PeerStreamPtr &stream, const Wire::ControlFrame &frame) -> void;
    auto sendReport() -> void;
    auto sendAll(const Wire::ControlFrame &frame) -> void;
    auto suspectsFrame() const -> Wire::ControlFrame;
};

auto ControlSessions::Private::onFrame(const PeerStreamPtr &stream, const Wire::ControlFrame &frame) -> void
{
    switch (frame.kind_case()) {
    case Wire::ControlFrame::kHello:
        LOG(INFO) << "control: entry connected entry=" << frame.hello().id() << " zone=" << frame.hello().zone();
        break;
    case Wire::ControlFrame::kPing:
        stream->send(pongFrame(frame.ping().sequence()));
        break;
    case Wire::ControlFrame::kConfig:
        hooks.onConfig(frame.config());
        break;
    case Wire::ControlFrame::kPlan:
        hooks.onPlan(frame.plan());
        break;
    case Wire::ControlFrame::kSurge:
        hooks.onSurge(frame.surge());
        break;
    case Wire::ControlFrame::kSuspects:
        hooks.onSuspects(frame.suspects());
        break;
    case Wire::ControlFrame::kDrain:
        hooks.onDrain(frame.drain().reason());
        break;
    default:
        break; // of a newer version: not for us
    }
}

auto ControlSessions::Private::sendAll(const Wire::ControlFrame &frame) -> void
{
    const auto targets = streams; // a failed send may remove one
    for (const auto &stream : targets) {
        if (stream->pendingBytes() < MaxPendingBytes) {
            stream->send(frame);
        }
    }
}

auto ControlSessions::Private::sendReport() -> void
{
    Wire::ControlFrame frame;
    *frame.mutable_report() = hooks.report();
    frame.mutable_report()->set_sequence(++sequence);
    sendAll(frame);
}

auto ControlSessions::Private::suspectsFrame() const -> Wire::ControlFrame
{
    Wire::ControlFrame frame;
    *frame.mutable_suspects() = hooks.suspects();
    return frame;
}

ControlSessions::ControlSessions(EventLoop &loop, Duration period, ControlHooks hooks)
    : d(std::make_unique<Private>(loop, std::move(hooks)))
{
    d->period = loop.every(period, [this] { d->sendReport(); });
}

ControlSessions::~ControlSessions() = default;

auto ControlSessions::count() const -> std::size_t
{
    return d->streams.size();
}

auto ControlSessions::accept(const PeerStreamPtr &stream) -> void
{
    d->streams.insert(stream);
    // The stream must not be held by its own hooks.
    readControl(stream, "entry", [this, weak = std::weak_ptr(stream)](const Wire::ControlFrame &frame) {
        if (const auto self = weak.lock()) {
            d->onFrame(self, frame);
        }
    });
    stream->onEnd = [this, raw = stream.get()](StreamEnd /*end*/) {
        std::erase_if(d->streams, [&](const auto &held) { return held.get() == raw; });
    };
    Wire::ControlFrame hello;
    *hello.mutable_hello() = d->hooks.hello();
    stream->send(hello);
    stream->send(d->suspectsFrame());
    Wire::ControlFrame report;
    *report.mutable_report() = d->hooks.report();
    report.mutable_report()->set_sequence(++d->sequence);
    stream->send(report);
}

auto ControlSessions::reportSoon() -> void
{
    if (!d->soon.isActive()) {
        d->soon = d->loop.after(ReportDelay, [this] { d->sendReport(); });
    }
}

auto ControlSessions::tellSuspects() -> void
{
    d->sendAll(d->suspectsFrame());
}

} // namespace KingCup
