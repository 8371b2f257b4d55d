// The protocol of the deployment that a gateway runs in: how requests, answers, the store's rows and orders to runners are encoded.
//
// The deployment's adapter provides the functions. They only translate between its formats and the types here; all decisions are made by the gateway.
//
// Index of sections (search for [SECTION]):
//   Requests   metadata of requests, from clients and to targets
//   Answers    metadata of targets' answers
//   Store      reads, watches and conditional changes
//   Orders     load and unload orders to runners
//   Protocol   all functions that an adapter provides
#pragma once

#include "core/accounts.h"
#include "core/finding.h"
#include "core/ids.h"
#include "core/promptcache.h"
#include "core/storetable.h"
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

/// What a client's request says in its headers.
struct RequestTraits {
    AttemptId attempt; ///< the client's id of this attempt; empty: not given
    std::optional<Duration> timeBudget; ///< how long the client waits, counted from when it sent the request; nothing: not given, or malformed
    bool isTimeBudgetMalformed = false;
    std::string model; ///< empty: the request needs no model
    std::string adapter; ///< adapter of that model; empty: none
    int promptTokens = 0;
    int maxOutputTokens = 0;
    std::vector<PromptPart> promptParts; ///< in the prompt's order; the last belongs to this request or its session alone
    std::string lastEventId; ///< the stream is to resume after this event; empty: from its start
    AttemptId resumes; ///< the client's attempt that brought the first event of the stream that is to resume; empty: not given
    std::optional<std::string> authorization; ///< the header with the client's key; an empty text: the header occurs more than once
};

/// What the gateway sets in the request to the target.
struct ForwardTraits {
    Duration timeBudget; ///< what is left of the client's time budget
    TargetId target; ///< any other target at that address must refuse the request
    std::optional<int> urgency; ///< 0 to 9; 0 is the most urgent
    std::string lastEventId; ///< replaces the event id in the client's headers; empty: these stay as they are
    bool hasAccounts = false; ///< accounts are in use: headers with a key or an account name from the client aren't forwarded
    AccountName account; ///< the account that the request is charged to; empty: none
};

// [SECTION] Answers

/// What a target's answer says in its status and headers.
struct AnswerTraits {
    AttemptId attempt; ///< the attempt id that the target returned; empty: not given
    bool isSigned = false; ///< has the target's signature
    bool isNotRun = false; ///< the target says that it did not run the request and never will
    bool isMisdirected = false; ///< another target has this address, or the target lacks the model or adapter that the request needs
    bool isEncoded = false; ///< the body has a content encoding, although a plain one was requested
    TargetId target; ///< the target that answered; empty: not given
    bool isLeaving = false; ///< the target takes no new requests, whatever its row says
    std::optional<double> requestLimit; ///< requests a second that the target accepts from all gateways together; nothing: no limit, or malformed
    bool isRequestLimitMalformed = false;
    std::optional<Duration>
        retryAfter; ///< a target that rejects a request asks this gateway to send it nothing for this long; nothing: it doesn't, or malformed
    bool isRetryAfterMalformed = false;
};

// [SECTION] Store

/// A conditional change of one row: applied only if the row still has the expected version (0: only if the row doesn't exist).
struct StoreChange {
    std::string key;
    std::optional<RowVersion> expected; ///< nothing: any version
    std::optional<std::string> value; ///< nothing: the row is removed
};

/// An HTTP request to the store or a runner, ready to be sent.
struct EncodedCall {
    std::string method;
    std::string target; ///< path and query
    HttpHeaders headers;
    std::string body;
};

/// A range of keys, in ascending order of their bytes.
struct KeyRange {
    std::string from; ///< the first key; empty: from the table's first row on
    std::string to; ///< the first key that isn't part of it; empty: up to the table's last row
};

struct StoreFormat {
    std::function<EncodedCall(StoreTable table, const KeyRange &keys)> readCall;
    std::function<EncodedCall(StoreTable table, RowVersion after, Duration wait)> watchCall;
    std::function<EncodedCall(StoreTable table, const std::vector<StoreChange> &changes)> changeCall;
    std::function<std::optional<StorePage>(const std::string &body)> decodePage; ///< nothing: unreadable
    std::function<std::optional<RowVersion>(const std::string &body)> decodeChangeVersion; ///< the new version of the written rows
    std::string trafficKey; ///< key of the row in StoreTable::Declarations that declares routes, services and accounts (core/traffic.h)
};

// [SECTION] Orders

struct OrderRequest {
    bool isLoad = true; ///< else an unload
    std::string model;
    std::string adapter; ///< empty: the model itself
    std::uint64_t expectedOrders = 0; ///< order count: number of orders accepted before this one; a runner whose count differs refuses the order
    std::string holder; ///< the lease holder that gives the order
    Fence fence; ///< fencing token of the holder's lease
    TargetId target; ///< any other target at that address must refuse the order
};

enum class OrderVerdict {
    Started, ///< accepted, in progress
    Done, ///< accepted and done, or the runner held the artifact already
    Busy, ///< another order is in progress, or the order count differs
    Fenced, ///< a newer lease holder has given orders
    Elsewhere, ///< another target has this address
    Invalid, ///< the order isn't valid for this runner
    Unclear, ///< any other answer, or none: the order may still take effect
};
auto toString(OrderVerdict verdict) -> const char *;

// [SECTION] Protocol

struct Protocol {
    std::function<RequestTraits(const HttpHead &head)> readRequest;
    /// Removes headers that the gateway sets itself or that a client must not set, and adds those for the target.
    std::function<void(HttpHeaders &headers, const ForwardTraits &traits)> rewriteRequest;
    std::function<AnswerTraits(const HttpHead &head)> readAnswer;
    /// Headers of an answer that the gateway itself gives. `retryAfter`: when the client may try again.
    std::function<HttpHeaders(const AttemptId &attempt, std::optional<Duration> retryAfter)> ownAnswerHeaders;

    std::function<Checked<Traffic>(const std::string &document)> decodeTraffic;
    /// Nothing: the row describes no usable target.
    std::function<std::optional<TargetDescription>(const std::string &key, const std::string &document)> decodeTarget;

    EncodedCall reportCall; ///< requests a runner's report
    /// Requests the health of a target at its service's health path; any other target at that address must refuse.
    std::function<EncodedCall(const std::string &path, const TargetId &target)> healthCall;
    std::function<std::optional<RunnerReport>(const std::string &body)> decodeReport;
    std::function<EncodedCall(const OrderRequest &order)> orderCall;
    std::function<OrderVerdict(int status)> readOrderAnswer;

    StoreFormat store;
};

} // namespace KingCup
