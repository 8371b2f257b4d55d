// Declarations as canonical JSON: the same set gives the same bytes in every process. Used for table rows, snapshots and
// the messages that carry a revision between processes.
//
// Source locations are left out, so that the same set read from other files gives the same text.
#pragma once

#include "core/declarations.h"
#include "core/result.h"

#include <string>

namespace KingCup
{

auto declarationsToJson(const Declarations &declarations) -> std::string;

/// Returns InvalidInput if the text isn't JSON of this shape. Unknown fields, as a newer version may add, are ignored. A missing part (services, ...,
/// policy) is an error; missing fields within a part get their defaults.
auto declarationsFromJson(const std::string &text) -> Result<Declarations>;

/// Whether both sets declare the same things, regardless of the files they were read from.
auto isSameSet(const Declarations &a, const Declarations &b) -> bool;

/// One difference between two sets.
struct DeclarationChange {
    enum class Kind { Added, Changed, Removed };
    Kind kind = Kind::Added;
    std::string what; ///< "service advisory", "model sun", "artifact sun@1", "target runner-1" or "policy"
};

/// What changes from one set to the other, in a fixed order.
auto differences(const Declarations &from, const Declarations &to) -> std::vector<DeclarationChange>;

} // namespace KingCup
