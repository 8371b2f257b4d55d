// A fault-injecting TCP proxy: each link listens on a port and forwards to a target, and can be cut, frozen, delayed or made lossy.
//
// "Up" is the direction from the client to the target, "down" the opposite one. Faults stay until "heal". A connection whose bytes were lost is
// reset when its link passes data again.
#pragma once

#include "answers.h"
#include "core/endpoint.h"
#include "simclock.h"

#include <map>
#include <memory>
#include <string>

namespace KingCup
{

/// Faults that a link injects into its connections.
struct LinkFault {
    bool cut = false; ///< open and new connections are closed at once
    bool frozen = false; ///< connections stay up, nothing passes
    bool loseUp = false; ///< bytes towards the target are dropped
    bool loseDown = false; ///< bytes from the target are dropped
    int answerBytes = -1; ///< of each piece that the target sends, this many bytes are passed on, and the connection is closed; -1: no limit
    int dropAnswers = 0; ///< how many more times the target's next bytes are dropped and their connection is closed
    Duration delay; ///< of all data, in each direction
    double bytesPerSecond = 0; ///< of each connection in each direction; 0: no limit
};

class Link
{
public:
    /// Starts to listen; with port 0 the operating system chooses the port.
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

/// The links of this process by name; executes fault commands on them.
class Proxy
{
public:
    explicit Proxy(SimClock &clock);

    /// Adds a link, or replaces the link of that name. Returns its port.
    auto add(const std::string &name, int listenPort, const Endpoint &target) -> int;
    /// {"name":N,"mode":"cut"|"freeze"|"delay"|"lose-up"|"lose-down"|"drip"|"drop-answer"|"cut-answer"|"heal","ms":N,"bytesPerSecond":N,"count":N,"bytes":N}.
    /// Modes are combined until "heal". An empty name means every link. False if the mode or link is unknown.
    auto command(const Json &command) -> bool;
    auto ports() const -> Json;

private:
    SimClock &m_clock;
    std::map<std::string, std::unique_ptr<Link>> m_links;
};

} // namespace KingCup
