#include "wire/suspectsmessage.h"

namespace KingCup
{

auto toMessage(const SuspectDigest &digest) -> Wire::Suspects
{
    Wire::Suspects message;
    for (const auto &suspicion : digest.suspected) {
        auto *added = message.add_suspected();
        added->set_fingerprint(suspicion.fingerprint);
        added->mutable_crashes()->Assign(suspicion.crashes.begin(), suspicion.crashes.end());
    }
    message.mutable_quarantined()->Assign(digest.quarantined.begin(), digest.quarantined.end());
    return message;
}

auto fromMessage(const Wire::Suspects &message) -> SuspectDigest
{
    SuspectDigest digest;
    for (const auto &one : message.suspected()) {
        digest.suspected.push_back(Suspicion {one.fingerprint(), {one.crashes().begin(), one.crashes().end()}});
    }
    digest.quarantined.assign(message.quarantined().begin(), message.quarantined().end());
    return digest;
}

} // namespace KingCup
