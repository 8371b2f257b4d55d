// Names and counters, each kind with its own type, so that for example a runner's name can't be passed where a model's name is expected.
//
// Index of sections (search for [SECTION]):
//   StrongName   the wrappers for names and numbers
//   Names        ids and names of services, targets, requests, ...
//   Numbers      counters that order things: revisions, fencing numbers, row versions
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace KingCup
{

// [SECTION] StrongName

/// A strongly typed name: each tag gives a distinct type. Compared and ordered by its text; empty means "none".
template<typename Tag>
class StrongName
{
public:
    StrongName() = default;
    explicit StrongName(std::string text)
        : m_text(std::move(text))
    {
    }

    auto text() const -> const std::string &
    {
        return m_text;
    }
    auto isEmpty() const -> bool
    {
        return m_text.empty();
    }
    auto operator<=>(const StrongName &) const = default;

private:
    std::string m_text;
};

template<typename Tag>
auto operator<<(std::ostream &out, const StrongName<Tag> &name) -> std::ostream &
{
    return out << name.text();
}

/// A strongly typed counter: each tag gives a distinct type. 0 means "none yet".
template<typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr auto value() const -> std::uint64_t
    {
        return m_value;
    }
    constexpr auto next() const -> StrongNumber
    {
        return StrongNumber(m_value + 1);
    }
    constexpr auto operator<=>(const StrongNumber &) const = default;

private:
    std::uint64_t m_value = 0;
};

template<typename Tag>
auto operator<<(std::ostream &out, const StrongNumber<Tag> &number) -> std::ostream &
{
    return out << number.value();
}

// [SECTION] Names

using ServiceName = StrongName<struct ServiceNameTag>; ///< a declared service, e.g. "advisory"
using ArtifactName = StrongName<struct ArtifactNameTag>; ///< a model version or an adapter: what can be resident on a target
using TargetId = StrongName<struct TargetIdTag>; ///< a back end: a runner (on an accelerator) or a plain service's instance
using EntryId = StrongName<struct EntryIdTag>; ///< an entry or gateway process
using SoftwareVersion = StrongName<struct SoftwareVersionTag>; ///< of the software that a target runs, not of a model's weights; empty: not stated
using ZoneName = StrongName<struct ZoneNameTag>; ///< an availability zone, e.g. "round-rock"
using RequestId = StrongName<struct RequestIdTag>; ///< one request of a caller; unique, assigned by the entry process
using RequestKey = StrongName<struct RequestKeyTag>; ///< the caller's Idempotency-Key
using AttemptId = StrongName<struct AttemptIdTag>; ///< one attempt to run a request on one target
using ChangeId = StrongName<struct ChangeIdTag>; ///< one operator's change, chosen by the operator's tool
using OrderId = StrongName<struct OrderIdTag>; ///< one order to an engine
using WriteId = StrongName<struct WriteIdTag>; ///< one transaction on the table; a resend keeps the id

// [SECTION] Numbers

using Revision = StrongNumber<struct RevisionTag>; ///< revision of the declared configuration; only ever rises
using Fence = StrongNumber<struct FenceTag>; ///< fencing number of orders; an engine that checks fences refuses an order whose fence is below its own
using RowVersion = StrongNumber<struct RowVersionTag>; ///< version of a table row; 0 means that the row is absent
using SendId = StrongNumber<struct SendIdTag>; ///< one send of one request, numbered by the sending process

} // namespace KingCup

template<typename Tag>
struct std::hash<KingCup::StrongName<Tag>> {
    auto operator()(const KingCup::StrongName<Tag> &name) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(name.text());
    }
};
