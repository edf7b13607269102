/// Decides what an entry gives up when its callers' messages take too much memory.
///
/// First to go are pipelined requests, and partial requests that are stalled: not expected to be whole soon. Then the partial requests of the lowest
/// priority, among them those that would occupy the most memory for the longest time. None of them has run. What goes of whole requests and of answers is
/// decided in memory_guard.h.
#pragma once

#include "http/caller_holdings.h"
#include "wisteriashunt/time.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace wisteriashunt
{

/// Limits of the decision.
struct relief_options
{
    /// Most bytes that messages may take; no limit if 0.
    std::size_t limitBytes = 0;
    /// Expected time until a partial request is whole from which on it is stalled.
    duration longestArrival = std::chrono::seconds(5);
};

enum class relief_kind {
    refuse_partial_request,
    drop_pipelined_requests,
};

/// One thing to give up, of the holder with this index.
struct relief_step
{
    std::size_t holder = 0;
    relief_kind kind = relief_kind::refuse_partial_request;

    bool operator==(const relief_step &) const = default;
};

/// Returns the priority rank of the request that the holder with this index sends; 0 is the most urgent.
using rank_lookup = std::function<int(std::size_t holder)>;

/// Returns the expected time until the partial request is whole.
[[nodiscard]] duration expectedArrival(const caller_holdings &holder);

/// Returns what to give up, in this order, while messages take so many bytes together. Frees a part more than necessary, so that the decision is not due
/// again at once. rankOf is called only for requests that are not stalled.
[[nodiscard]] std::vector<relief_step>
decideOnRelief(const relief_options &options, std::size_t takenBytes, const std::vector<caller_holdings> &holders, const rank_lookup &rankOf);

} // namespace wisteriashunt
