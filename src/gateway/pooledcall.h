// Calls that a gateway makes itself, to the store and to runners: the platform adapter has encoded the request, and the answer is collected whole.
#pragma once

#include "gateway/protocol.h"
#include "net/httppool.h"

#include <cstddef>
#include <memory>
#include <string>

namespace KingCup
{

/// Status and body received so far.
struct CollectedAnswer {
    int status = 0;
    HttpHead head;
    std::string body;
};

inline constexpr std::size_t MaxCollectedBody = 16U << 20U; ///< the store's largest answers, with space for their encoding

/// Builds a call that collects its answer in `into`; a body of more than `maxBody` bytes ends it as Broken. The caller sets onEnd.
auto collectingCall(const Endpoint &server, EncodedCall text, const std::shared_ptr<CollectedAnswer> &into, std::size_t maxBody = MaxCollectedBody)
    -> PooledCall;

} // namespace KingCup
