/// Time types and clocks. Decision logic receives `time_point` values as arguments; only the code that does input and output reads a clock.
#pragma once

#include <chrono>

namespace wisteriashunt
{

/// All durations are held in microseconds.
using duration = std::chrono::microseconds;

/// An instant, in microseconds since the Unix epoch.
using time_point = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Source of the current time. Successive readings never decrease.
class clock_source
{
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual time_point now() const = 0;
};

/// Monotonic clock that starts from the wall time at construction, so that later steps of the wall clock never reorder decisions.
class anchored_clock final : public clock_source
{
public:
    anchored_clock();
    [[nodiscard]] time_point now() const override;

private:
    std::chrono::steady_clock::time_point m_steadyAnchor;
    time_point m_wallAnchor;
};

/// Monotonic clock that includes the time during which the machine is suspended, so that deadlines and ages of data stay correct.
/// Its readings count from boot, not from the Unix epoch.
class boot_clock final : public clock_source
{
public:
    [[nodiscard]] time_point now() const override;
};

/// Returns the duration in seconds.
[[nodiscard]] constexpr double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Returns the duration in milliseconds.
[[nodiscard]] constexpr double toMilliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Converts seconds to a duration, rounding towards zero.
[[nodiscard]] constexpr duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace wisteriashunt
