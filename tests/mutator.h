// Mutates text for fuzz tests: deletes, duplicates and overwrites bytes, and adds entries of a dictionary. The same seed gives the same mutations.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace KingCup
{

struct MutatorOptions {
    std::size_t maxEdits = 8; ///< per call of mutate(); at least one is made
    std::size_t maxPieceLength = 40; ///< bytes that one edit deletes or duplicates
    std::vector<std::string> dictionary; ///< inputs that parsers often handle wrongly
    bool replacesValues = false; ///< a dictionary entry replaces the value of a JSON field, so that the parser is likely to reach it; otherwise it is inserted
};

class Mutator
{
public:
    Mutator(std::uint32_t seed, const MutatorOptions &options)
        : m_options(options)
        , m_random(seed)
    {
    }

    auto mutate(std::string text) -> std::string
    {
        const auto edits = 1 + below(m_options.maxEdits);
        for (std::size_t edit = 0; edit < edits && !text.empty(); ++edit) {
            editOnce(text);
        }
        return text;
    }

private:
    auto below(std::size_t limit) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }

    auto editOnce(std::string &text) -> void
    {
        const auto at = below(text.size());
        const auto length = 1 + below(std::min(text.size() - at, m_options.maxPieceLength));
        switch (below(4)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(below(text.size()), text.substr(at, length));
            break;
        case 2:
            applyDictionary(text, at);
            break;
        default:
            text[at] = static_cast<char>(below(256));
        }
    }

    auto applyDictionary(std::string &text, std::size_t at) -> void
    {
        if (!m_options.replacesValues) {
            text.insert(at, m_options.dictionary[below(m_options.dictionary.size())]);
            return;
        }
        const auto colon = text.find(':', at);
        if (colon != std::string::npos) {
            const auto end = std::min(text.find_first_of(",}]", colon), text.size());
            text.replace(colon + 1, end - colon - 1, m_options.dictionary[below(m_options.dictionary.size())]);
        }
    }

    const MutatorOptions &m_options; ///< must outlive the mutator
    std::mt19937 m_random;
};

} // namespace KingCup
