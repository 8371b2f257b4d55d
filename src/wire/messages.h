// Makes the generated messages of proto/kingcup/wire.proto available as KingCup::Wire.
#pragma once

#include "kingcup/wire.pb.h"

namespace KingCup
{

namespace Wire = ::kingcup::wire;

} // namespace KingCup
