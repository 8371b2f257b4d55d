#include "agent/controlsessions.h"

#include <glog/logging.h>
#include <map>

namespace KingCup
{

namespace
{

/// Delay of a scheduled report. Changes within this time are sent in one report.
constexpr auto ReportDelay = Duration::millis(10);
/// Stands for "no residents reported on this stream yet". It differs from every serialised list, also from the empty one, so that a
/// stream's first report always contains the residents.
constexpr auto NothingReported = "none";
/// While this many bytes are pending on an entry's stream, no more frames are sent on it: they would pile up for an entry that doesn't read.
constexpr std::size_t MaxPendingBytes = 1U << 20U;

} // namespace

struct ControlSessions::Private {
    EventLoop &loop;
    ControlHooks hooks;
    std::map<PeerStreamPtr, std::string> streams; // each with the residents last reported on it, serialised
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
    auto sendReport(const PeerStreamPtr &stream, const Wire::LoadReport &report) -> void;
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
        break; // a kind that isn't meant for agents, or one of a newer version
    }
}

auto ControlSessions::Private::sendAll(const Wire::ControlFrame &frame) -> void
{
    const auto targets = streams; // a copy, since a failed send may remove a stream
    for (const auto &[stream, residents] : targets) {
        if (stream->pendingBytes() < MaxPendingBytes) {
            stream->send(frame);
        }
    }
}

auto ControlSessions::Private::sendReport() -> void
{
    const auto report = hooks.report();
    ++sequence;
    auto targets = streams;
    for (auto &[stream, residents] : targets) {
        sendReport(stream, report);
    }
}

/// Residents make up most of a report and rarely change. They are left out if the same list was last sent on this stream: a stream loses
/// no messages, so the entry already has the list.
auto ControlSessions::Private::sendReport(const PeerStreamPtr &stream, const Wire::LoadReport &report) -> void
{
    const auto found = streams.find(stream);
    if (found == streams.end() || stream->pendingBytes() >= MaxPendingBytes) {
        return;
    }
    Wire::ControlFrame frame;
    *frame.mutable_report() = report;
    frame.mutable_report()->set_sequence(sequence);
    Wire::LoadReport residents;
    *residents.mutable_residents() = report.residents();
    auto text = residents.SerializeAsString();
    if (text == found->second) {
        frame.mutable_report()->clear_residents();
        frame.mutable_report()->set_residents_unchanged(true);
    } else {
        found->second = std::move(text);
    }
    stream->send(frame);
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
    d->streams.emplace(stream, NothingReported);
    // A weak pointer, since a stream that its own hooks own would never be freed.
    readControl(stream, "entry", [this, weak = std::weak_ptr(stream)](const Wire::ControlFrame &frame) {
        if (const auto self = weak.lock()) {
            d->onFrame(self, frame);
        }
    });
    stream->onEnd = [this, raw = stream.get()](StreamEnd /*end*/) {
        std::erase_if(d->streams, [&](const auto &held) { return held.first.get() == raw; });
    };
    Wire::ControlFrame hello;
    *hello.mutable_hello() = d->hooks.hello();
    stream->send(hello);
    stream->send(d->suspectsFrame());
    ++d->sequence;
    d->sendReport(stream, d->hooks.report());
}

auto ControlSessions::scheduleReport() -> void
{
    if (!d->soon.isActive()) {
        d->soon = d->loop.after(ReportDelay, [this] { d->sendReport(); });
    }
}

auto ControlSessions::sendSuspects() -> void
{
    d->sendAll(d->suspectsFrame());
}

} // namespace KingCup
