// Keeps an entry's configuration: commits operators' changes to the table, polls for changes that other entries have committed, and adopts
// only higher revisions.
//
// Index of sections (search for [SECTION]):
//   Hooks   notifications to the rest of the entry, settings
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
    /// A revision has come into force in this entry. `text` is the serialised set, as it is sent to peers.
    std::function<void(Revision revision, const Declarations &declarations, const std::string &text)> onAdopted;
};

struct ConfigSettings {
    std::string entry; ///< part of write ids
    Duration pollPeriod = Duration::seconds(1); ///< between reads of the table's head row
    Duration commitTimeout = Duration::seconds(5); ///< after which an operator gets the outcome "unknown"
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
    auto revision() const -> Revision; ///< in force in this entry
    auto declarations() const -> const Declarations &;
    auto text() const -> const std::string &;
    auto isStoreReachable() const -> bool; ///< the last poll was answered

    // Commands
    /// Commits a change. Calls `answer` once, with Accepted only after the table has committed it.
    auto apply(const DeclarationsChange &change, std::function<void(const ChangeAnswer &)> answer) -> void;
    /// Adopts a snapshot that a peer has in force, if its revision is higher. An entry that starts while the store is down gets its
    /// configuration this way.
    auto offer(Revision revision, const std::string &text) -> void;

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
