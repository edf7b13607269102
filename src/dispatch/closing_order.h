/// Decides which connections of callers are closed for new ones when their number has reached its limit.
#pragma once

#include "wisteriashunt/time.h"

#include <cstddef>
#include <vector>

namespace wisteriashunt
{

/// What the decision knows of one connection.
struct open_connection
{
    /// Whether a request on it is being answered. Such a connection is not closed.
    bool isAnswering = false;
    /// Whether a part of a request has arrived.
    bool hasPartialRequest = false;
    /// Bytes of answers that are not sent yet.
    std::size_t unsentBytes = 0;
    /// When bytes last arrived or an answer was last completed.
    time_point lastActivity;
};

/// Returns the places of at most `count` connections in the order in which to close them: idle ones, then those with a partial request, then those whose
/// last answer is not sent yet; in each group the one whose last activity is longest ago first.
[[nodiscard]] std::vector<std::size_t> closingOrder(const std::vector<open_connection> &connections, std::size_t count);

} // namespace wisteriashunt
