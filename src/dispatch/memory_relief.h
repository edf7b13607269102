/// Decides what an entry gives up when its callers' messages take too much memory.
///
/// First to go is what holds memory without getting on: requests that were sent ahead, and those that are coming in and are not expected to end soon. Then
/// the requests of the least urgent callers that are coming in, among them those that would occupy the most memory for the longest time. None of them has
/// run. A request that is whole is not given up here, and neither is an answer; see memory_guard.h for answers that are not read.
#pragma once

#include "wisteriashunt/time.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace wisteriashunt
{

/// What one connection holds.
struct message_holder
{
    /// Of a request that is coming in.
    std::size_t incomingBytes = 0;
    std::size_t missingBytes = 0;
    double bytesPerSecond = 0;
    /// Time since the last bytes of that request.
    duration quiet{};
    /// Of requests that wait for the answer to the one before.
    std::size_t aheadBytes = 0;
};

/// Limits of the decision.
struct relief_options
{
    /// Most bytes that messages may take; no limit if 0.
    std::size_t limitBytes = 0;
    /// Expected time from which on a request that is coming in counts as one that does not get on.
    duration longestArrival = std::chrono::seconds(5);
};

enum class relief_kind {
    refuse_incoming,
    drop_requests_ahead,
};

/// One thing to give up, of the holder with this index.
struct relief_step
{
    std::size_t holder = 0;
    relief_kind kind = relief_kind::refuse_incoming;

    bool operator==(const relief_step &) const = default;
};

/// Returns the priority rank of the request that the holder with this index sends; 0 is the most urgent.
using rank_lookup = std::function<int(std::size_t holder)>;

/// Returns the expected time until the request that is coming in is whole.
[[nodiscard]] duration expectedArrival(const message_holder &holder);

/// Returns what to give up, in this order, while messages take so many bytes together. Frees a part more than necessary, so that the decision is not due
/// again at once. rankOf is called only for requests that get on.
[[nodiscard]] std::vector<relief_step>
decideOnRelief(const relief_options &options, std::size_t takenBytes, const std::vector<message_holder> &holders, const rank_lookup &rankOf);

} // namespace wisteriashunt
