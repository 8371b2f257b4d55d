// Errors as values: Boost.Outcome's result with our error type.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace KingCup
{

/// The kind of a failure, which alone decides how the caller proceeds.
enum class ErrorCode {
    InvalidInput, ///< the request itself is wrong and would fail again
    NotFound, ///< no such row, object, model or service
    Conflict, ///< a compare-and-set found another version
    Unavailable, ///< refused or not connected: certainly not done
    Unknown, ///< sent, but there was no answer: it may or may not have been done
    Overloaded, ///< refused because of load; try again later
};

/// An error: its kind and a short message.
struct Error {
    ErrorCode code = ErrorCode::Unknown;
    std::string message;
};

template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

auto toString(ErrorCode code) -> const char *;

} // namespace KingCup
