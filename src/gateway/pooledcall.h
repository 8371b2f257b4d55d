// Calls of a gateway's own, to the store and to runners: a text that the deployment's adapter has made, and an answer that is kept whole.
#pragma once

#include "gateway/protocol.h"
#include "net/httppool.h"

#include <memory>
#include <string>

namespace KingCup
{

/// An answer as far as it has come.
struct CollectedAnswer {
    int status = 0;
    std::string body;
};

/// The call, but for its onEnd; its answer is gathered in `into`.
auto collectingCall(const Endpoint &server, EncodedCall text, const std::shared_ptr<CollectedAnswer> &into) -> PooledCall;

} // namespace KingCup
