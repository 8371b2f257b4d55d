// The configuration log: commits an operator's change as the next revision, or reports why the change wasn't committed. No I/O: a state machine that
// takes the store's results and returns the next request.
//
// Rows: `config/head` holds the revision in force, `config/log/<revision>` each accepted change, and `config/change/<change id>` the revision that
// a change became. One transaction writes all three rows. Its conditions are that the head still has the version that was read and that the other two rows
// are absent, so that only one of several concurrent operators succeeds. If the answer to a transaction is lost, the same transaction is sent again. Either
// the second one commits, or it conflicts. A conflict proves that the first one has taken effect or can no longer take effect; the row of the change id
// tells which.
//
// Index of sections (search for [SECTION]):
//   Rows       keys and values
//   Commit     ConfigCommit, the state machine of one change
//   Adoption   which revisions a process puts in force
#pragma once

#include "core/ids.h"
#include "core/table.h"
#include "core/units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace KingCup
{

// [SECTION] Rows

constexpr auto ConfigHeadKey = "config/head";
constexpr auto ConfigLogPrefix = "config/log/";
constexpr auto ConfigChangePrefix = "config/change/";

auto configLogKey(Revision revision) -> std::string; ///< zero-padded, so that a scan returns the rows in order of revision
auto configChangeKey(const ChangeId &change) -> std::string;

struct ConfigHead {
    Revision revision;
    ChangeId change;
    std::string digest; ///< digest of the declarations; an equal digest means an unchanged set

    auto operator==(const ConfigHead &) const -> bool = default;
};

/// One row of the log.
struct ConfigLogEntry {
    Revision revision;
    ChangeId change;
    std::string author;
    std::string declarations; ///< the whole set as text, or a reference to the object that holds it; not interpreted here
};

auto serializeConfigHead(const ConfigHead &head) -> std::string;
auto parseConfigHead(const std::string &value) -> std::optional<ConfigHead>;
auto serializeConfigLogEntry(const ConfigLogEntry &entry) -> std::string;
auto parseConfigLogEntry(const std::string &value) -> std::optional<ConfigLogEntry>;
/// The revision that a `config/change/` row holds.
auto parseConfigChangeRevision(const std::string &value) -> std::optional<Revision>;

// [SECTION] Commit

struct ConfigProposal {
    ChangeId change; ///< chosen by the operator's tool; repeating a proposal with the same id is always safe
    Revision expected; ///< the revision that the set was based on; 0 if there was none yet
    std::string author;
    std::string declarations; ///< see ConfigLogEntry
    std::string digest; ///< see ConfigHead
};

enum class CommitOutcome {
    Accepted, ///< the change is `revision`, committed now or by an earlier proposal with the same change id
    Unchanged, ///< the set in force, `revision`, is the same as the proposed one
    Conflict, ///< another change was committed first and `revision` is in force; this change isn't a revision and won't become one
    Unavailable, ///< no effect: the store could not be reached or the head's row is invalid. An earlier proposal that got Unknown stays unknown
    Unknown, ///< the change may be in force, or come into force later; propose again with the same change id
};
auto toString(CommitOutcome outcome) -> const char *;

struct CommitDecision {
    CommitOutcome outcome = CommitOutcome::Unknown;
    Revision revision;
};

/// Asks the owner to read the head's row and the change's row.
struct ReadConfig {
    std::vector<std::string> keys;
};
/// Asks the owner to send this transaction.
struct WriteConfig {
    std::vector<TableOp> ops;
};
/// Asks the owner to call resume() at this time.
struct WaitUntil {
    TimePoint until;
};
using ConfigStep = std::variant<ReadConfig, WriteConfig, WaitUntil, CommitDecision>;

/// Usage: perform each returned step and report its result with readDone(), writeDone() or resume(), until a step is a CommitDecision.
class ConfigCommit
{
public:
    /// No retry is started at or after `deadline`; the outcome is then Unknown or Unavailable.
    ConfigCommit(ConfigProposal proposal, TimePoint deadline);

    auto begin() -> ConfigStep;
    /// `rows`: the rows of the keys that exist; empty optional if the read failed.
    auto readDone(const std::optional<std::vector<TableRow>> &rows, TimePoint now) -> ConfigStep;
    auto writeDone(const TransactResult &result, TimePoint now) -> ConfigStep;
    auto resume(TimePoint now) -> ConfigStep;

private:
    auto read() const -> ConfigStep;
    auto write(const ConfigHead &head, RowVersion headVersion) -> ConfigStep;
    auto retryLater(TimePoint now) const -> ConfigStep;
    auto giveUp() const -> ConfigStep;

    ConfigProposal m_proposal;
    TimePoint m_deadline;
    std::vector<TableOp> m_ops; ///< the last transaction sent
    bool m_resend = false; ///< an answer to that transaction was lost; it is sent again
    bool m_uncertain = false; ///< an answer was lost; without a decision from a later read, the outcome is Unknown
};

// [SECTION] Adoption

/// A process puts a revision in force only if it is higher than its own, so that a lagging peer's answer can't revert it.
auto mayAdopt(Revision inForce, Revision offered) -> bool;

} // namespace KingCup
