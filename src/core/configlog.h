// The configuration log: one operator's change becomes the next revision, or gets the reason why not. Pure: results in, requests out.
//
// Rows: `config/head` holds the revision in force, `config/log/<revision>` each accepted change, `config/change/<change id>` the revision
// that a change became. One transaction writes all three, expecting the head's version and the other two absent, so of racing
// operators one wins. Whether a change whose answer was lost took effect is known from its change id, never guessed: the same transaction
// is sent again, and either commits, or its conflict proves that the first one took effect or never will.
//
// Index of sections (search for [SECTION]):
//   Rows       keys and values
//   Commit     ConfigCommit, the state machine of one change
//   Adoption   what a process puts in force
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

auto configLogKey(Revision revision) -> std::string; ///< zero-padded, so that a scan gives them in order
auto configChangeKey(const ChangeId &change) -> std::string;

struct ConfigHead {
    Revision revision;
    ChangeId change;
    std::string digest; ///< of the declarations, to tell an unchanged set

    auto operator==(const ConfigHead &) const -> bool = default;
};

/// One row of the log.
struct ConfigLogEntry {
    Revision revision;
    ChangeId change;
    std::string author;
    std::string declarations; ///< the whole set as text, or a reference to the object that holds it; opaque here
};

auto serializeConfigHead(const ConfigHead &head) -> std::string;
auto parseConfigHead(const std::string &value) -> std::optional<ConfigHead>;
auto serializeConfigLogEntry(const ConfigLogEntry &entry) -> std::string;
auto parseConfigLogEntry(const std::string &value) -> std::optional<ConfigLogEntry>;
/// The revision that a `config/change/` row holds.
auto parseConfigChange(const std::string &value) -> std::optional<Revision>;

// [SECTION] Commit

struct ConfigProposal {
    ChangeId change; ///< chosen by the operator's tool; asking again with it is always safe
    Revision expected; ///< the revision that the set was made against; 0 for none yet
    std::string author;
    std::string declarations; ///< see ConfigLogEntry
    std::string digest; ///< see ConfigHead
};

enum class CommitOutcome {
    Accepted, ///< is, or became, `revision`
    Unchanged, ///< the set in force, `revision`, is the same
    Conflict, ///< another change came first; `revision` is in force. This change has not and will not become one
    Unavailable, ///< the store could not be asked; certainly not done by this ask. An earlier ask that got Unknown stays unknown
    Unknown, ///< may be in force, or come into force; ask again with the same change id
};
auto toString(CommitOutcome outcome) -> const char *;

struct CommitDecision {
    CommitOutcome outcome = CommitOutcome::Unknown;
    Revision revision;
};

/// Read the head's row and the change's row.
struct ReadConfig {
    std::vector<std::string> keys;
};
struct WriteConfig {
    std::vector<TableOp> ops;
};
/// Nothing now: call resume() at this time.
struct WaitUntil {
    TimePoint until;
};
using ConfigStep = std::variant<ReadConfig, WriteConfig, WaitUntil, CommitDecision>;

/// Usage: perform what the last step says and report it with the matching event, until a step is a CommitDecision.
class ConfigCommit
{
public:
    /// By `deadline` it decides.
    ConfigCommit(ConfigProposal proposal, TimePoint deadline);

    auto begin() -> ConfigStep;
    /// `rows`: those of the keys that exist; none at all if the read failed.
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
    std::vector<TableOp> m_ops; ///< of the transaction sent last
    bool m_resend = false; ///< the last answer to it was lost; to be sent again
    bool m_uncertain = false; ///< some answer was lost, and no read has shown its outcome since
};

// [SECTION] Adoption

/// A process puts a revision in force only if it is higher than the one it has: answers of lagging peers never take it back.
auto mayAdopt(Revision inForce, Revision offered) -> bool;

} // namespace KingCup
