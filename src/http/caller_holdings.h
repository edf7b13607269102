/// What a caller's connection holds in memory.
#pragma once

#include "wisteriashunt/time.h"

#include <cstddef>

namespace wisteriashunt
{

/// Sizes of what has arrived on a connection and waits, and the progress of a request that is not whole yet.
struct caller_holdings
{
    /// Bytes of a partial request, and an estimate of those that are still to come.
    std::size_t partialBytes = 0;
    std::size_t missingBytes = 0;
    /// Recent pace of the partial request, and the time since its last bytes.
    double bytesPerSecond = 0;
    duration quiet{};
    /// Bytes of requests that wait for the answer to the one before.
    std::size_t pipelinedBytes = 0;
};

} // namespace wisteriashunt
