#include "core/admission.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::size_t StartsKept = 256;
constexpr std::size_t StartsToJudge = 4; ///< fewer tell nothing about a lane's pace
constexpr auto LeastRetryAfter = Duration::millis(100);
constexpr auto ServiceTimeIfUnknown = Duration::millis(10);

} // namespace

auto laneOf(const ServiceName &service, const std::vector<ArtifactName> &artifacts) -> LaneName
{
    if (artifacts.empty()) {
        return LaneName("service:" + service.text());
    }
    std::string text;
    for (const auto &artifact : artifacts) {
        text += (text.empty() ? "" : "+") + artifact.text();
    }
    return LaneName(text);
}

auto toString(AdmissionRefusal refusal) -> const char *
{
    switch (refusal) {
    case AdmissionRefusal::None:
        return "none";
    case AdmissionRefusal::TooLate:
        return "too-late";
    case AdmissionRefusal::QueueFull:
        return "queue-full";
    }
    return "";
}

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_options(options)
{
}

auto AdmissionQueue::size() const -> std::size_t
{
    return m_requests.size();
}

auto AdmissionQueue::waiting(const LaneName &lane) const -> std::size_t
{
    return ahead(lane, Priority::Batch);
}

auto AdmissionQueue::isWaiting(const RequestId &request) const -> bool
{
    return m_requests.contains(request);
}

auto AdmissionQueue::expectedWait(const LaneName &lane, Priority priority, TimePoint now) const -> Duration
{
    const auto perSecond = pace(lane, now);
    const auto count = ahead(lane, priority);
    return perSecond <= 0 || count == 0 ? Duration() : Duration::seconds(static_cast<double>(count) / perSecond);
}

auto AdmissionQueue::offer(const WaitingRequest &request, TimePoint now) -> AdmissionAnswer
{
    const auto wait = expectedWait(request.lane, request.priority, now);
    if (now + wait + request.serviceTime > request.deadline) {
        return {AdmissionRefusal::TooLate, std::max(wait, LeastRetryAfter), "too-late wait-ms=" + std::to_string(wait.inMillis())};
    }
    const auto &ofService = m_ofService[request.service];
    const auto mostOfService = static_cast<std::size_t>(static_cast<double>(m_options.most) * m_options.mostOfOneService);
    if (m_requests.size() >= m_options.most || ofService >= mostOfService) {
        return {AdmissionRefusal::QueueFull, std::max(wait, LeastRetryAfter), "queue-full waiting=" + std::to_string(m_requests.size())};
    }
    if (m_requests.contains(request.id)) {
        return {};
    }
    m_requests.emplace(request.id, request);
    ++m_ofService[request.service];
    auto &ofClass = m_classes[request.priority];
    auto &queue = ofClass.services[request.service];
    if (queue.size == 0) {
        // A service that was idle doesn't collect credit for it; otherwise its next burst would shut out all others.
        queue.virtualTime = std::max(queue.virtualTime, ofClass.virtualTime);
    }
    ++queue.size;
    queue.lanes[request.lane].insert(Key {request.deadline - request.serviceTime, request.deadline, request.id});
    return {};
}

auto AdmissionQueue::next(TimePoint now, const HasCapacity &hasCapacity) -> std::optional<RequestId>
{
    for (auto &[priority, ofClass] : m_classes) {
        ServiceQueue *best = nullptr;
        ServiceName bestService;
        const Key *bestKey = nullptr;
        for (auto &[service, queue] : ofClass.services) {
            if (best != nullptr && queue.virtualTime >= best->virtualTime) {
                continue;
            }
            const Key *earliest = nullptr;
            for (const auto &[lane, ordered] : queue.lanes) {
                const bool isEarlier = earliest == nullptr || *ordered.begin() < *earliest;
                if (isEarlier && hasCapacity(lane, priority)) {
                    earliest = &*ordered.begin();
                }
            }
            if (earliest != nullptr) {
                best = &queue;
                bestService = service;
                bestKey = earliest;
            }
        }
        if (best == nullptr) {
            continue;
        }
        const auto request = m_requests.at(bestKey->id);
        const auto cost = request.serviceTime.inMicros() > 0 ? request.serviceTime : ServiceTimeIfUnknown;
        ofClass.virtualTime = best->virtualTime;
        best->virtualTime += cost.inSeconds() / share(bestService);
        auto &starts = m_starts[request.lane];
        starts.push_back(now);
        while (starts.size() > StartsKept || now - starts.front() > m_options.rateWindow) {
            starts.pop_front();
        }
        takeOut(request);
        return request.id;
    }
    return std::nullopt;
}

auto AdmissionQueue::expire(TimePoint now) -> std::vector<RequestId>
{
    std::vector<RequestId> result;
    for (const auto &[id, request] : m_requests) {
        if (request.deadline - request.serviceTime < now) {
            result.push_back(id);
        }
    }
    for (const auto &id : result) {
        remove(id);
    }
    return result;
}

auto AdmissionQueue::remove(const RequestId &request) -> void
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end()) {
        const auto copy = found->second;
        takeOut(copy);
    }
}

auto AdmissionQueue::setShare(const ServiceName &service, double weight) -> void
{
    m_shares[service] = weight;
}

auto AdmissionQueue::takeOut(const WaitingRequest &request) -> void
{
    auto &queue = m_classes[request.priority].services[request.service];
    const auto lane = queue.lanes.find(request.lane);
    lane->second.erase(Key {request.deadline - request.serviceTime, request.deadline, request.id});
    if (lane->second.empty()) {
        queue.lanes.erase(lane);
    }
    --queue.size;
    if (--m_ofService[request.service] == 0) {
        m_ofService.erase(request.service);
    }
    const auto laneName = request.lane;
    m_requests.erase(request.id);
    if (waiting(laneName) == 0) {
        m_starts.erase(laneName);
    }
}

auto AdmissionQueue::share(const ServiceName &service) const -> double
{
    const auto found = m_shares.find(service);
    return found == m_shares.end() ? 1.0 : found->second;
}

auto AdmissionQueue::ahead(const LaneName &lane, Priority priority) const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[queued, ofClass] : m_classes) {
        if (queued > priority) {
            break;
        }
        for (const auto &[service, queue] : ofClass.services) {
            const auto found = queue.lanes.find(lane);
            count += found == queue.lanes.end() ? 0 : found->second.size();
        }
    }
    return count;
}

auto AdmissionQueue::pace(const LaneName &lane, TimePoint now) const -> double
{
    const auto found = m_starts.find(lane);
    if (found == m_starts.end() || found->second.size() < StartsToJudge) {
        return 0;
    }
    const auto span = std::max((now - found->second.front()).inSeconds(), 1e-3);
    return static_cast<double>(found->second.size()) / span;
}

} // namespace KingCup
