// Names of things, each its own type, so that a runner's name can't be passed where a model's is meant.
//
// Index of sections (search for [SECTION]):
//   StrongName   the wrapper
//   Names        what is named, and by whom
//   Numbers      counters that order things: revisions, fences, row versions
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

/// A name of one kind of thing. Equal and ordered by its text; empty means "none".
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

/// A counter of one kind. 0 means "none yet".
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
using ArtifactName = StrongName<struct ArtifactNameTag>; ///< what can be resident: a model version or an adapter
using TargetId = StrongName<struct TargetIdTag>; ///< a back end: a runner (on an accelerator) or a plain service's instance
using EntryId = StrongName<struct EntryIdTag>; ///< an entry process
using ZoneName = StrongName<struct ZoneNameTag>; ///< an availability zone, e.g. "round-rock"
using RequestId = StrongName<struct RequestIdTag>; ///< one caller request; given by the entry, unique
using RequestKey = StrongName<struct RequestKeyTag>; ///< the caller's Idempotency-Key
using AttemptId = StrongName<struct AttemptIdTag>; ///< one try of a request at one target
using ChangeId = StrongName<struct ChangeIdTag>; ///< one operator's change, chosen by the operator's tool
using OrderId = StrongName<struct OrderIdTag>; ///< one order to an engine
using WriteId = StrongName<struct WriteIdTag>; ///< one transaction on the table, the same when it is sent again

// [SECTION] Numbers

using Revision = StrongNumber<struct RevisionTag>; ///< of the declared configuration; only ever rises
using Fence = StrongNumber<struct FenceTag>; ///< fencing number of orders; engines that check it refuse lower ones
using RowVersion = StrongNumber<struct RowVersionTag>; ///< of a table row; 0 means the row is absent
using SendId = StrongNumber<struct SendIdTag>; ///< one sending of one request, counted by the process that sent it

} // namespace KingCup

template<typename Tag>
struct std::hash<KingCup::StrongName<Tag>> {
    auto operator()(const KingCup::StrongName<Tag> &name) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(name.text());
    }
};
