// Accelerator memory of the fake engine: bytes charged for resident and loading artifacts.
//
// A load is charged from the moment the engine accepts it. Two concurrent loads of one artifact are two charges; a load of an artifact that is
// already resident is a second charge until it is done. Charged weights may use all memory except the KV-cache reserve; beyond, it is overcommitted.
#pragma once

#include "answers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace KingCup
{

class EngineMemory
{
public:
    /// `total` bytes, of which `kvReserve` are always reserved for the KV cache.
    EngineMemory(std::int64_t total, std::int64_t kvReserve);

    auto beginLoad(const std::string &order, const std::string &artifact, const std::string &base, std::int64_t bytes) -> void;
    auto finishLoad(const std::string &order) -> void;
    auto unload(const std::string &artifact) -> void;
    auto clear() -> void;

    auto isResident(const std::string &artifact) const -> bool;
    /// The resident adapters of this base; they are unloaded together with it.
    auto residentAdapters(const std::string &base) const -> std::vector<std::string>;
    auto total() const -> std::int64_t;
    auto used() const -> std::int64_t; ///< weights resident and loading
    auto kvCapacity() const -> std::int64_t; ///< free for the KV cache
    auto isOvercommitted() const -> bool;
    auto highWater() const -> std::int64_t; ///< highest value of used() so far
    auto residentJson() const -> Json;
    auto loadingJson() const -> Json;

private:
    struct Charge {
        std::string artifact;
        std::string base; ///< empty unless it is an adapter
        std::int64_t bytes = 0;
    };

    std::int64_t m_total;
    std::int64_t m_kvReserve;
    std::int64_t m_highWater = 0;
    std::map<std::string, Charge> m_resident; // by artifact
    std::map<std::string, Charge> m_loading; // by order id
};

} // namespace KingCup
