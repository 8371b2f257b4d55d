#include "core/versionregister.h"

#include <algorithm>

namespace KingCup
{

VersionRegister::VersionRegister(VersionRegisterOptions options)
    : m_options(options)
{
}

auto VersionRegister::mayBegin(const ServiceName &service, const SoftwareVersion &version) const -> bool
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.named.contains(version) && !found->second.unconfirmed.contains(version);
}

auto VersionRegister::isMixed(const ServiceName &service) const -> bool
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return false;
    }
    auto all = found->second.named;
    all.insert(found->second.present.begin(), found->second.present.end());
    return all.size() > 1;
}

auto VersionRegister::versions(const ServiceName &service) const -> VersionSet
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? VersionSet() : found->second.named;
}

auto VersionRegister::rowVersion(const ServiceName &service) const -> RowVersion
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? RowVersion() : found->second.row;
}

auto VersionRegister::updateAbsences(Service &service, TimePoint now) -> void
{
    std::erase_if(service.absentSince, [&](const auto &absent) { return service.present.contains(absent.first) || !service.named.contains(absent.first); });
    for (const auto &version : service.named) {
        if (!service.present.contains(version)) {
            service.absentSince.try_emplace(version, now);
        }
    }
}

auto VersionRegister::setPresent(const ServiceName &service, const VersionSet &present, TimePoint now) -> void
{
    auto &state = m_services[service];
    for (const auto &version : present) {
        if (!state.present.contains(version)) {
            state.unconfirmed.insert(version);
        }
    }
    state.present = present;
    std::erase_if(state.unconfirmed, [&](const auto &version) { return !present.contains(version); });
    updateAbsences(state, now);
}

auto VersionRegister::setRemoves(bool removes) -> void
{
    m_removes = removes;
}

auto VersionRegister::next(TimePoint now) -> std::optional<VersionCall>
{
    for (auto &[name, service] : m_services) {
        if (service.call || now < service.notBefore) {
            continue;
        }
        if (!service.isRead || !service.unconfirmed.empty()) {
            const bool isMissing = service.isRead && !std::includes(service.named.begin(), service.named.end(), service.present.begin(), service.present.end());
            if (!isMissing) {
                service.call = VersionCall {name, std::nullopt, RowVersion()};
                return service.call;
            }
        }
        auto wanted = service.named;
        wanted.insert(service.present.begin(), service.present.end());
        if (m_removes) {
            for (const auto &[version, since] : service.absentSince) {
                if (now - since > m_options.memory) {
                    wanted.erase(version);
                }
            }
        }
        // A row without any version would tell nothing.
        if (wanted != service.named && !wanted.empty()) {
            service.call = VersionCall {name, wanted, service.row};
            return service.call;
        }
    }
    return std::nullopt;
}

auto VersionRegister::adopt(Service &service, RowVersion version, const VersionSet &versions) -> void
{
    service.isRead = true;
    service.row = version;
    service.named = versions;
    std::erase_if(service.unconfirmed, [&](const auto &present) { return versions.contains(present); });
}

auto VersionRegister::readDone(const ServiceName &service, const std::optional<std::pair<RowVersion, VersionSet>> &row, TimePoint now) -> void
{
    auto &state = m_services[service];
    state.call.reset();
    if (!row) {
        state.notBefore = now + m_options.retryPeriod;
        return;
    }
    adopt(state, row->first, row->second);
    updateAbsences(state, now);
}

auto VersionRegister::writeDone(const ServiceName &service, StoreOutcome outcome, RowVersion version, TimePoint now) -> void
{
    auto &state = m_services[service];
    const auto call = std::exchange(state.call, std::nullopt);
    if (outcome != StoreOutcome::Done || !call || !call->write) {
        // Another gateway has changed the row, or the write may still take effect: only a read tells.
        state.isRead = false;
        state.notBefore = outcome == StoreOutcome::Conflict ? now : now + m_options.retryPeriod;
        return;
    }
    if (version > state.row) {
        adopt(state, version, *call->write);
    }
    updateAbsences(state, now);
}

auto VersionRegister::rowSeen(const ServiceName &service, RowVersion version, const VersionSet &versions) -> void
{
    auto &state = m_services[service];
    if (version > state.row) {
        adopt(state, version, versions);
    }
}

} // namespace KingCup
