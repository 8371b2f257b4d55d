// The generated messages of proto/kingcup/wire.proto, under this project's namespace.
#pragma once

#include "kingcup/wire.pb.h"

namespace KingCup
{

namespace Wire = ::kingcup::wire;

} // namespace KingCup
