/// How often an entry reads the list of endpoints for take-ups of streams that it does not know.
#pragma once

#include "wisteriashunt/time.h"

#include <algorithm>
#include <cstdint>

namespace wisteriashunt
{

/// Returns the shortest pause between two such readings, with which all entries together make at most a thousand calls of the log a second, as
/// long as they hear each other. The platform takes two thousand reading calls a second from all entries, for everything.
[[nodiscard]] inline duration listDemandPause(std::size_t liveEntries)
{
    constexpr std::chrono::milliseconds minPause{10};
    constexpr std::chrono::milliseconds pausePerEntry{1};
    return std::max<duration>(minPause, pausePerEntry * static_cast<std::int64_t>(liveEntries));
}

} // namespace wisteriashunt
