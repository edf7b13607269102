/// Selects the waiting work to shed under overload. Lower tiers are always shed before higher ones.
#pragma once

#include "endpoint/wait_predictor.h"
#include "endpoint/work_queue.h"

#include <vector>

namespace wisteriashunt
{

/// Work to shed, and the delay after which its caller may retry.
struct shed_work
{
    waiting_work work;
    duration retryAfter{};

    auto operator<=>(const shed_work &) const = default;
};

/// Selects the work to shed at `now`. Work marked as shed before is not selected again, but lower tiers are still shed for it.
///
/// Work misses its deadline if it is not predicted to start by its `latestStart`. It is shed only if no lower-tier work can be shed for it.
/// The oldest work of a class with a floor is not shed for a higher tier, because the floor serves it in time.
[[nodiscard]] std::vector<shed_work> selectShedWork(time_point now, const work_queue &queue, const wait_predictor &predictor);

} // namespace wisteriashunt
