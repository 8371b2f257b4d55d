// A fault-injecting TCP proxy: each link listens on a port and forwards to a target, and can be cut, frozen, delayed or made lossy.
//
// "Up" is from whoever connected to the target, "down" is back. Faults hold until heal. A connection whose bytes were lost is reset when its link
// passes data again.
#pragma once

#include "answers.h"
#include "core/endpoint.h"
#include "simclock.h"

#include <map>
#include <memory>
#include <string>

namespace KingCup
{

/// What a link does to its connections.
struct LinkFault {
    bool cut = false; ///< open connections are ended, new ones too, at once
    bool frozen = false; ///< connections stay up, nothing passes
    bool loseUp = false; ///< bytes towards the target vanish
    bool loseDown = false; ///< bytes from the target vanish
    int dropAnswers = 0; ///< so many times, what the target sends next is swallowed and its connection cut
    Duration delay; ///< of each piece of data, each way
    double bytesPerSecond = 0; ///< each way and connection; 0: no limit
};

class Link
{
public:
    /// Listens at once; port 0 lets the system choose.
    Link(SimClock &clock, std::string name, int listenPort, Endpoint target);
    ~Link();
    Link(const Link &) = delete;
    auto operator=(const Link &) -> Link & = delete;

    auto port() const -> int;
    auto connections() const -> std::size_t;
    auto answersDropped() const -> std::uint64_t;
    auto setFault(const LinkFault &fault) -> void;
    auto fault() const -> const LinkFault &;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

/// The links of this process, by name, and their commands.
class Proxy
{
public:
    explicit Proxy(SimClock &clock);

    /// Adds a link, or replaces the one of that name. Returns its port.
    auto add(const std::string &name, int listenPort, const Endpoint &target) -> int;
    /// {"name":N,"mode":"cut"|"freeze"|"delay"|"lose-up"|"lose-down"|"drip"|"drop-answer"|"heal","ms":N,"bytesPerSecond":N,"count":N}.
    /// Modes add up until "heal". An empty name means every link. False if the mode or link is unknown.
    auto command(const Json &command) -> bool;
    auto ports() const -> Json;

private:
    SimClock &m_clock;
    std::map<std::string, std::unique_ptr<Link>> m_links;
};

} // namespace KingCup
