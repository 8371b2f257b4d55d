// Fake object store: whole objects with etags, conditional writes and injected faults.
#pragma once

#include "faultgate.h"

#include <map>
#include <string>

namespace KingCup
{

class ObjectStore
{
public:
    ObjectStore(SimClock &clock, int port, Duration latency);

    auto port() const -> int;
    auto faults() -> FaultGate &;
    auto truth() const -> Json;

private:
    struct Object {
        std::string etag;
        std::string data;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto put(const std::string &key, const ExchangePtr &exchange) -> void;

    Duration m_latency;
    FaultGate m_faults;
    std::map<std::string, Object> m_objects;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    HttpServer m_server;
};

} // namespace KingCup
