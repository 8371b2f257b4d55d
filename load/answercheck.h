// Checks a streamed answer of the fake engine: it must belong to its request, be in order, and have no missing or repeated tokens. The engine's
// tokens are "INDEX:HASH ", where the hash is of artifact, prompt and index (fakes/README.md).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace KingCup
{

class AnswerCheck
{
public:
    AnswerCheck() = default;
    AnswerCheck(const std::string &artifact, const std::string &prompt, int tokens);

    auto isWhole() const -> bool; ///< all tokens, then the end marker
    auto isWrong() const -> bool; ///< a token that isn't the next one of this answer, or an end marker too early
    auto problem() const -> const std::string &; ///< what was wrong, or the code of an error event

    /// Processes the next bytes of the stream. Returns the number of tokens in the events that they complete.
    auto feed(std::string_view data) -> int;

private:
    auto handleEvent(std::string_view event) -> int;
    auto expectedToken() const -> std::string;

    std::uint64_t m_seed = 0;
    int m_tokens = 0;
    int m_next = 0;
    bool m_ended = false;
    bool m_wrong = false;
    std::string m_problem;
    std::string m_partialEvent; ///< received bytes of an incomplete event
};

} // namespace KingCup
