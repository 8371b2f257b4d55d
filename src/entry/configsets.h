// Stores the text of a set of declarations: in its log row if it is small, otherwise as an object that the row refers to.
//
// An object's key is derived from its contents, so that writing it again, after a lost answer or by another entry, changes nothing. If a
// change loses a race, its object stays without a row that refers to it, which is harmless.
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

    /// If `objects` is null, every set goes into its row. Texts up to `inlineLimit` bytes always do.
    ConfigSets(ObjectClient *objects, std::size_t inlineLimit);

    /// Passes `done` the value for the log row: the text itself or a reference to the object. After an error nothing refers to the set.
    auto store(const std::string &text, const Done &done) const -> void;
    /// Passes `done` the text that the log row's value stands for. Errors: those of the store, and InvalidInput for an object with other contents.
    auto fetch(const std::string &row, const Done &done) const -> void;

private:
    ObjectClient *m_objects;
    std::size_t m_inlineLimit;
};

} // namespace KingCup
