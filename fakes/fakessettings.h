// Settings of kingcup-fakes: one set of keys for the command line (--engine.count 4) and the INI file ([engine] count = 4).
#pragma once

#include "engine.h"
#include "hostlist.h"
#include "plainservice.h"
#include "platformsite.h"
#include "tablestore.h"
#include "weightstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

struct ServiceGroup {
    std::string name;
    int count = 0;
};

struct FakesSettings {
    int basePort = 0; ///< 0: the operating system chooses every port
    double timeScale = 1.0; ///< how many times faster than real time
    std::uint64_t seed = 1;
    int engineCount = 0;
    std::string enginePrefix = "runner-"; ///< ids are PREFIX1, PREFIX2, ...
    std::string fencing = "checked"; ///< "checked", "ignored" or "alternate": every second engine ignores fencing numbers
    EngineSettings engine; ///< of each engine, except id, port and fencing
    std::vector<ServiceGroup> services;
    ServiceSettings service;
    WeightSettings weights;
    TableSettings table;
    Duration objectLatency = Duration::millis(5);
    Duration hostLag = Duration::seconds(2);
    std::vector<Host> hosts;
    PlatformSiteSettings platform; ///< the fake platform; without runners and instances it has only its store
    std::vector<std::string> links; ///< NAME,LISTEN-PORT,TARGET
};

/// Reads the command line and the INI file that it names. Empty after --help or an error, both of which it prints.
auto fakesSettingsFrom(int argc, const char *const *argv) -> std::optional<FakesSettings>;

} // namespace KingCup
