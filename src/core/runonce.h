// Runs requests at most once: a durable claim of the request's idempotency key is written before the request is forwarded. No I/O: events in, actions out.
//
// Each agent has one RunOnce. The claim is a row of the platform's table, which is written on the condition that the key has no row yet or that its row is an
// unchanged release of an earlier claim. The request is forwarded only after this write has succeeded. An agent never forwards a request whose key is claimed
// by another attempt, so two agents can't both run it, even if one of them was paused after its claim or the duplicate arrived through another entry. After the
// run the answer is written to the same row, and duplicates are answered from it.
//
// A write whose answer was lost may still take effect later, even if a read finds no row. So the agent doesn't rely on a read but repeats the write with
// the same attempt id and on the same condition. If the repeated write takes effect, the earlier one no longer meets the condition. If the row exists, its
// attempt id tells whose claim it is. Until one of the two is known, the request is not forwarded, and at its deadline the caller gets "unknown".
//
// The answer "not run" applies to one send: the send was never forwarded and this agent won't forward it. It says nothing about other sends of the key.
//
// Index of sections (search for [SECTION]):
//   Keys       keys of claims and of their rows
//   Rows       contents of a claim's row
//   Requests   one send of a caller's request, and how its run ended
//   Actions    what the owner has to do
//   Settings   limits of writes, records and keys
//   RunOnce    the state machine
//   Clean-up   deletion of rows after their retention
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

/// The prefix of the keys of all claim rows.
constexpr auto ClaimRowPrefix = "claim/";
auto claimRowKey(const ClaimKey &key) -> std::string;

// [SECTION] Rows

enum class ClaimState {
    Claimed, ///< may be about to run, be running, or have run
    Done, ///< has run; its answer may be kept
    Released, ///< not run by this attempt; may be claimed again
};

/// The answer of a run, which duplicates get too.
struct RunRecord {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers; ///< names in lower case
    std::string body;
    bool isWhole = true; ///< false: the request ran, but its answer was too large to keep

    auto operator==(const RunRecord &) const -> bool = default;
};

struct ClaimRow {
    AttemptId attempt;
    ClaimState state = ClaimState::Claimed;
    std::int64_t keepUntilMs = 0; ///< milliseconds since 1970 by the wall clock; the row may be deleted after it
    std::optional<RunRecord> record; ///< Done only
};

auto serializeClaimRow(const ClaimRow &row) -> std::string;
auto parseClaimRow(const std::string &value) -> std::optional<ClaimRow>;

// [SECTION] Requests

using BatchId = CommitQueue::BatchId; ///< identifies one transaction
using ReadId = StrongNumber<struct ReadIdTag>; ///< identifies one read of rows

struct RunOnceSend {
    SendId send;
    ClaimKey key;
    TimePoint deadline; ///< a send that still waits is answered then
    std::int64_t keepUntilMs = 0; ///< see ClaimRow
};

enum class RunOutcome {
    Answered, ///< the whole answer was received
    NotRun, ///< nothing reached the target
    Unknown, ///< may have run
};

// [SECTION] Actions

/// Send the request to the target now, answer its caller, and report the end with runEnded().
struct ForwardSend {
    SendId send;
    AttemptId attempt; ///< attempt id of the claim
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
    double writesPerSecond = 100; ///< initial share of the platform's write budget; adapts between minWritesPerSecond and maxWritesPerSecond
    double minWritesPerSecond = 2;
    double maxWritesPerSecond = 300;
    std::size_t batchesInFlight = 4;
    Duration retryDelay = Duration::millis(50); ///< delay after a refused or lost write, and after a failed read
    Duration pollPeriod = Duration::millis(200); ///< time between reads of a row that another agent has claimed
    std::size_t maxRecordBytes = 16U << 10U; ///< size limit of an answer's headers and body together; a larger answer isn't kept
    std::size_t maxRemembered = 2048; ///< maximum number of ended keys whose result is kept in memory
    std::size_t maxOpenKeys = 4096; ///< limit of openKeys(); a send of a further key is answered "not run"
};

// [SECTION] RunOnce

class RunOnce
{
public:
    /// `claimant`: prefix of the attempt ids; must be unique over all processes and restarts.
    RunOnce(RunOnceSettings settings, std::string claimant);
    ~RunOnce();

    // Queries

    auto openKeys() const -> std::size_t; ///< keys whose claim, run, record or release has not ended
    auto pendingWrites() const -> std::size_t; ///< writes that are not in a transaction
    auto writesPerSecond() const -> double; ///< the adapted rate
    auto nextWake() const -> std::optional<TimePoint>; ///< when tick() must be called if no event arrives earlier

    // Events

    /// A send of a request arrived.
    auto submit(const RunOnceSend &send, TimePoint now) -> RunOnceActions;
    /// The caller left. A send that was forwarded isn't cancelled: report its end with runEnded().
    auto cancel(SendId send, TimePoint now) -> RunOnceActions;
    auto transactDone(BatchId batch, const TransactResult &result, TimePoint now) -> RunOnceActions;
    /// `rows`: the requested rows that exist; std::nullopt if the read failed.
    auto readDone(ReadId read, const std::optional<std::vector<TableRow>> &rows, TimePoint now) -> RunOnceActions;
    /// `record`: used with Answered only.
    auto runEnded(SendId send, RunOutcome end, const RunRecord &record, TimePoint now) -> RunOnceActions;
    auto tick(TimePoint now) -> RunOnceActions;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

// [SECTION] Clean-up

/// Delete operations for those rows of one scan page whose retention is over, at most MaxTransactionOps. Each expects the row's version, so that a row that
/// has changed meanwhile isn't deleted. The difference of `wallNowMs` from the writers' clocks must be much smaller than any retention.
auto planClaimCleanup(const std::vector<TableRow> &rows, std::int64_t wallNowMs) -> std::vector<TableOp>;

} // namespace KingCup
