#include "core/result.h"

namespace KingCup
{

auto toString(ErrorCode code) -> const char *
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid-input";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::Overloaded:
        return "overloaded";
    }
    return "unknown";
}

} // namespace KingCup
