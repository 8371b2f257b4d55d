// The prefix cache of an engine stand-in: blocks of prompt text, least recently used first out, with late and incomplete events.
//
// A prompt is cut into blocks of BlockChars characters; the hash of a block covers the artifact and all text up to the block's end, so that
// equal hashes mean equal prefixes. The hash is XXH3_64bits of ARTIFACT + '\n' + the prompt's first k * BlockChars characters, in hex.
#pragma once

#include "answers.h"
#include "simclock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCup
{

/// Characters that count as one token, everywhere in the stand-ins.
constexpr std::size_t CharsPerToken = 4;
/// Characters in a cached block: 64 tokens.
constexpr std::size_t BlockChars = 64 * CharsPerToken;

/// The hashes of a prompt's whole blocks, shortest prefix first.
auto prefixHashes(const std::string &artifact, const std::string &prompt) -> std::vector<std::string>;

struct CacheEventSettings {
    Duration minDelay = Duration::millis(500);
    Duration maxDelay = Duration::seconds(2);
    double dropRate = 0.02;
};

class PrefixCache
{
public:
    PrefixCache(SimClock &clock, CacheEventSettings settings);

    /// How many leading blocks are cached; they count as used now.
    auto touch(const std::vector<std::string> &hashes) -> std::size_t;
    auto store(const std::vector<std::string> &hashes) -> void;
    /// Evicts until at most `blocks` are left.
    auto shrinkTo(std::size_t blocks) -> void;
    auto size() const -> std::size_t;
    auto contains(const std::string &hash) const -> bool;
    auto clear() -> void;
    /// Events that have become visible, with a sequence number above `after`.
    auto eventsAfter(std::uint64_t after) const -> Json;

private:
    struct Event {
        std::uint64_t sequence = 0;
        Duration visibleAt;
        bool stored = false;
        std::string hash;
    };
    auto publish(bool stored, const std::string &hash) -> void;

    SimClock &m_clock;
    CacheEventSettings m_settings;
    std::list<std::string> m_recent; // most recently used first
    std::unordered_map<std::string, std::list<std::string>::iterator> m_blocks;
    std::deque<Event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace KingCup
