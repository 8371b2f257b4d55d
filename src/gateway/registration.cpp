#include "gateway/registration.h"

#include "net/json.h"

#include <algorithm>
#include <map>

namespace KingCup
{

namespace
{

constexpr double MaxProcessors = 1024; ///< a row that names more is read as this many
constexpr auto WriteRetryDelay = Duration::millis(500); ///< the row is written again if the watch hasn't shown it this long after the last write

auto encodeRow(const RegistrationSettings &settings) -> std::string
{
    return dumpJson({{"peers", toString(settings.peerEndpoint)}, {"zone", settings.zone.text()}, {"processor", settings.processorShare}});
}

} // namespace

struct Registration::Private {
    EventLoop &loop;
    StoreClient &store;
    EventLog &log;
    RegistrationSettings settings;
    RegistrationHooks hooks;
    std::map<std::string, ListedHost> hosts;
    Timer retryTimer;
    bool isWriting = false;

    Private(EventLoop &ownerLoop, StoreClient &storeClient, EventLog &eventLog, RegistrationSettings self, RegistrationHooks registrationHooks)
        : loop(ownerLoop)
        , store(storeClient)
        , log(eventLog)
        , settings(std::move(self))
        , hooks(std::move(registrationHooks))
    {
    }
    auto applyRow(const StoredRow &row) -> void;
    auto publish() -> void;
    auto ensureOwnRow() -> void;
};

auto Registration::Private::applyRow(const StoredRow &row) -> void
{
    if (row.isRemoved) {
        hosts.erase(row.key);
        return;
    }
    const auto parsed = parseJson(row.value);
    const auto endpoint = endpointFromString(textOf(member(parsed, "peers")));
    if (endpoint.port == 0) {
        log.line("peers", "row-unreadable").add("peer", row.key);
        hosts.erase(row.key);
        return;
    }
    ListedHost host;
    host.id = row.key;
    host.role = HostRole::Entry;
    host.zone = ZoneName(textOf(member(parsed, "zone")));
    host.endpoint = endpoint;
    host.processorShare = std::clamp(numberOf(member(parsed, "processor"), host.processorShare), 0.0, MaxProcessors);
    hosts[row.key] = host;
}

auto Registration::Private::publish() -> void
{
    std::vector<ListedHost> list;
    for (const auto &[id, host] : hosts) {
        list.push_back(host);
    }
    hooks.onGatewaysChanged(list);
    ensureOwnRow();
}

/// Writes this gateway's row if it is missing or has another address: a replaced host may come back under the same id.
auto Registration::Private::ensureOwnRow() -> void
{
    const auto own = hosts.find(settings.id);
    if (isWriting || (own != hosts.end() && own->second.endpoint == settings.peerEndpoint)) {
        return;
    }
    isWriting = true;
    store.change(StoreTable::Gateways, {{settings.id, std::nullopt, encodeRow(settings)}}, [this](const StoreAnswer &answer) {
        log.line("peers", "registered").add("end", toString(answer.outcome));
        // A successful write appears in the watched table. If it hasn't appeared after this delay, the row is written again.
        retryTimer = loop.after(WriteRetryDelay, [this] {
            isWriting = false;
            ensureOwnRow();
        });
    });
}

Registration::Registration(EventLoop &loop, StoreClient &store, EventLog &log, RegistrationSettings settings, RegistrationHooks hooks)
    : d(std::make_unique<Private>(loop, store, log, std::move(settings), std::move(hooks)))
{
}

Registration::~Registration() = default;

auto Registration::applyRows(const std::vector<StoredRow> &rows) -> void
{
    for (const auto &row : rows) {
        d->applyRow(row);
    }
    d->publish();
}

} // namespace KingCup
