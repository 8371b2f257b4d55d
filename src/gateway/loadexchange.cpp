// Index of sections (search for [SECTION]):
//   State          members, the keeper, own reports
//   Reporting      reports to the keeper
//   Keeping        publishing and merging the cell's sum
//   LoadExchange   public interface
#include "gateway/loadexchange.h"

#include "core/orderlease.h"

namespace KingCup
{

// [SECTION] State

namespace
{

/// A gateway that hasn't reported for this long isn't chosen as a relay. Ten reporting periods.
constexpr auto RelayReportTimeout = Duration::millis(500);

/// Incarnations of gateways are named like holders of the order lease, "ID#INCARNATION".
auto gatewayIdOfIncarnation(const EntryId &incarnation) -> std::string
{
    return gatewayIdOf(HolderName(incarnation.text()));
}

} // namespace

struct LoadExchange::Private {
    LoadExchangeParts parts;
    LoadExchangeSettings settings;
    CellKeeper keeper;
    CellLoadSum sum;
    OwnReports ownReports;
    int others = 0; ///< number of registered gateways except this one
    EntryId lastKeeper; ///< incarnation of the keeper whose sum was last merged
    std::uint64_t lastSequence = 0; ///< sequence number of the last merged sum
    Timer timer;

    Private(LoadExchangeParts exchangeParts, LoadExchangeSettings exchangeSettings)
        : parts(exchangeParts)
        , settings(std::move(exchangeSettings))
        , keeper(settings.id)
        , sum(settings.self)
        , ownReports(settings.self)
    {
    }
    auto isDirect() const -> bool
    {
        return others <= settings.maxDirectPeers;
    }
    auto tick() -> void;
    auto report() -> void;
    auto publish() -> void;
    auto relays() const -> std::set<std::string>;
    auto mergeSum(const CellLoad &cell) -> void;
};

// [SECTION] Reporting

auto LoadExchange::Private::tick() -> void
{
    if (isDirect()) {
        return;
    }
    if (keeper.choose(parts.peers.live(), parts.loop.now())) {
        parts.log.line("load-view", "keeper-chosen").add("keeper", keeper.keeper());
    }
    report();
    publish();
}

auto LoadExchange::Private::report() -> void
{
    GatewayLoad load;
    load.work = parts.dispatcher.takeDigest(settings.self, parts.loop.now());
    load.prefill = parts.dispatcher.takeSentPrefill();
    ownReports.sent(load);
    if (keeper.keeper() == settings.id) {
        sum.merge(load, parts.loop.now());
        return;
    }
    parts.peers.send(keeper.keeper(), gatewayLoadFrame(load));
}

// [SECTION] Keeping

/// One gateway in each other zone, which forwards the sum within its zone. Only gateways that have reported within RelayReportTimeout are chosen.
auto LoadExchange::Private::relays() const -> std::set<std::string>
{
    std::set<std::string> reporting;
    for (const auto &start : sum.reportedWithin(RelayReportTimeout, parts.loop.now())) {
        reporting.insert(gatewayIdOfIncarnation(start));
    }
    return keeper.relays(reporting);
}

/// A gateway that receives reports publishes their sum even if it has chosen another keeper itself: for a while after a keeper is lost, gateways may choose
/// different ones.
auto LoadExchange::Private::publish() -> void
{
    const bool isKeeper = keeper.keeper() == settings.id;
    if (!isKeeper && !sum.hasOthers(parts.loop.now())) {
        return;
    }
    const auto cell = sum.take(parts.loop.now());
    auto frame = cellLoadFrame(cell);
    for (const auto &mate : keeper.zoneMates(parts.peers.live())) {
        parts.peers.send(mate, frame);
    }
    frame.mutable_cell_load()->set_relay(true);
    for (const auto &relay : relays()) {
        parts.peers.send(relay, frame);
    }
    parts.metrics.add("load_sums_published_total");
    if (isKeeper) {
        mergeSum(cell);
    }
}

auto LoadExchange::Private::mergeSum(const CellLoad &cell) -> void
{
    if (cell.keeper == lastKeeper && cell.sequence <= lastSequence) {
        return; // received through two relays
    }
    if (cell.keeper != lastKeeper) {
        parts.dispatcher.gatewayGone(lastKeeper);
        lastKeeper = cell.keeper;
    }
    lastSequence = cell.sequence;
    const auto rest = ownReports.withoutOwn(cell);
    parts.dispatcher.merge(rest.work, parts.loop.now());
    parts.dispatcher.merge(rest.prefill, parts.loop.now());
}

// [SECTION] LoadExchange

LoadExchange::LoadExchange(LoadExchangeParts parts, LoadExchangeSettings settings)
    : d(std::make_unique<Private>(parts, std::move(settings)))
{
    d->timer = d->parts.loop.every(d->settings.period, [this] { d->tick(); });
}

LoadExchange::~LoadExchange() = default;

auto LoadExchange::isDirect() const -> bool
{
    return d->isDirect();
}

auto LoadExchange::setMembers(const std::vector<CellMember> &members) -> void
{
    d->others = std::max(static_cast<int>(members.size()) - 1, 0);
    d->keeper.setMembers(members);
}

auto LoadExchange::reportNow() -> void
{
    if (!isDirect()) {
        d->report();
    }
}

auto LoadExchange::onReport(const Wire::GatewayLoad &message) -> void
{
    d->sum.merge(gatewayLoadOf(message, d->parts.names), d->parts.loop.now());
    d->parts.metrics.add("load_reports_received_total");
}

auto LoadExchange::onSum(const std::string &from, const Wire::CellLoad &message) -> void
{
    d->parts.metrics.add("load_sums_received_total");
    const auto cell = cellLoadOf(message, d->settings.self, d->parts.names);
    if (message.relay()) {
        Wire::ControlFrame frame;
        *frame.mutable_cell_load() = message;
        frame.mutable_cell_load()->set_relay(false);
        auto mates = d->keeper.zoneMates(d->parts.peers.live());
        mates.erase(from);
        for (const auto &mate : mates) {
            d->parts.peers.send(mate, frame);
        }
    }
    const auto keeper = gatewayIdOfIncarnation(cell.keeper);
    d->keeper.sumReceived(keeper, d->parts.loop.now());
    if (keeper == d->keeper.keeper() || d->isDirect()) {
        d->mergeSum(cell);
    }
}

} // namespace KingCup
