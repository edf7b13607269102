/// Decides which waiting work to refuse. Refusals come from the lowest tier first, always.
#pragma once

#include "endpoint/wait_predictor.h"
#include "endpoint/work_queue.h"

#include <vector>

namespace wisteriashunt
{

/// Work to refuse and when its caller may come back.
struct shed_work
{
    waiting_work work;
    duration retryAfter{};

    auto operator<=>(const shed_work &) const = default;
};

/// Selects the work to refuse at `now`. Work that was marked hopeless before is not selected again and counts as having given way.
///
/// Work that cannot start in time is hopeless. Hopeless work is refused only when no lower-tier work that can give way waits in the queue; otherwise that
/// lower-tier work is refused in its place. Work that a declared floor will serve in time cannot give way.
[[nodiscard]] std::vector<shed_work> selectShedWork(time_point now, const work_queue &queue, const wait_predictor &predictor);

} // namespace wisteriashunt
