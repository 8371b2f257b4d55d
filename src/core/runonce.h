// Requests that must run at most once: a durable claim per key before the request is forwarded. Pure: events in, actions out.
//
// Each agent has one RunOnce. A request's key gets a row in the platform's table, written only if absent, and only then is the request
// forwarded. Nobody ever runs a key that another has claimed, so it doesn't matter when a paused claimant wakes or which entry a
// duplicate comes through. After the run the answer goes into the same row, and duplicates are answered from it.
//
// A write whose answer was lost may take effect later: reading "absent" would not prove that it never will. So the same claim, with the
// same attempt id, is written again, if absent. Either that write takes effect, and the first can't any more, or the row is there, and
// its attempt id says whose it is. Until one of the two is known the request is not run, and its caller gets "unknown".
//
// "Not run" speaks of the send it answers: it was never forwarded, and this agent won't forward it.
//
// Index of sections (search for [SECTION]):
//   Keys       of claims
//   Rows       what a claim's row holds
//   Requests   one send of a caller's request
//   Actions    what the owner has to do
//   Settings   of group commit and memory
//   RunOnce    the state machine
//   Clean-up   of rows that were kept long enough
#pragma once

#include "core/commitqueue.h"
#include "core/ids.h"
#include "core/table.h"
#include "core/units.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace KingCup
{

// [SECTION] Keys

struct ClaimKey {
    ServiceName service;
    RequestKey key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// All claim rows' keys begin with this.
constexpr auto ClaimRowPrefix = "claim/";
auto claimRowKey(const ClaimKey &key) -> std::string;

// [SECTION] Rows

enum class ClaimState {
    Claimed, ///< may run, may be running, may have run
    Done, ///< has run; its answer may be kept
    Released, ///< certainly not run by this attempt; may be claimed again
};

/// The answer of a run, as duplicates get it.
struct RunRecord {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers; ///< names in lower case
    std::string body;
    bool isWhole = true; ///< false: ran, but the answer was too large to keep

    auto operator==(const RunRecord &) const -> bool = default;
};

struct ClaimRow {
    AttemptId attempt;
    ClaimState state = ClaimState::Claimed;
    std::int64_t keepUntilMs = 0; ///< wall clock, milliseconds since 1970; may be deleted after
    std::optional<RunRecord> record; ///< Done only
};

auto serializeClaimRow(const ClaimRow &row) -> std::string;
auto parseClaimRow(const std::string &value) -> std::optional<ClaimRow>;

// [SECTION] Requests

using BatchId = CommitQueue::BatchId; ///< one transaction
using ReadId = StrongNumber<struct ReadIdTag>; ///< one read of rows

struct RunOnceSend {
    SendId send;
    ClaimKey key;
    TimePoint deadline; ///< answered by then, one way or another
    std::int64_t keepUntilMs = 0; ///< see ClaimRow
};

enum class RunOutcome {
    Answered, ///< whole answer received
    NotRun, ///< certainly nothing reached the target
    Unknown, ///< may have run
};

// [SECTION] Actions

/// Send the request to the target now, and report the end with runEnded(). Its caller is answered by the owner.
struct ForwardSend {
    SendId send;
    AttemptId attempt; ///< of the claim
};
struct AnswerFromRecord {
    SendId send;
    RunRecord record;
};
struct AnswerNotRun {
    SendId send;
    std::string code; ///< "store-unavailable", "overloaded" or "deadline"
};
struct AnswerUnknown {
    SendId send;
    std::string code; ///< "claim-unresolved", "claimed-elsewhere", "running", "run-lost" or "record-too-large"
};
/// Write these rows in one transaction; report with transactDone().
struct WriteClaims {
    BatchId batch;
    std::vector<TableOp> ops;
};
/// Read these rows; report with readDone().
struct ReadClaims {
    ReadId read;
    std::vector<std::string> keys;
};
using RunOnceAction = std::variant<ForwardSend, AnswerFromRecord, AnswerNotRun, AnswerUnknown, WriteClaims, ReadClaims>;
using RunOnceActions = std::vector<RunOnceAction>;

// [SECTION] Settings

struct RunOnceSettings {
    double writesPerSecond = 100; ///< this agent's share of the platform's budget, to start with; adapts between the next two
    double minWritesPerSecond = 2;
    double maxWritesPerSecond = 300;
    std::size_t batchesInFlight = 4;
    Duration retryDelay = Duration::millis(50); ///< after a refused or lost write, and after a failed read
    Duration pollPeriod = Duration::millis(200); ///< of a row that another agent has claimed
    std::size_t maxRecordBytes = 16U << 10U; ///< of one answer's headers and body
    std::size_t maxRemembered = 2048; ///< keys kept in memory after their end
    std::size_t maxOpenKeys = 4096; ///< keys not ended; more are refused as not run
};

// [SECTION] RunOnce

class RunOnce
{
public:
    /// `claimant` is unique over all processes and restarts: attempt ids begin with it.
    RunOnce(RunOnceSettings settings, std::string claimant);
    ~RunOnce();

    // Queries

    auto openKeys() const -> std::size_t; ///< claims, runs and releases under way
    auto pendingWrites() const -> std::size_t; ///< not yet in a transaction
    auto writesPerSecond() const -> double; ///< as adapted
    auto nextWake() const -> std::optional<TimePoint>; ///< when tick() has something to do, if no event comes before

    // Events

    auto submit(const RunOnceSend &send, TimePoint now) -> RunOnceActions;
    /// The caller left. A send that was forwarded stays: report its end with runEnded().
    auto cancel(SendId send, TimePoint now) -> RunOnceActions;
    auto transactDone(BatchId batch, const TransactResult &result, TimePoint now) -> RunOnceActions;
    /// `rows`: those that exist; none at all if the read failed.
    auto readDone(ReadId read, const std::optional<std::vector<TableRow>> &rows, TimePoint now) -> RunOnceActions;
    /// `record`: with Answered only.
    auto runEnded(SendId send, RunOutcome end, const RunRecord &record, TimePoint now) -> RunOnceActions;
    auto tick(TimePoint now) -> RunOnceActions;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

// [SECTION] Clean-up

/// Deletes, at most MaxTransactionOps of them, for rows of one scan page that were kept long enough. Each expects the row's version, so a
/// row that changed meanwhile stays. `wallNowMs` may be off from the writers' clocks by far less than any retention.
auto planClaimCleanup(const std::vector<TableRow> &rows, std::int64_t wallNowMs) -> std::vector<TableOp>;

} // namespace KingCup
