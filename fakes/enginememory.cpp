#include "enginememory.h"

#include <algorithm>

namespace KingCup
{

EngineMemory::EngineMemory(std::int64_t total, std::int64_t kvReserve)
    : m_total(total)
    , m_kvReserve(kvReserve)
{
}

auto EngineMemory::beginLoad(const std::string &order, const std::string &artifact, const std::string &base, std::int64_t bytes) -> void
{
    m_loading[order] = Charge {artifact, base, bytes};
    m_highWater = std::max(m_highWater, used());
}

auto EngineMemory::finishLoad(const std::string &order) -> void
{
    const auto load = m_loading.find(order);
    if (load == m_loading.end()) {
        return;
    }
    m_resident[load->second.artifact] = load->second;
    m_loading.erase(load);
}

auto EngineMemory::unload(const std::string &artifact) -> void
{
    m_resident.erase(artifact);
}

auto EngineMemory::clear() -> void
{
    m_resident.clear();
    m_loading.clear();
}

auto EngineMemory::isResident(const std::string &artifact) const -> bool
{
    return m_resident.count(artifact) != 0;
}

auto EngineMemory::residentAdapters(const std::string &base) const -> std::vector<std::string>
{
    std::vector<std::string> adapters;
    for (const auto &[artifact, charge] : m_resident) {
        if (!base.empty() && charge.base == base) {
            adapters.push_back(artifact);
        }
    }
    return adapters;
}

auto EngineMemory::total() const -> std::int64_t
{
    return m_total;
}

auto EngineMemory::used() const -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &[artifact, charge] : m_resident) {
        sum += charge.bytes;
    }
    for (const auto &[order, load] : m_loading) {
        sum += load.bytes;
    }
    return sum;
}

auto EngineMemory::kvCapacity() const -> std::int64_t
{
    return std::max<std::int64_t>(0, m_total - used());
}

auto EngineMemory::isOvercommitted() const -> bool
{
    return used() + m_kvReserve > m_total;
}

auto EngineMemory::highWater() const -> std::int64_t
{
    return m_highWater;
}

auto EngineMemory::residentJson() const -> Json
{
    auto list = Json::array();
    for (const auto &[artifact, charge] : m_resident) {
        list.push_back({{"artifact", artifact}, {"bytes", charge.bytes}});
    }
    return list;
}

auto EngineMemory::loadingJson() const -> Json
{
    auto list = Json::array();
    for (const auto &[order, load] : m_loading) {
        list.push_back({{"artifact", load.artifact}, {"bytes", load.bytes}, {"order", order}});
    }
    return list;
}

} // namespace KingCup
