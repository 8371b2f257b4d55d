#include "gateway/crashmessages.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::uint64_t MaxAgeMillis = 24ULL * 3600 * 1000;

auto age(std::uint64_t millis) -> Duration
{
    return Duration::millis(static_cast<std::int64_t>(std::min(millis, MaxAgeMillis)));
}

auto millis(Duration span) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::max(span.inMillis(), std::int64_t {0}));
}

} // namespace

auto writeMessage(const CrashMessage &message, Wire::CrashReport &report) -> void
{
    for (const auto &record : message.records) {
        auto *added = report.add_records();
        added->set_request(record.subject.value);
        added->set_part(record.subject.isPart);
        added->set_unused_ms(millis(record.unusedFor));
        if (record.soundFor) {
            added->set_sound_ms(millis(*record.soundFor));
        }
        for (const auto &event : record.events) {
            auto *addedEvent = added->add_events();
            addedEvent->set_id(event.id);
            addedEvent->set_probe(event.isProbe);
            addedEvent->set_withdrawn(event.isWithdrawn);
            addedEvent->set_age_ms(millis(event.age));
            addedEvent->set_where(event.where);
            for (const auto run : event.runs) {
                addedEvent->add_runs(run);
            }
            addedEvent->set_over(event.isOver);
            addedEvent->set_isolating(event.isIsolating);
            addedEvent->set_target(event.target.id.text());
            addedEvent->set_born_ms(event.target.startedAtMillis);
        }
    }
    for (const auto &query : message.queries) {
        auto *added = report.add_probes();
        added->set_request(query.subjects.request.value);
        for (const auto &part : query.subjects.parts) {
            added->add_parts(part.value);
        }
    }
    for (const auto &reply : message.replies) {
        auto *added = report.add_replies();
        added->set_request(reply.request);
        added->set_granted(reply.isGranted);
        added->set_probe(reply.probe);
    }
}

auto messageOf(const Wire::CrashReport &report) -> CrashMessage
{
    CrashMessage message;
    for (const auto &record : report.records()) {
        CrashRecord read {{record.part(), record.request()}, age(record.unused_ms()), {}};
        if (record.has_sound_ms()) {
            read.soundFor = age(record.sound_ms());
        }
        for (const auto &event : record.events()) {
            read.events.push_back({.id = event.id(),
                                   .isProbe = event.probe(),
                                   .isWithdrawn = event.withdrawn(),
                                   .age = age(event.age_ms()),
                                   .where = event.where(),
                                   .runs = {event.runs().begin(), event.runs().end()},
                                   .isOver = event.over(),
                                   .isIsolating = event.isolating(),
                                   .target = {TargetId(event.target()), event.born_ms()}});
        }
        message.records.push_back(std::move(read));
    }
    for (const auto request : report.queries()) {
        message.queries.push_back({{requestSubject(request), {}}});
    }
    for (const auto &query : report.probes()) {
        CrashSubjects subjects {requestSubject(query.request()), {}};
        for (const auto part : query.parts()) {
            subjects.parts.push_back({true, part});
        }
        message.queries.push_back({std::move(subjects)});
    }
    for (const auto &reply : report.replies()) {
        message.replies.push_back({reply.request(), reply.granted(), reply.probe()});
    }
    return message;
}

} // namespace KingCup
