/// Bounds what a message carries of a longer list.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace wisteriashunt
{

/// Returns at most that many elements of a sorted list: those that follow the last element of the previous call, continuing from the
/// beginning. `last` is updated.
template<typename T>
[[nodiscard]] std::vector<T> nextByTurns(std::vector<T> sorted, std::size_t most, T &last)
{
    if (sorted.size() <= most) {
        return sorted;
    }
    std::rotate(sorted.begin(), std::upper_bound(sorted.begin(), sorted.end(), last), sorted.end());
    sorted.resize(most);
    last = sorted.back();
    return sorted;
}

} // namespace wisteriashunt
