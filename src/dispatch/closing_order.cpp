#include "dispatch/closing_order.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

namespace
{

int groupOf(const open_connection &connection)
{
    if (connection.hasPartialRequest) {
        return 1;
    }
    return connection.unsentBytes > 0 ? 2 : 0;
}

} // namespace

std::vector<std::size_t> closingOrder(const std::vector<open_connection> &connections, std::size_t count)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (!connections[i].isAnswering) {
            order.push_back(i);
        }
    }
    const auto keyOf = [&](std::size_t place) { return std::pair(groupOf(connections[place]), connections[place].lastActivity); };
    const auto kept = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(), [&](std::size_t left, std::size_t right) {
        return keyOf(left) < keyOf(right);
    });
    order.resize(kept);
    return order;
}

} // namespace wisteriashunt
