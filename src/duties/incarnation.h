/// Numbers of the starts of a process.
#pragma once

#include "wisteriashunt/time.h"

#include <cstdint>

namespace wisteriashunt
{

/// Returns a number for a process that starts at this time of its wall clock. A later start of the same entry has a higher one unless the clock was set
/// back meanwhile. Starts of different entries differ by the random bits.
[[nodiscard]] inline std::uint64_t incarnationAt(time_point wall, std::uint64_t random)
{
    constexpr int randomBits = 20;
    const auto milliseconds = static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(wall.time_since_epoch()).count());
    return milliseconds << randomBits | (random & ((std::uint64_t{1} << randomBits) - 1));
}

} // namespace wisteriashunt
