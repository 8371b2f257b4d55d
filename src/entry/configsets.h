// Where the text of a set of declarations is kept: in its log row if it is small, otherwise as an object that the row refers to.
//
// An object's key is made from its contents, so that writing it again, after a lost answer or by another entry, changes nothing. An object
// without a row is left behind when a change loses a race; it does no harm.
#pragma once

#include "core/result.h"
#include "platform/objectclient.h"

#include <functional>
#include <string>

namespace KingCup
{

class ConfigSets
{
public:
    using Done = std::function<void(const Result<std::string> &text)>;

    /// `objects` may be null: every set goes into its row then. Texts up to `inlineLimit` bytes always do.
    ConfigSets(ObjectClient *objects, std::size_t inlineLimit);

    /// Answers with what the log row holds. After an error nothing refers to the set.
    auto store(const std::string &text, const Done &done) const -> void;
    /// Answers with the text that a log row stands for. Errors: those of the store, and InvalidInput for an object with other contents.
    auto fetch(const std::string &row, const Done &done) const -> void;

private:
    ObjectClient *m_objects;
    std::size_t m_inlineLimit;
};

} // namespace KingCup
