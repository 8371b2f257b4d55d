// Prefix cache of the fake engine: blocks of prompt text with LRU eviction. Its events are delayed, and some are dropped.
//
// A prompt is split into blocks of BlockChars characters; the hash of a block covers the artifact and all text up to the block's end, so that
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

/// Characters that count as one token in all fakes.
constexpr std::size_t CharsPerToken = 4;
/// Characters in a cached block: 64 tokens.
constexpr std::size_t BlockChars = 64 * CharsPerToken;

/// The hashes of a prompt's complete blocks, shortest prefix first.
auto prefixHashes(const std::string &artifact, const std::string &prompt) -> std::vector<std::string>;

struct CacheEventSettings {
    Duration minDelay = Duration::millis(500);
    Duration maxDelay = Duration::seconds(2);
    double dropRate = 0.02; ///< share of events that are never published
};

class PrefixCache
{
public:
    PrefixCache(SimClock &clock, CacheEventSettings settings);

    /// Returns how many leading blocks are cached, and marks them as recently used.
    auto touch(const std::vector<std::string> &hashes) -> std::size_t;
    auto store(const std::vector<std::string> &hashes) -> void;
    /// Evicts the least recently used blocks until at most `blocks` are left.
    auto shrinkTo(std::size_t blocks) -> void;
    auto size() const -> std::size_t;
    auto contains(const std::string &hash) const -> bool;
    auto clear() -> void;
    /// Visible events with a sequence number above `after`.
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
