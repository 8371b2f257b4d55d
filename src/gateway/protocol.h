// What an entry that reaches targets directly has to know of the deployment it runs in: how its requests, answers, rows and orders are
// spelled. A deployment's adapter fills in the hooks; they translate and decide nothing.
//
// Index of sections (search for [SECTION]):
//   Requests   what a request says beside its route
//   Answers    what an answer says beside its status
//   Store      rows that last, changed under conditions and watched
//   Orders     to a runner's engine
//   Protocol   all of it
#pragma once

#include "core/accounts.h"
#include "core/finding.h"
#include "core/ids.h"
#include "core/promptcache.h"
#include "core/rowmirror.h"
#include "core/targetinfo.h"
#include "core/traffic.h"
#include "core/units.h"
#include "net/httpreader.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Requests

struct RequestTraits {
    AttemptId attempt; ///< the client's id of this try; empty: none given
    std::optional<Duration> timeBudget; ///< how long the client waits, from its sending; nothing: not said, or not readable
    bool isTimeBudgetMalformed = false;
    std::string model; ///< empty: the request needs none
    std::string adapter; ///< of that model; empty: none
    int promptTokens = 0;
    int maxOutputTokens = 0;
    std::vector<PromptPart> promptParts; ///< in the prompt's order; the last is the request's or its session's own
    std::string lastEventId; ///< a stream that is to go on after this event; empty: from its start
    std::optional<std::string> authorization; ///< how the request presents its key; empty: in more than one way
};

/// What the entry adds for the target.
struct ForwardTraits {
    Duration timeBudget; ///< what is left of it
    TargetId target; ///< any other target at that address must refuse
    std::optional<int> urgency; ///< 0 to 9, 0 first
    std::string lastEventId; ///< replaces the client's; empty: none
    bool hasAccounts = false; ///< keys, and the account's name, are between the client and this entry
    AccountName account; ///< on whose behalf the request runs; empty: nobody's
};

// [SECTION] Answers

struct AnswerTraits {
    AttemptId attempt; ///< the id that the target read; empty: none given
    bool isSigned = false; ///< bears the target's signature
    bool isNotRun = false; ///< the target says that it did not run the request and never will
    bool isMisdirected = false; ///< another target than the one meant has this address, or it lacks what the request needs
    bool isEncoded = false; ///< the body isn't the plain one that was asked for
    TargetId target; ///< who answered, where that is said
};

// [SECTION] Store

struct StorePage {
    std::vector<StoredRow> rows;
    bool hasMore = false; ///< only for reads: rows behind the last one
    RowVersion upTo; ///< the store's newest version as of this answer
};

/// One row to be changed, if it still has the version that is expected (0: if there is none).
struct StoreChange {
    std::string key;
    std::optional<RowVersion> expected; ///< nothing: whatever it is
    std::optional<std::string> value; ///< nothing: the row is removed
};

/// A call to the store or a runner, ready to be sent.
struct EncodedCall {
    std::string method;
    std::string target; ///< path and query
    HttpHeaders headers;
    std::string body;
};

/// The tables of the store that matter to an entry.
enum class StoreTable {
    Declarations, ///< the operators' documents; read only
    Targets, ///< one row for each target; read only
    Gateways, ///< our own: one row for each entry
    Leases, ///< our own; not watched: only who wants a lease looks at it
};

struct StoreFormat {
    std::function<EncodedCall(StoreTable table, const std::string &from)> readCall; ///< rows with keys from `from` on
    std::function<EncodedCall(StoreTable table, RowVersion after, Duration wait)> watchCall;
    std::function<EncodedCall(StoreTable table, const std::vector<StoreChange> &changes)> changeCall;
    std::function<std::optional<StorePage>(const std::string &body)> decodePage; ///< nothing: unreadable
    std::function<std::optional<RowVersion>(const std::string &body)> decodeChangeVersion; ///< the version that the written rows have
    std::string trafficKey; ///< the row of StoreTable::Operators that holds the traffic
};

// [SECTION] Orders

struct OrderRequest {
    bool isLoad = true; ///< else an unload
    std::string model;
    std::string adapter; ///< empty: the model itself
    std::uint64_t expectedOrders = 0; ///< the runner refuses if it has taken another number of orders
    std::string holder; ///< who gives it
    Fence fence; ///< of the holder's lease
    TargetId target; ///< any other target at that address must refuse
};

enum class OrderVerdict {
    Started, ///< accepted, under way
    Done, ///< accepted and done, or it held already
    Busy, ///< another order is under way, or the number of orders differs
    Fenced, ///< a newer holder has given orders
    Elsewhere, ///< another target has this address
    Invalid, ///< the order makes no sense there
    Unclear, ///< any other answer
};
auto toString(OrderVerdict verdict) -> const char *;

// [SECTION] Protocol

struct Protocol {
    std::function<RequestTraits(const HttpHead &head)> readRequest;
    /// Takes out what the system sets itself or a client must not set, and adds what the target is to know.
    std::function<void(HttpHeaders &headers, const ForwardTraits &traits)> rewriteRequest;
    std::function<AnswerTraits(const HttpHead &head)> readAnswer;
    /// Headers of an answer of the entry's own: `retryAfter` says when the client may come back.
    std::function<HttpHeaders(const AttemptId &attempt, std::optional<Duration> retryAfter)> ownAnswerHeaders;

    std::function<Checked<Traffic>(const std::string &document)> decodeTraffic;
    /// Nothing: the row names no target to use.
    std::function<std::optional<TargetDescription>(const std::string &key, const std::string &document)> decodeTarget;

    EncodedCall reportCall; ///< asks a runner for its report
    std::function<std::optional<RunnerReport>(const std::string &body)> decodeReport;
    std::function<EncodedCall(const OrderRequest &order)> orderCall;
    std::function<OrderVerdict(int status)> readOrderAnswer;

    StoreFormat store;
};

} // namespace KingCup
