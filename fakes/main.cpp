// kingcup-fakes: prints one line, "ready " and its ports as JSON, once everything listens; ends on SIGTERM or SIGINT.
#include "fakes.h"

#include <glog/logging.h>
#include <iostream>

auto main(int argc, char **argv) -> int
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const auto settings = KingCup::fakesSettingsFrom(argc, argv);
    if (!settings) {
        return 1;
    }
    try {
        KingCup::EventLoop loop;
        KingCup::Fakes fakes(loop, *settings);
        KingCup::onSignals(loop, [&loop] { loop.stop(); });
        std::cout << "ready " << fakes.ports().dump() << std::endl;
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << "kingcup-fakes: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
