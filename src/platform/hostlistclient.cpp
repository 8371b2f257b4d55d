#include "platform/hostlistclient.h"

#include "net/httpstatus.h"
#include "net/json.h"

#include <algorithm>
#include <glog/logging.h>
#include <optional>
#include <random>

namespace KingCup
{

namespace
{

auto hostOf(const nlohmann::json &json) -> ListedHost
{
    ListedHost host;
    host.id = textOf(member(json, "id"));
    host.role = textOf(member(json, "role")) == "entry" ? HostRole::Entry : HostRole::Agent;
    host.zone = ZoneName(textOf(member(json, "zone")));
    host.endpoint = endpointFromString(textOf(member(json, "address")));
    host.leaving = textOf(member(json, "state")) == "leaving";
    return host;
}

/// None if the body isn't a host list; it must not be read as an empty one.
auto hostsOf(const std::string &body) -> std::optional<std::vector<ListedHost>>
{
    const auto members = splitJsonObject(body);
    const auto list = members ? splitJsonArray(findJsonMember(*members, "hosts")) : std::nullopt;
    if (!list) {
        return std::nullopt;
    }
    std::vector<ListedHost> hosts;
    for (const auto &entry : *list) {
        auto host = hostOf(parseJson(entry));
        if (host.id.empty() || host.endpoint.port == 0) {
            LOG(WARNING) << "platform: ignored a host without id or address id=" << host.id;
            continue;
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

auto isSame(const ListedHost &a, const ListedHost &b) -> bool
{
    return a.id == b.id && a.role == b.role && a.zone == b.zone && a.endpoint == b.endpoint && a.leaving == b.leaving;
}

} // namespace

struct HostListClient::Private {
    EventLoop &loop;
    HostListOptions options;
    ListHook onList;
    PlatformCaller caller;
    std::minstd_rand random {std::random_device {}()};
    std::vector<ListedHost> hosts;
    bool hasList = false;
    TimePoint answeredAt;
    Timer timer;

    Private(EventLoop &ownerLoop, HttpClient &client, HostListOptions listOptions, ListHook listHook)
        : loop(ownerLoop)
        , options(std::move(listOptions))
        , onList(std::move(listHook))
        , caller(ownerLoop, client, options.platform, "hosts")
        , answeredAt(ownerLoop.now())
    {
    }
    auto poll() -> void;
    auto onAnswer(const PlatformAnswer &answer) -> void;
    auto applyList(std::vector<ListedHost> list) -> void;
    auto schedule() -> void;
};

auto HostListClient::Private::poll() -> void
{
    HttpCall call;
    call.path = "/hosts";
    caller.call(std::move(call), [this](const PlatformAnswer &answer) { onAnswer(answer); });
}

auto HostListClient::Private::schedule() -> void
{
    constexpr double MaxJitter = 1.5;
    std::uniform_real_distribution<double> jitter(1.0, MaxJitter);
    timer = loop.after(options.period * jitter(random), [this] { poll(); });
}

auto HostListClient::Private::onAnswer(const PlatformAnswer &answer) -> void
{
    schedule();
    if (answer.outcome != PlatformOutcome::Answered || answer.status != HttpStatus::Ok) {
        return;
    }
    auto list = hostsOf(answer.body);
    if (!list) {
        LOG(WARNING) << "platform: malformed host list bytes=" << answer.body.size();
        return;
    }
    applyList(std::move(*list));
}

auto HostListClient::Private::applyList(std::vector<ListedHost> list) -> void
{
    if (!hasList || !std::equal(hosts.begin(), hosts.end(), list.begin(), list.end(), &isSame)) {
        LOG(INFO) << "platform: host list changed hosts=" << list.size() << " before=" << hosts.size();
    }
    hosts = std::move(list);
    hasList = true;
    answeredAt = loop.now();
    if (onList) {
        onList(hosts);
    }
}

HostListClient::HostListClient(EventLoop &loop, HttpClient &client, HostListOptions options, ListHook onList)
    : d(std::make_shared<Private>(loop, client, std::move(options), std::move(onList)))
{
    d->poll();
}

HostListClient::~HostListClient() = default;

auto HostListClient::hosts() const -> const std::vector<ListedHost> &
{
    return d->hosts;
}

auto HostListClient::hasList() const -> bool
{
    return d->hasList;
}

auto HostListClient::age() const -> Duration
{
    return d->loop.now() - d->answeredAt;
}

} // namespace KingCup
