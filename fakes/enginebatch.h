// Continuous batching of the fake engine: one step serves every running stream, and prefill prolongs the step and so delays decoding.
//
// A step lasts 12 ms + 0.25 ms per decoding stream, plus the prefill it carries at 9,000 tokens a second; each decoding stream gains one token.
// Streams wait in order of priority, then arrival, for one of 64 slots of the batch and for free KV-cache memory.
#pragma once

#include "prefixcache.h"
#include "simclock.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace KingCup
{

struct BatchSettings {
    Duration stepBase = Duration::millis(12);
    Duration stepPerStream = Duration::micros(250);
    int maxStreams = 64;
    double prefillTokensPerSecond = 9000;
    int prefillChunk = 128; ///< most prefill tokens that one step processes beside decoding
    std::int64_t kvBytesPerToken = 100000;
};

/// One completion being generated. The hooks are called from a step, except onCancelled, which remove() calls.
struct Stream {
    std::string requestId;
    std::string artifact;
    std::string prompt;
    int priority = 1;
    int outputTokens = 16; ///< total, including those before the offset of a resumed stream
    int produced = 0; ///< index of the next token; starts at the offset of a resumed stream
    std::int64_t prefillLeft = 0; ///< tokens
    std::int64_t kvTokens = 0; ///< KV-cache tokens reserved for prompt and output
    bool crashesEngine = false; ///< the prompt contains the marker that crashes the engine

    std::function<void(int index)> onToken;
    std::function<void()> onDone;
    std::function<void()> onCancelled; ///< cancelled by its request id
    std::function<void()> onCrash; ///< the prompt's crash marker takes effect
    std::function<bool()> isBackpressured; ///< the reader is slow: the stream gains no token in this step
};
using StreamPtr = std::shared_ptr<Stream>;

class EngineBatch
{
public:
    EngineBatch(SimClock &clock, BatchSettings settings, CacheEventSettings events);

    auto add(const StreamPtr &stream) -> void;
    auto remove(const std::string &requestId) -> bool;
    auto remove(const StreamPtr &stream) -> void;
    auto clear() -> void; ///< drops all streams without a call, and clears the cache
    auto setKvCapacity(std::int64_t bytes) -> void;
    auto setSlowdown(double factor) -> void;

    auto running() const -> std::size_t;
    auto waiting() const -> std::size_t;
    auto isRunning(const std::string &artifact) const -> bool;
    auto stepDuration() const -> Duration; ///< of the last step
    auto prefillQueue() const -> std::int64_t; ///< prompt tokens still to prefill, of running and waiting streams
    auto kvUsed() const -> std::int64_t; ///< bytes used by running streams and the prefix cache
    auto tokens() const -> std::uint64_t; ///< total generated
    auto prefilled() const -> std::uint64_t; ///< total prefill tokens, without cached ones
    auto cachedTokens() const -> std::uint64_t; ///< total prompt tokens found in the prefix cache
    auto cache() -> PrefixCache &;

private:
    auto admit() -> void;
    auto planStep() -> void;
    auto finishStep() -> void;
    auto prefill(std::int64_t budget) -> std::int64_t;
    auto kvOfStreams() const -> std::int64_t;

    SimClock &m_clock;
    BatchSettings m_settings;
    PrefixCache m_cache;
    std::list<StreamPtr> m_waiting; // by priority, then arrival
    std::list<StreamPtr> m_running;
    std::int64_t m_kvCapacity = 0;
    double m_slowdown = 1.0;
    Duration m_step;
    Timer m_stepTimer;
    bool m_stepping = false;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_prefilled = 0;
    std::uint64_t m_cachedTokens = 0;
};

} // namespace KingCup
