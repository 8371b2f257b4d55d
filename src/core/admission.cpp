#include "core/admission.h"

#include <algorithm>

namespace KingCup
{

namespace
{

constexpr std::size_t StartsKept = 256;
constexpr std::size_t MinStartsForRate = 4; ///< with fewer starts, the lane's rate is unknown
constexpr auto MinRetryAfter = Duration::millis(100);
constexpr auto DefaultServiceTime = Duration::millis(10);

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
    return countAhead(lane, Priority::Batch);
}

auto AdmissionQueue::isWaiting(const RequestId &request) const -> bool
{
    return m_requests.contains(request);
}

auto AdmissionQueue::expectedWait(const LaneName &lane, Priority priority, TimePoint now) const -> Duration
{
    const auto perSecond = startRate(lane, now);
    const auto count = countAhead(lane, priority);
    return perSecond <= 0 || count == 0 ? Duration() : Duration::seconds(static_cast<double>(count) / perSecond);
}

auto AdmissionQueue::offer(const WaitingRequest &request, TimePoint now) -> AdmissionAnswer
{
    const auto wait = expectedWait(request.lane, request.priority, now);
    if (now + wait + request.serviceTime > request.deadline) {
        return {AdmissionRefusal::TooLate, std::max(wait, MinRetryAfter), "too-late wait-ms=" + std::to_string(wait.inMillis())};
    }
    const auto &waitingOfService = m_countByService[request.service];
    const auto maxOfService = static_cast<std::size_t>(static_cast<double>(m_options.maxWaiting) * m_options.maxServiceShare);
    if (m_requests.size() >= m_options.maxWaiting || waitingOfService >= maxOfService) {
        return {AdmissionRefusal::QueueFull, std::max(wait, MinRetryAfter), "queue-full waiting=" + std::to_string(m_requests.size())};
    }
    if (m_requests.contains(request.id)) {
        return {};
    }
    m_requests.emplace(request.id, request);
    ++m_countByService[request.service];
    auto &classQueue = m_classes[request.priority];
    auto &queue = classQueue.services[request.service];
    if (queue.size == 0) {
        // An idle service doesn't accumulate credit; otherwise its next burst would starve all other services.
        queue.virtualTime = std::max(queue.virtualTime, classQueue.virtualTime);
    }
    ++queue.size;
    queue.lanes[request.lane].insert(Key {request.deadline - request.serviceTime, request.deadline, request.id});
    return {};
}

auto AdmissionQueue::next(TimePoint now, const HasCapacity &hasCapacity) -> std::optional<RequestId>
{
    for (auto &[priority, classQueue] : m_classes) {
        ServiceQueue *best = nullptr;
        ServiceName bestService;
        const Key *bestKey = nullptr;
        for (auto &[service, queue] : classQueue.services) {
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
        const auto cost = request.serviceTime.inMicros() > 0 ? request.serviceTime : DefaultServiceTime;
        classQueue.virtualTime = best->virtualTime;
        best->virtualTime += cost.inSeconds() / share(bestService);
        auto &starts = m_starts[request.lane];
        starts.push_back(now);
        while (starts.size() > StartsKept || now - starts.front() > m_options.rateWindow) {
            starts.pop_front();
        }
        dequeue(request);
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
        dequeue(copy);
    }
}

auto AdmissionQueue::setShare(const ServiceName &service, double weight) -> void
{
    m_shares[service] = weight;
}

auto AdmissionQueue::dequeue(const WaitingRequest &request) -> void
{
    auto &queue = m_classes[request.priority].services[request.service];
    const auto lane = queue.lanes.find(request.lane);
    lane->second.erase(Key {request.deadline - request.serviceTime, request.deadline, request.id});
    if (lane->second.empty()) {
        queue.lanes.erase(lane);
    }
    --queue.size;
    if (--m_countByService[request.service] == 0) {
        m_countByService.erase(request.service);
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

auto AdmissionQueue::countAhead(const LaneName &lane, Priority priority) const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[queued, classQueue] : m_classes) {
        if (queued > priority) {
            break;
        }
        for (const auto &[service, queue] : classQueue.services) {
            const auto found = queue.lanes.find(lane);
            count += found == queue.lanes.end() ? 0 : found->second.size();
        }
    }
    return count;
}

auto AdmissionQueue::startRate(const LaneName &lane, TimePoint now) const -> double
{
    const auto found = m_starts.find(lane);
    if (found == m_starts.end() || found->second.size() < MinStartsForRate) {
        return 0;
    }
    const auto span = std::max((now - found->second.front()).inSeconds(), 1e-3);
    return static_cast<double>(found->second.size()) / span;
}

} // namespace KingCup
