// The configuration in an entry: commits operators' changes to the table, notices those of other entries, adopts only higher revisions.
//
// Index of sections (search for [SECTION]):
//   Hooks   what the rest of the entry is notified of
//   Task    ConfigTask
#pragma once

#include "core/declarations.h"
#include "net/eventloop.h"
#include "operator/operatorapi.h"
#include "platform/objectclient.h"
#include "platform/tableaccess.h"

#include <functional>
#include <memory>
#include <string>

namespace KingCup
{

// [SECTION] Hooks

struct ConfigHooks {
    /// A revision is in force here from now on. `text` is the set as it travels to peers.
    std::function<void(Revision revision, const Declarations &declarations, const std::string &text)> onAdopted;
};

struct ConfigSettings {
    std::string entry; ///< part of write ids
    Duration pollPeriod = Duration::seconds(1); ///< between looks at the table's head row
    Duration commitTimeout = Duration::seconds(5); ///< after which an operator gets "unknown"
    std::size_t inlineLimit = 32768; ///< bytes; larger sets go to the object store, and their log row refers to them
};

// [SECTION] Task

class ConfigTask
{
public:
    /// `objects` must outlive the task; without it every set goes into its log row.
    ConfigTask(EventLoop &loop, TableAccess table, ConfigSettings settings, ConfigHooks hooks, ObjectClient *objects = nullptr);
    ~ConfigTask();

    // Queries
    auto revision() const -> Revision; ///< in force here
    auto declarations() const -> const Declarations &;
    auto text() const -> const std::string &;
    auto isStoreReachable() const -> bool; ///< the last poll was answered

    // Commands
    /// Answers once: accepted only after the table has committed it.
    auto apply(const DeclarationsChange &change, std::function<void(const ChangeAnswer &)> answer) -> void;
    /// A snapshot that a peer has in force: how a process that starts while the store is down gets its configuration.
    auto offer(Revision revision, const std::string &text) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
