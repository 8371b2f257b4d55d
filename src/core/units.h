// Types for quantities of time and memory that carry their unit.
//
// Index of sections (search for [SECTION]):
//   Time     microseconds; a TimePoint is only meaningful within one process
//   Memory   bytes of accelerator memory
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace KingCup
{

// [SECTION] Time

/// A span of time in microseconds.
class Duration
{
public:
    constexpr Duration() = default;
    static constexpr auto micros(std::int64_t n) -> Duration
    {
        return Duration(n);
    }
    static constexpr auto millis(std::int64_t n) -> Duration
    {
        return Duration(n * 1000);
    }
    static constexpr auto seconds(double n) -> Duration
    {
        return Duration(static_cast<std::int64_t>(n * 1e6));
    }

    constexpr auto inMicros() const -> std::int64_t
    {
        return m_micros;
    }
    constexpr auto inMillis() const -> std::int64_t
    {
        return m_micros / 1000;
    }
    constexpr auto inSeconds() const -> double
    {
        return static_cast<double>(m_micros) / 1e6;
    }

    constexpr auto operator<=>(const Duration &) const = default;
    constexpr auto operator+(Duration other) const -> Duration
    {
        return Duration(m_micros + other.m_micros);
    }
    constexpr auto operator-(Duration other) const -> Duration
    {
        return Duration(m_micros - other.m_micros);
    }
    constexpr auto operator*(double factor) const -> Duration
    {
        return Duration(static_cast<std::int64_t>(static_cast<double>(m_micros) * factor));
    }

private:
    constexpr explicit Duration(std::int64_t micros)
        : m_micros(micros)
    {
    }
    std::int64_t m_micros = 0;
};

/// A moment on one process's monotonic clock. Never compare time points of two processes.
class TimePoint
{
public:
    constexpr TimePoint() = default;
    static constexpr auto fromMicros(std::int64_t n) -> TimePoint
    {
        TimePoint point;
        point.m_micros = n;
        return point;
    }
    constexpr auto inMicros() const -> std::int64_t
    {
        return m_micros;
    }
    constexpr auto operator<=>(const TimePoint &) const = default;
    constexpr auto operator+(Duration span) const -> TimePoint
    {
        return fromMicros(m_micros + span.inMicros());
    }
    constexpr auto operator-(Duration span) const -> TimePoint
    {
        return fromMicros(m_micros - span.inMicros());
    }
    constexpr auto operator-(TimePoint other) const -> Duration
    {
        return Duration::micros(m_micros - other.m_micros);
    }

private:
    std::int64_t m_micros = 0;
};

inline auto operator<<(std::ostream &out, Duration span) -> std::ostream &
{
    return out << span.inMicros() << "us";
}

// [SECTION] Memory

/// Accelerator memory in bytes. Signed, so that a difference can be negative.
class Bytes
{
public:
    constexpr Bytes() = default;
    constexpr explicit Bytes(std::int64_t count)
        : m_count(count)
    {
    }
    static constexpr auto gigabytes(double n) -> Bytes
    {
        return Bytes(static_cast<std::int64_t>(n * 1e9));
    }
    constexpr auto count() const -> std::int64_t
    {
        return m_count;
    }
    constexpr auto inGigabytes() const -> double
    {
        return static_cast<double>(m_count) / 1e9;
    }
    constexpr auto operator<=>(const Bytes &) const = default;
    constexpr auto operator+(Bytes other) const -> Bytes
    {
        return Bytes(m_count + other.m_count);
    }
    constexpr auto operator-(Bytes other) const -> Bytes
    {
        return Bytes(m_count - other.m_count);
    }
    constexpr auto operator+=(Bytes other) -> Bytes &
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr auto operator-=(Bytes other) -> Bytes &
    {
        m_count -= other.m_count;
        return *this;
    }

private:
    std::int64_t m_count = 0;
};

inline auto operator<<(std::ostream &out, Bytes bytes) -> std::ostream &
{
    return out << bytes.count();
}

} // namespace KingCup
