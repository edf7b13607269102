/// Limits the number of connections of a listener's callers.
#pragma once

#include "http/caller_connection.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// Closes connections for new ones by the decision in dispatch/closing_order.h.
class caller_limit
{
public:
    /// Receives what is closed: "idle", "partial" or "new".
    using closed_hook = std::function<void(std::string_view closed)>;

    caller_limit(std::size_t most, closed_hook onClosed);

    /// Makes room for one more connection. Returns false if all are being answered; the new one is closed then.
    [[nodiscard]] bool admit(const caller_set &callers, int descriptor);

private:
    /// A connection that was chosen, and its last activity by then.
    struct candidate
    {
        std::weak_ptr<caller_connection> caller;
        time_point lastActivity;
    };

    [[nodiscard]] std::shared_ptr<caller_connection> next(const caller_set &callers);
    void chooseCandidates(const caller_set &callers);

    std::size_t m_most;
    closed_hook m_onClosed;
    /// The next to close, the last one first. Chosen in advance, as each choice looks at all connections.
    std::vector<candidate> m_candidates;
};

} // namespace wisteriashunt
