// Errors as values: Boost.Outcome's result with our error type.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace KingCup
{

/// What kind of failure it was; the caller's next step depends on it alone.
enum class ErrorCode {
    InvalidInput, ///< the request itself is wrong; the same request fails again
    NotFound, ///< no such row, object, model or service
    Conflict, ///< a compare-and-set met another version
    Unavailable, ///< no answer was expected to have any effect (refused, not connected): certainly not done
    Unknown, ///< sent, but no answer: it may or may not have been done
    Overloaded, ///< refused for load; try later
};

/// An error with its kind and a short sentence.
struct Error {
    ErrorCode code = ErrorCode::Unknown;
    std::string message;
};

template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

auto toString(ErrorCode code) -> const char *;

} // namespace KingCup
